// The admin listener's words: the list of servers as JSON, in and out. Bytes <-> typed values; no I/O.
//
//   POST /servers  {"scope": "complete" | "changes", "servers": [{"name", "address", "kind", "zone", "cell", "weight",
//                   "state": "up" | "draining" | "removed", "started_unix_ms"}]}   taken whole or not at all
//   GET  /servers  the same shape, as the edge has it
//   GET  /metrics  Prometheus text
//   GET  /health   200 while requests are taken, 503 while draining
#pragma once

#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/edge.hpp"

namespace chalksail::net {

// Wall clock to the edge's: what to add to a time since 1970 to get a Time.
struct ClockOffset {
    Duration value{};
};

// Errors say what is wrong and where. `kinds`: those that the settings know.
[[nodiscard]] tl::expected<core::ServerList, std::string> parse_server_list(std::string_view body,
                                                                            const std::set<std::string>& kinds,
                                                                            ClockOffset offset);
[[nodiscard]] std::string format_server_list(const std::vector<core::ListedServer>& servers, ClockOffset offset);

// The settings' own servers, as a complete list.
[[nodiscard]] core::ServerList settings_list(const config::EdgeSettings& settings);

}  // namespace chalksail::net
