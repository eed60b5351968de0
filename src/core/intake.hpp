// What a client's request is to the module: class, tenant, session, prompt, deadline. Reads the request and
// the settings only; no I/O, no state.
#pragma once

#include <chalksail/chalksail.hpp>
#include <string>
#include <tl/expected.hpp>

#include "chat/request.hpp"
#include "config/settings.hpp"
#include "http/message.hpp"

namespace chalksail::core {

struct Intake {
    chat::Request chat;
    std::size_t cls = 0;  // index into the settings' classes
    std::string tenant;   // empty: none
    std::string session;  // never empty: a request without one is a session of its own
    std::string idempotency_key;
    Duration deadline{};  // the client's, from arrival
    bool retry = false;   // the client says that it has tried before
};

inline constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
inline constexpr std::string_view kTimeoutHeader = "X-Request-Timeout-Ms";
inline constexpr std::string_view kRetryHeader = "X-Stainless-Retry-Count";  // sent by the OpenAI clients

// `fallback_session`: for a request that names none.
[[nodiscard]] tl::expected<Intake, chat::ApiError> take_in(const config::EdgeSettings& settings,
                                                           const http::Request& request,
                                                           const std::string& fallback_session);

}  // namespace chalksail::core
