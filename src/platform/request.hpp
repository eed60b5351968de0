// A client's request in the platform's form: what its headers say, each checked, and the errors that bad ones
// get. Bytes to typed values; no I/O.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "http/message.hpp"

namespace chalksail::platform {

inline constexpr std::string_view kChatPath = "/v1/chat/completions";
inline constexpr std::string_view kReadyPath = "/ready";
inline constexpr std::string_view kIdHeader = "X-Correlation-Id";
inline constexpr std::string_view kClassHeader = "X-Service-Class";
inline constexpr std::string_view kTenantHeader = "X-Account";
inline constexpr std::string_view kSessionHeader = "X-Session-Key";
inline constexpr std::string_view kTimeLeftHeader = "X-Time-Left";
inline constexpr std::string_view kFactsHeader = "X-Facts";
inline constexpr std::string_view kRepeatHeader = "X-Repeat";
// Of classes whose effect is told apart by a key: servers drop repeats by it. Passed on as it is.
inline constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";

struct ClientRequest {
    std::string id;
    std::string class_name;
    std::string tenant;
    std::string session;          // empty: none named
    std::string idempotency_key;  // empty: none
    std::string prefix;
    Duration time_left{};
    double prompt_tokens = 0;
    double shared_tokens = 0;
    double max_output = 0;
    bool retry = false;
    bool again = false;
};
// What is wrong, for a 400.
[[nodiscard]] tl::expected<ClientRequest, std::string> read_request(const http::Request& request);

// "4800m", "350u"; nothing for other text, for 0 and for more than a day.
[[nodiscard]] std::optional<Duration> parse_time_left(std::string_view text);
[[nodiscard]] std::string format_time_left(Duration left);
// Seconds, with three decimals.
[[nodiscard]] std::string format_retry_after(Duration after);
[[nodiscard]] std::string format_error(std::string_view message);

}  // namespace chalksail::platform
