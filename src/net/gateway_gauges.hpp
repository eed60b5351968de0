// The gauges of the gateway's metrics page, collected when the page is requested. docs/operators/gateway.md
// documents them. No side effects apart from setting the metrics.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/edge.hpp"
#include "net/cache_feed.hpp"
#include "net/http_server.hpp"
#include "net/tls_certificates.hpp"
#include "net/upstream_pool.hpp"
#include "observe/metrics.hpp"

namespace chalksail::net {

struct GatewayGauges {
    core::Gauges core;
    HttpServer::Counts clients;
    std::uint64_t accept_errors = 0;
    std::size_t resident_bytes = 0;  // memory of this process
    UpstreamPool::Counts servers;
    TlsCertificates::Counts certificates;
    std::optional<std::int64_t> listener_valid_seconds;         // empty if the listener does not use TLS
    std::map<std::string, std::int64_t> servers_valid_seconds;  // by kind of server, for kinds that use TLS
    std::optional<CacheFeed::Counts> cache_feed;  // empty if no kind of server publishes cache events
    std::uint64_t snapshots_written = 0;
};

void publish(const GatewayGauges& gauges, observe::Metrics& metrics);

}  // namespace chalksail::net
