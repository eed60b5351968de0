#include "engine/outcome.hpp"

namespace chalksail::engine {

NotRun parse_not_run(std::string_view value) {
    if (value == "full") return NotRun::at_capacity;
    if (value == "no-state") return NotRun::kv_state_missing;
    if (value == "draining") return NotRun::draining;
    return NotRun::unknown;
}

AttemptClassification classify(const AttemptObservation& observation) {
    switch (observation.ending) {
        case ExchangeEnd::response_received: break;
        case ExchangeEnd::dial_failed:
        case ExchangeEnd::unverified:
        case ExchangeEnd::withdrawn:
            // Checks `sent` in case the network layer reports "no connection" although bytes were sent.
            return {observation.sent ? AttemptOutcome::reset : AttemptOutcome::connect_failed, false, false};
        case ExchangeEnd::no_resources:
        case ExchangeEnd::expired:
            // A local failure says nothing about the server: counts as if the attempt had not been made.
            return {observation.sent ? AttemptOutcome::reset : AttemptOutcome::not_sent, false, false};
        case ExchangeEnd::connection_closed:
            return {observation.sent ? AttemptOutcome::reset : AttemptOutcome::connect_failed, false, false};
        case ExchangeEnd::malformed_response:
            return {observation.started ? AttemptOutcome::reset : AttemptOutcome::error, false, false};
        case ExchangeEnd::timed_out:
            return {observation.sent ? AttemptOutcome::timeout : AttemptOutcome::connect_failed, false,
                    false};
        // Without a sent byte the attempt certainly did not run, so it counts as connect_failed. The policy
        // needs no outcome of its own for that, as it requested the cancellation.
        case ExchangeEnd::cancelled:
            return {observation.sent ? AttemptOutcome::cancelled : AttemptOutcome::connect_failed, false,
                    false};
    }
    if (observation.status == 200) {
        if (observation.complete)
            return {observation.prefill ? AttemptOutcome::prefilled : AttemptOutcome::ok, false, false};
        return {observation.started ? AttemptOutcome::reset : AttemptOutcome::error, false, false};
    }
    if (observation.not_run != NotRun::unknown)
        return {AttemptOutcome::at_capacity, observation.not_run == NotRun::kv_state_missing, false};
    if (observation.not_run_status) return {AttemptOutcome::at_capacity, false, false};
    // On most 4xx statuses the server is healthy and rejects the request itself, as any other server would.
    // The exceptions count as server errors: 408, 425 and 429 depend on the server's current state, 401 and
    // 403 on this gateway's credentials at that server.
    const bool rejects_request = observation.status >= 400 && observation.status < 500 &&
                                 observation.status != 401 && observation.status != 403 &&
                                 observation.status != 408 && observation.status != 425 &&
                                 observation.status != 429;
    if (rejects_request) return {AttemptOutcome::ok, false, true};
    return {AttemptOutcome::error, false, false};
}

bool proves_not_run(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::at_capacity || outcome == AttemptOutcome::connect_failed ||
           outcome == AttemptOutcome::not_sent;
}

std::string_view name(AttemptOutcome outcome) {
    switch (outcome) {
        case AttemptOutcome::ok: return "ok";
        case AttemptOutcome::error: return "error";
        case AttemptOutcome::at_capacity: return "full";
        case AttemptOutcome::timeout: return "timeout";
        case AttemptOutcome::connect_failed: return "connect_failed";
        case AttemptOutcome::reset: return "reset";
        case AttemptOutcome::cancelled: return "cancelled";
        case AttemptOutcome::not_sent: return "moot";
        case AttemptOutcome::prefilled: return "read";
    }
    return "unknown";
}

}  // namespace chalksail::engine
