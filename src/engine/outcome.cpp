#include "engine/outcome.hpp"

namespace chalksail::engine {

NotRun parse_not_run(std::string_view value) {
    if (value == "full") return NotRun::full;
    if (value == "no-state") return NotRun::no_state;
    if (value == "draining") return NotRun::draining;
    return NotRun::not_said;
}

Judgement judge(const Facts& f) {
    switch (f.ending) {
        case Ending::answered: break;
        case Ending::dial_failed:
        case Ending::not_verified:
        case Ending::withdrawn:
            // Guards against a shell that says "no connection" of bytes that have gone out.
            return {f.sent ? Outcome::reset : Outcome::connect_failed, 0, false};
        case Ending::no_resources:
        case Ending::expired:
            // Our own trouble tells nothing of the server: it is as if the attempt had never been made.
            return {f.sent ? Outcome::reset : Outcome::moot, 0, false};
        case Ending::closed: return {f.sent ? Outcome::reset : Outcome::connect_failed, 0, false};
        case Ending::bad_answer: return {f.started ? Outcome::reset : Outcome::error, 0, false};
        case Ending::timed_out: return {f.sent ? Outcome::timeout : Outcome::connect_failed, 0, false};
        // One that never went out is "no connection" too, for proof; the module asked for it, so it knows.
        case Ending::cancelled: return {f.sent ? Outcome::cancelled : Outcome::connect_failed, 0, false};
    }
    if (f.status == 200) {
        if (f.whole) return {f.read ? Outcome::read : Outcome::ok, 0, false};
        return {f.started ? Outcome::reset : Outcome::error, 0, false};
    }
    if (f.not_run != NotRun::not_said)
        return {Outcome::full, f.not_run == NotRun::no_state ? 1.0 : 0.0, false};
    if (f.not_run_status) return {Outcome::full, 0, false};
    // The server is well and has looked at the request: the same would be said anywhere. 408, 425 and 429 are
    // about the moment, 401 and 403 about this gateway's own standing there, so these are errors of the
    // server's.
    const bool about_request = f.status >= 400 && f.status < 500 && f.status != 401 && f.status != 403 &&
                               f.status != 408 && f.status != 425 && f.status != 429;
    if (about_request) return {Outcome::ok, 0, true};
    return {Outcome::error, 0, false};
}

bool proves_not_run(Outcome outcome) {
    return outcome == Outcome::full || outcome == Outcome::connect_failed || outcome == Outcome::moot;
}

std::string_view name(Outcome outcome) {
    switch (outcome) {
        case Outcome::ok: return "ok";
        case Outcome::error: return "error";
        case Outcome::full: return "full";
        case Outcome::timeout: return "timeout";
        case Outcome::connect_failed: return "connect_failed";
        case Outcome::reset: return "reset";
        case Outcome::cancelled: return "cancelled";
        case Outcome::moot: return "moot";
        case Outcome::read: return "read";
    }
    return "unknown";
}

}  // namespace chalksail::engine
