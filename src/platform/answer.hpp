// A model server's response in the platform's protocol: what each way of ending proves about the attempt, and
// the events of a stream.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.hpp"

namespace chalksail::platform {

// "1": the server did not process the request.
inline constexpr std::string_view kNotRunHeader = "X-Unprocessed";
inline constexpr std::string_view kHealthPath = "/health";

// The path that reserves capacity for the request at a decode server (POST), or releases all that is reserved
// or cached for it anywhere (DELETE).
[[nodiscard]] std::string lease_target(std::string_view id);

// How an attempt ended, as the connection saw it.
enum class ExchangeEnd {
    response_received,   // a complete response was received
    no_connection,       // refused, timed out while connecting, or none was available
    connection_closed,   // the connection was reset or closed
    malformed_response,  // the response violates HTTP or the platform's protocol
    timed_out,           // this gateway stopped waiting
    cancelled,           // this gateway cancelled the attempt
};
// What was observed of an attempt.
struct AttemptObservation {
    ExchangeEnd ending = ExchangeEnd::response_received;
    bool written = false;   // the last byte of the request was sent
    bool prefill = false;   // at a prefill server
    bool started = false;   // at least one event was forwarded to the client
    bool complete = false;  // a stream up to its [DONE] and last chunk, or a prefill's whole response
    int status = 0;
    bool not_run = false;  // the response has kNotRunHeader
};
struct AttemptClassification {
    AttemptOutcome outcome = AttemptOutcome::error;
    bool kv_state_missing = false;  // at_capacity only: there was no KV state to fetch
};
// Returns the outcome that the platform's rules give for this observation.
[[nodiscard]] AttemptClassification classify(const AttemptObservation& observation);

// Splits a stream into its events, whose bytes it does not change, and reads the token counts of the last
// one. Not thread-safe.
class EventReader {
public:
    // `max_bytes`: of one event.
    explicit EventReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    struct Events {
        std::string bytes;  // of the events that were completed
        std::int64_t count = 0;
    };
    // After a malformed event, or one over the limit, no more events are returned.
    [[nodiscard]] Events feed(std::string_view bytes);
    [[nodiscard]] bool malformed() const { return malformed_; }
    // [DONE] was the last event, and nothing came after it.
    [[nodiscard]] bool done() const { return done_ && partial_.empty() && !malformed_; }
    [[nodiscard]] double cached_tokens() const { return cached_tokens_; }
    [[nodiscard]] double prompt_tokens() const { return prompt_tokens_; }
    [[nodiscard]] double completion_tokens() const { return completion_tokens_; }

private:
    [[nodiscard]] bool inspect(std::string_view event);
    void read_usage(std::string_view data);

    std::size_t max_bytes_;
    std::string partial_;  // the beginning of an event that is not complete
    bool done_ = false;
    bool malformed_ = false;
    double cached_tokens_ = 0;
    double prompt_tokens_ = 0;
    double completion_tokens_ = 0;
};

// The number of cached prompt tokens in a prefill's response; none if it does not report them.
[[nodiscard]] std::optional<double> parse_cached_tokens(std::string_view body);

}  // namespace chalksail::platform
