// A client's request in the platform's protocol: validates and reads its headers, and formats the header
// values and error bodies that a gateway sends.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "http/message.hpp"

namespace chalksail::platform {

// Maximum size of an id and of other names in requests.
inline constexpr std::size_t kMaxNameBytes = 128;
inline constexpr std::string_view kChatPath = "/v1/chat/completions";
inline constexpr std::string_view kReadyPath = "/ready";
inline constexpr std::string_view kIdHeader = "X-Correlation-Id";
inline constexpr std::string_view kClassHeader = "X-Service-Class";
inline constexpr std::string_view kTenantHeader = "X-Account";
inline constexpr std::string_view kSessionHeader = "X-Session-Key";
inline constexpr std::string_view kTimeRemainingHeader = "X-Time-Left";
inline constexpr std::string_view kFactsHeader = "X-Facts";
inline constexpr std::string_view kRepeatHeader = "X-Repeat";
// Forwarded unchanged, as servers deduplicate by key the requests of classes that are idempotent by key.
inline constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";

// The validated headers of a client's request.
struct ClientRequest {
    std::string id;
    std::string class_name;
    std::string tenant;
    std::string session;          // empty: none given
    std::string idempotency_key;  // empty: none given
    std::string prefix;           // id of the prompt prefix that the request shares; empty: none
    Duration time_remaining{};    // until the client gives up
    double prompt_tokens = 0;
    double shared_tokens = 0;  // tokens of the shared prompt prefix; at most prompt_tokens
    double max_output = 0;     // maximum number of output tokens
    bool retry = false;
    bool resumes_stream = false;
};
// Validates and reads a request. The error names the invalid header, for a 400 response.
[[nodiscard]] tl::expected<ClientRequest, std::string> read_request(const http::Request& request);

// Parses "4800m" (milliseconds) or "350u" (microseconds); nullopt for other text, 0, or more than a day.
[[nodiscard]] std::optional<Duration> parse_time_remaining(std::string_view text);
// Formats the time in milliseconds, at least 1.
[[nodiscard]] std::string format_time_remaining(Duration left);
// Formats the duration in seconds, with three decimals.
[[nodiscard]] std::string format_retry_after(Duration after);
// Returns the body of an error response.
[[nodiscard]] std::string format_error(std::string_view message);

}  // namespace chalksail::platform
