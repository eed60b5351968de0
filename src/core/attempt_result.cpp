#include "core/attempt_result.hpp"

namespace chalksail::core {

using engine::Ending;

bool AttemptResult::proves_arrival(const UpstreamCall& call) const {
    return call.status != 0 || ending == Ending::bad_answer;
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
        default: return ending == Ending::bad_answer;
    }
}

AttemptResult judge_attempt(const Protocol& protocol, const UpstreamCall& call, Ending ending,
                            bool stream_started) {
    AttemptResult result;
    result.ending = ending;
    if (call.prefill && ending == Ending::answered)
        result.prefill = protocol.parse_prefill(call.status, call.body);
    const bool whole_stream = stream_started && call.parser != nullptr && call.parser->whole();
    engine::Facts facts;
    facts.ending = ending;
    facts.sent = call.sent();
    facts.written = call.written();
    facts.prefill = call.prefill;
    facts.started = stream_started;
    facts.complete = call.prefill ? result.prefill.has_value() : whole_stream;
    facts.status = call.status;
    facts.not_run = call.head.not_run;
    result.judgement = protocol.judge(facts, call.server_kind);
    return result;
}

bool may_have_arrived(const Protocol& protocol, const UpstreamCall& call) {
    engine::Facts facts;
    facts.ending = Ending::cancelled;
    facts.sent = call.sent();
    facts.written = call.written();
    return !engine::proves_not_run(protocol.judge(facts, call.server_kind).outcome);
}

AttemptOutcome judge_health_check(const UpstreamCall& call, Ending ending) {
    engine::Facts facts;
    facts.ending = ending;
    facts.sent = call.sent();
    facts.complete = true;
    facts.status = call.status;
    const AttemptOutcome outcome = engine::judge(facts).outcome;
    // An engine without a health check is not known to be well.
    if (outcome == AttemptOutcome::ok && call.status != 200) return AttemptOutcome::error;
    return outcome;
}

}  // namespace chalksail::core
