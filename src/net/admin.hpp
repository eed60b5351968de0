// The formats of the admin listener, and the two endpoint sources that need no discovery service: the
// settings and the lists posted to the admin listener. Converts between bytes and typed values; no I/O.
// Errors are texts that say what is wrong and where.
//
//   POST /servers  applied as a whole or rejected as a whole:
//                  {"scope": "complete" | "changes",
//                   "servers": [{"name", "address", "kind", "zone", "cell", "weight",
//                                "state": "up" | "draining" | "removed", "started_unix_ms"}]}
//   GET  /servers  the list in force, in the same format
//   GET  /metrics  metrics in the Prometheus text format
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

// The offset from wall-clock time since 1970 to the monotonic clock of Time: monotonic minus wall.
struct ClockOffset {
    Duration value{};
};

// Parses the body of a POST /servers. Errors say what is wrong and where. `kinds` holds the names of the
// kinds of server in the settings.
[[nodiscard]] tl::expected<membership::EndpointList, std::string> parse_server_list(
    std::string_view body, const std::set<std::string>& kinds, ClockOffset offset);
[[nodiscard]] std::string format_server_list(const std::vector<membership::EndpointConfig>& servers,
                                             ClockOffset offset);

// Delivers the servers of the settings once, as a snapshot.
class SettingsSource : public membership::EndpointSource {
public:
    explicit SettingsSource(const config::EdgeSettings& settings) : settings_(settings) {}
    void start(membership::EndpointSink& sink) override;

private:
    const config::EdgeSettings& settings_;
};

// Delivers the lists that are posted to the admin listener.
class AdminSource : public membership::EndpointSource {
public:
    AdminSource(std::set<std::string> kinds, ClockOffset offset)
        : kinds_(std::move(kinds)), offset_(offset) {}
    void start(membership::EndpointSink& sink) override { sink_ = &sink; }
    // Handles the body of a POST /servers. Returns an error text, or std::nullopt once the list was delivered
    // to the sink.
    [[nodiscard]] std::optional<std::string> post(std::string_view body);
    [[nodiscard]] ClockOffset offset() const { return offset_; }

private:
    std::set<std::string> kinds_;
    ClockOffset offset_;
    membership::EndpointSink* sink_ = nullptr;
};

}  // namespace chalksail::net
