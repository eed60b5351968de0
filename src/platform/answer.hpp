// A model server's response in the platform's protocol: classifies how an attempt ended, and reads the events
// of a stream.
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

// Returns the path that reserves capacity for the request at a decode server (POST), or releases every
// reservation and KV state of the request at any server (DELETE).
[[nodiscard]] std::string lease_target(std::string_view id);

// How the HTTP exchange of an attempt ended, as observed on the connection.
enum class ExchangeEnd {
    response_received,   // a complete response was received
    no_connection,       // refused, timed out while connecting, or none was available
    connection_closed,   // the connection was reset or closed
    malformed_response,  // the response violates HTTP or the platform's protocol
    timed_out,           // this gateway stopped waiting
    cancelled,           // this gateway cancelled the attempt
};
// What the network layer observed of an attempt.
struct AttemptObservation {
    ExchangeEnd ending = ExchangeEnd::response_received;
    bool written = false;  // the last byte of the request was sent
    bool prefill = false;  // sent to a prefill server
    bool started = false;  // at least one event was forwarded to the client
    // The response is complete: a stream up to [DONE] and the last HTTP chunk, or a prefill's whole response.
    bool complete = false;
    int status = 0;        // HTTP status of the response; 0: none
    bool not_run = false;  // the response has kNotRunHeader
};
struct AttemptClassification {
    AttemptOutcome outcome = AttemptOutcome::error;
    bool kv_state_missing = false;  // at_capacity only: the KV state to fetch did not exist
};
// Classifies an attempt from its observation by the platform's rules.
[[nodiscard]] AttemptClassification classify(const AttemptObservation& observation);

// Splits a stream into complete events without changing their bytes, and reads the token counts of the last
// one. Not thread-safe.
class EventReader {
public:
    // `max_bytes` is the maximum size of one event.
    explicit EventReader(std::size_t max_bytes) : max_bytes_(max_bytes) {}
    struct Events {
        std::string bytes;  // of the completed events
        std::int64_t count = 0;
    };
    // Returns the events that `bytes` complete; none after a malformed event or one over the limit.
    [[nodiscard]] Events feed(std::string_view bytes);
    [[nodiscard]] bool malformed() const { return malformed_; }
    // Returns true if [DONE] was the last event and no bytes followed it.
    [[nodiscard]] bool done() const { return done_ && partial_.empty() && !malformed_; }
    // Returns the size of the incomplete event.
    [[nodiscard]] std::size_t buffered_bytes() const { return partial_.size(); }
    [[nodiscard]] double cached_tokens() const { return cached_tokens_; }
    [[nodiscard]] double prompt_tokens() const { return prompt_tokens_; }
    [[nodiscard]] double completion_tokens() const { return completion_tokens_; }

private:
    // Checks one event and reads its usage. Returns false if the event is malformed.
    [[nodiscard]] bool inspect(std::string_view event);
    void read_usage(std::string_view data);

    std::size_t max_bytes_;
    std::string partial_;  // the beginning of an incomplete event
    bool done_ = false;
    bool malformed_ = false;
    double cached_tokens_ = 0;
    double prompt_tokens_ = 0;
    double completion_tokens_ = 0;
};

// Returns the number of cached prompt tokens in a prefill's response; nullopt if it does not report them.
[[nodiscard]] std::optional<double> parse_cached_tokens(std::string_view body);

}  // namespace chalksail::platform
