// Which way an attempt ended, and whether that proves that nothing ran. This is the one place that says so:
// all that a shell has seen of an attempt comes in as Facts, and what the decision module is told comes out.
// No I/O, no state.
//
// Proof that an attempt did not run is one of two things only:
//   - no byte of it was handed to a connection (no connection, none to be had, withdrawn while it waited), or
//   - the engine's documented word for it: the header `X-Engine-Not-Run`, or a status that the settings name
//   for its
//     kind ("not-run-status").
// All else may have run: a reset, a close before the first byte on a connection used before, a time-out, a
// cancel, any other status, an answer that makes no sense.
#pragma once

#include <chalksail/chalksail.hpp>
#include <string_view>

namespace chalksail::engine {

enum class Ending {
    answered,      // an answer came to its proper end
    dial_failed,   // refused, unreachable, or not established in time
    unverified,    // reached, but it did not prove its name; no byte of a request went out
    no_resources,  // this machine could make no connection (file descriptors, memory)
    withdrawn,     // taken back before any byte was handed to a connection
    expired,       // the same, because its time was over when its connection was ready
    closed,        // the connection broke
    bad_answer,    // bytes that are no answer, or over a limit
    timed_out,     // the time given to it is over
    cancelled,     // called off by this gateway after it was sent
};

// The engine's word that it did not run a request.
enum class NotRun { unknown, full, no_state, draining };
inline constexpr std::string_view kNotRunHeader = "x-engine-not-run";
[[nodiscard]] NotRun parse_not_run(std::string_view value);

struct Facts {
    Ending ending = Ending::answered;
    bool sent = false;     // some byte of it was handed to a connection
    bool prefill = false;  // at a prefill engine
    bool started = false;  // a first piece of the answer has been seen
    bool complete =
        false;  // the answer makes sense to its end: state parameters of a read, [DONE] of a stream
    int status = 0;
    NotRun not_run = NotRun::unknown;
    bool not_run_status = false;  // the settings say of this status that it means "not run"
    bool written = false;         // its last byte went out too: the line where servers begin with it
};

struct Judgement {
    AttemptOutcome outcome = AttemptOutcome::error;
    bool kv_state_missing = false;  // at_capacity only: there was no KV state to fetch
    bool client_error =
        false;  // the engine's verdict on the request itself (4xx): its answer goes to the client
};

[[nodiscard]] Judgement judge(const Facts& facts);
[[nodiscard]] bool proves_not_run(AttemptOutcome outcome);
[[nodiscard]] std::string_view name(AttemptOutcome outcome);

}  // namespace chalksail::engine
