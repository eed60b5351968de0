// The admin listener's formats, and the two sources of endpoint lists that need no service: the settings, and
// what is posted to the admin listener. Bytes <-> typed values; no I/O. Errors are texts that say what is
// wrong and where.
//
//   POST /servers  accepted whole or not at all:
//                  {"scope": "complete" | "changes",
//                   "servers": [{"name", "address", "kind", "zone", "cell", "weight",
//                                "state": "up" | "draining" | "removed", "started_unix_ms"}]}
//   GET  /servers  the same, as the gateway has it
//   GET  /metrics  Prometheus text
//   GET  /health   200 while requests are accepted, 503 while draining
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "core/edge.hpp"
#include "http/message.hpp"
#include "membership/endpoint_source.hpp"

namespace chalksail::net {

// What to add to a wall clock time since 1970 to get a Time.
struct ClockOffset {
    Duration value{};
};

// Errors say what is wrong and where. `kinds`: those that the settings know.
[[nodiscard]] tl::expected<membership::EndpointList, std::string> parse_server_list(
    std::string_view body, const std::set<std::string>& kinds, ClockOffset offset);
[[nodiscard]] std::string format_server_list(const std::vector<membership::EndpointConfig>& servers,
                                             ClockOffset offset);

// The settings' own servers, given once as a snapshot.
class SettingsSource : public membership::EndpointSource {
public:
    explicit SettingsSource(const config::EdgeSettings& settings) : settings_(settings) {}
    void start(membership::EndpointSink& sink) override;

private:
    const config::EdgeSettings& settings_;
};

// What is posted to the admin listener.
class AdminSource : public membership::EndpointSource {
public:
    AdminSource(std::set<std::string> kinds, ClockOffset offset)
        : kinds_(std::move(kinds)), offset_(offset) {}
    void start(membership::EndpointSink& sink) override { sink_ = &sink; }
    // Handles a POST /servers: an error text, or nothing once the list is in force.
    [[nodiscard]] std::optional<std::string> post(std::string_view body);
    [[nodiscard]] ClockOffset offset() const { return offset_; }

private:
    std::set<std::string> kinds_;
    ClockOffset offset_;
    membership::EndpointSink* sink_ = nullptr;
};

}  // namespace chalksail::net
