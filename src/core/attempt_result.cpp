#include "core/attempt_result.hpp"

namespace chalksail::core {

using engine::ExchangeEnd;

bool AttemptResult::proves_arrival(const UpstreamCall& call) const {
    return call.status != 0 || ending == ExchangeEnd::malformed_response;
}

bool AttemptResult::may_have_run(const UpstreamCall& call) const {
    return !call.prefill && !engine::proves_not_run(outcome());
}

bool AttemptResult::may_have_left_kv_state(const UpstreamCall& call) const {
    if (!call.prefill || !call.sent()) return false;
    switch (outcome()) {
        case AttemptOutcome::prefilled: return false;
        case AttemptOutcome::cancelled:
        case AttemptOutcome::timeout:
        case AttemptOutcome::reset: return true;
        default: return ending == ExchangeEnd::malformed_response;
    }
}

AttemptResult classify_attempt(const Protocol& protocol, const UpstreamCall& call, ExchangeEnd ending,
                               bool stream_started) {
    AttemptResult result;
    result.ending = ending;
    if (call.prefill && ending == ExchangeEnd::response_received)
        result.prefill = protocol.parse_prefill(call.status, call.body);
    const bool stream_complete = stream_started && call.parser != nullptr && call.parser->complete();
    engine::AttemptObservation observation;
    observation.ending = ending;
    observation.sent = call.sent();
    observation.written = call.written();
    observation.prefill = call.prefill;
    observation.started = stream_started;
    observation.complete = call.prefill ? result.prefill.has_value() : stream_complete;
    observation.status = call.status;
    observation.not_run = call.head.not_run;
    result.classification = protocol.classify(observation, call.server_kind);
    return result;
}

bool may_have_arrived(const Protocol& protocol, const UpstreamCall& call) {
    engine::AttemptObservation observation;
    observation.ending = ExchangeEnd::cancelled;
    observation.sent = call.sent();
    observation.written = call.written();
    return !engine::proves_not_run(protocol.classify(observation, call.server_kind).outcome);
}

AttemptOutcome classify_health_check(const UpstreamCall& call, ExchangeEnd ending) {
    engine::AttemptObservation observation;
    observation.ending = ending;
    observation.sent = call.sent();
    observation.complete = true;
    observation.status = call.status;
    const AttemptOutcome outcome = engine::classify(observation).outcome;
    // Any other status does not show that the server is healthy; it may have no health check.
    if (outcome == AttemptOutcome::ok && call.status != 200) return AttemptOutcome::error;
    return outcome;
}

}  // namespace chalksail::core
