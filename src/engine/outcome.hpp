// How an attempt ended, and whether that proves that the engine did not run it. All that the network layer
// has observed of an attempt comes in as Facts; the outcome that the routing policy is told comes out. This
// is the only place that draws that conclusion. No I/O, no threads, no state.
//
// Only two things prove that an attempt did not run:
//   - no byte of it was handed to a connection (none was established or available, or it was withdrawn while
//   it
//     waited), or
//   - the engine says so as documented: the header `X-Engine-Not-Run`, or a status that the settings name for
//   its
//     kind ("not-run-status").
// Anything else may have run: a reset, a close before the first byte on a reused connection, a timeout, a
// cancelled attempt, any other status, a malformed response.
#pragma once

#include <chalksail/chalksail.hpp>
#include <string_view>

namespace chalksail::engine {

// How the exchange with the engine ended, as the network layer observed it.
enum class Ending {
    answered,      // a response was received to its end
    dial_failed,   // refused, unreachable, or not established in time
    unverified,    // connected, but TLS verification failed; no byte of a request was sent
    no_resources,  // this machine could not open a connection (file descriptors, memory)
    withdrawn,     // withdrawn before any byte was handed to a connection
    expired,       // the same, because its timeout had passed when its connection was ready
    closed,        // the connection was reset or closed
    bad_answer,    // a malformed response, or one over a limit
    timed_out,     // the attempt's timeout passed
    cancelled,     // cancelled by this gateway after it was sent
};

// Why an engine says that it did not run a request; `unknown`: it does not say so.
enum class NotRun { unknown, full, no_state, draining };
inline constexpr std::string_view kNotRunHeader = "x-engine-not-run";
// The value of kNotRunHeader; `unknown` for other text.
[[nodiscard]] NotRun parse_not_run(std::string_view value);

// What was observed of one attempt.
struct Facts {
    Ending ending = Ending::answered;
    bool sent = false;      // some byte of it was handed to a connection
    bool prefill = false;   // at a prefill engine
    bool started = false;   // the first part of the response has been received
    bool complete = false;  // the response is valid to its end: a prefill's KV parameters, a stream's [DONE]
    int status = 0;         // HTTP status of the response; 0: none
    NotRun not_run = NotRun::unknown;
    bool not_run_status = false;  // the settings say that this status means "not run"
    bool written = false;         // its last byte was sent too: engines start when they have received that
};

// What the facts prove.
struct Judgement {
    AttemptOutcome outcome = AttemptOutcome::error;
    bool kv_state_missing = false;  // at_capacity only: there was no KV state to fetch
    bool client_error = false;  // the engine rejects the request itself (4xx): its answer goes to the client
};

[[nodiscard]] Judgement judge(const Facts& facts);
// Is this an outcome of an attempt that certainly did not run?
[[nodiscard]] bool proves_not_run(AttemptOutcome outcome);
// The outcome's name in logs and records.
[[nodiscard]] std::string_view name(AttemptOutcome outcome);

}  // namespace chalksail::engine
