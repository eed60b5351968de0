#include "engine/outcome.hpp"

namespace chalksail::engine {

NotRun parse_not_run(std::string_view value) {
    if (value == "full") return NotRun::at_capacity;
    if (value == "no-state") return NotRun::kv_state_missing;
    if (value == "draining") return NotRun::draining;
    return NotRun::unknown;
}

AttemptClassification classify(const AttemptObservation& f) {
    switch (f.ending) {
        case ExchangeEnd::response_received: break;
        case ExchangeEnd::dial_failed:
        case ExchangeEnd::unverified:
        case ExchangeEnd::withdrawn:
            // Guards against a network layer that reports "no connection" for bytes that were sent.
            return {f.sent ? AttemptOutcome::reset : AttemptOutcome::connect_failed, false, false};
        case ExchangeEnd::no_resources:
        case ExchangeEnd::expired:
            // A local fault says nothing about the server: it is as if the attempt had never been made.
            return {f.sent ? AttemptOutcome::reset : AttemptOutcome::not_sent, false, false};
        case ExchangeEnd::connection_closed:
            return {f.sent ? AttemptOutcome::reset : AttemptOutcome::connect_failed, false, false};
        case ExchangeEnd::malformed_response:
            return {f.started ? AttemptOutcome::reset : AttemptOutcome::error, false, false};
        case ExchangeEnd::timed_out:
            return {f.sent ? AttemptOutcome::timeout : AttemptOutcome::connect_failed, false, false};
        // One that was never sent counts as "no connection" too, as that is the proof; the policy itself has
        // cancelled it.
        case ExchangeEnd::cancelled:
            return {f.sent ? AttemptOutcome::cancelled : AttemptOutcome::connect_failed, false, false};
    }
    if (f.status == 200) {
        if (f.complete) return {f.prefill ? AttemptOutcome::prefilled : AttemptOutcome::ok, false, false};
        return {f.started ? AttemptOutcome::reset : AttemptOutcome::error, false, false};
    }
    if (f.not_run != NotRun::unknown)
        return {AttemptOutcome::at_capacity, f.not_run == NotRun::kv_state_missing, false};
    if (f.not_run_status) return {AttemptOutcome::at_capacity, false, false};
    // The server is healthy and rejects the request itself, as any other server would. 408, 425 and 429 are
    // about the server's state at that time, 401 and 403 about this gateway's credentials there: these count
    // as errors of the server.
    const bool about_request = f.status >= 400 && f.status < 500 && f.status != 401 && f.status != 403 &&
                               f.status != 408 && f.status != 425 && f.status != 429;
    if (about_request) return {AttemptOutcome::ok, false, true};
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
