// Streams whose events name their request, for tests that check whether a client gets another request's
// events.
#pragma once

#include <chrono>
#include <string>

#include "net/platform_rig.hpp"

namespace chalksail::faults::testing {

// A model server's second response follows the first by some milliseconds. A later one cannot be told from
// the response to the next request, and is not sent.
inline constexpr std::chrono::milliseconds kMinSecondResponseDelay{1};
inline constexpr std::chrono::milliseconds kMaxSecondResponseDelay{20};

// Returns the id of a request that a server has received.
inline std::string request_id(const std::string& request) {
    const std::string name = "X-Correlation-Id: ";
    const auto begin = request.find(name) + name.size();
    return request.substr(begin, request.find("\r\n", begin) - begin);
}
inline std::string event_of(const std::string& id) {
    return R"(data: {"choices":[],"id":")" + id + "\"}\n\n";
}
inline std::string stream_of(const std::string& id) {
    return net::testing::kStreamHead + net::testing::chunked(event_of(id)) +
           net::testing::chunked("data: [DONE]\n\n") + "0\r\n\r\n";
}
// Returns whether the response holds an event of another request.
inline bool has_foreign_event(const std::string& response, const std::string& id) {
    const std::string field = R"("id":")";
    for (auto at = response.find(field); at != std::string::npos; at = response.find(field, at + 1))
        if (response.compare(at + field.size(), id.size() + 1, id + '"') != 0) return true;
    return false;
}

}  // namespace chalksail::faults::testing
