// Classifies how an attempt ended, and whether that proves that the engine did not run it. The input is an
// AttemptObservation, which holds all that the network layer observed; the output is the outcome that is
// reported to the routing policy. No other code classifies attempts. No I/O, no threads, no state.
//
// Only two things prove that an attempt did not run:
//   - no byte of it was handed to a connection (none was established or available, or the attempt was
//     withdrawn while it waited), or
//   - the engine reports it as documented, by the header `X-Engine-Not-Run` or by a status that the settings
//     configure for the server's kind ("not-run-status").
// Anything else may have run: a reset, a close before the first byte on a reused connection, a timeout, a
// cancelled attempt, any other status, a malformed response.
#pragma once

#include <chalksail/chalksail.hpp>
#include <string_view>

namespace chalksail::engine {

// How the HTTP exchange with the engine ended, as the network layer observed it.
enum class ExchangeEnd {
    response_received,   // a complete response was received
    dial_failed,         // refused, unreachable, or not established within the dial timeout
    unverified,          // connected, but TLS verification failed; no byte of a request was sent
    no_resources,        // this machine could not open a connection (file descriptors, memory)
    withdrawn,           // withdrawn by the gateway before any byte was handed to a connection
    expired,             // not sent, because its timeout had passed when its connection was ready
    connection_closed,   // the connection was reset or closed
    malformed_response,  // a malformed response, or one over a limit
    timed_out,           // the attempt's timeout passed
    cancelled,           // cancelled by this gateway after it was sent
};

// The reason that an engine gives for not running a request; `unknown` if it gives none.
enum class NotRun { unknown, at_capacity, kv_state_missing, draining };
inline constexpr std::string_view kNotRunHeader = "x-engine-not-run";
// Parses a value of kNotRunHeader; returns `unknown` for other text.
[[nodiscard]] NotRun parse_not_run(std::string_view value);

// What the network layer observed of one attempt.
struct AttemptObservation {
    ExchangeEnd ending = ExchangeEnd::response_received;
    bool sent = false;     // at least one byte of the request was handed to a connection
    bool prefill = false;  // sent to a prefill engine
    bool started = false;  // the first part of the response has been received
    // The response is complete: a prefill's has KV parameters, a stream's ends in [DONE].
    bool complete = false;
    int status = 0;  // HTTP status of the response; 0: none
    NotRun not_run = NotRun::unknown;
    bool not_run_status = false;  // the settings configure this status as "not run"
    // The request's last byte was handed to a connection too. Engines start once they receive it.
    bool written = false;
};

// What an observation proves about the attempt.
struct AttemptClassification {
    AttemptOutcome outcome = AttemptOutcome::error;
    bool kv_state_missing = false;  // at_capacity only: the KV state to fetch did not exist
    bool client_error = false;  // the engine rejects the request itself (4xx); the client gets its response
};

// Classifies an attempt from its observation.
[[nodiscard]] AttemptClassification classify(const AttemptObservation& observation);
// Returns true if an attempt with this outcome certainly did not run.
[[nodiscard]] bool proves_not_run(AttemptOutcome outcome);
// Returns the outcome's name in logs and records.
[[nodiscard]] std::string_view name(AttemptOutcome outcome);

}  // namespace chalksail::engine
