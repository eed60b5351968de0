#include "net/edge_server_limits.hpp"

#include <algorithm>

namespace chalksail::net {

ServerLimits client_limits(const config::EdgeLimits& limits) {
    ServerLimits out;
    out.message = {limits.head_bytes, limits.body_bytes};
    out.unfinished_bytes = limits.unfinished_bytes;
    out.idle_connections.connections = static_cast<std::size_t>(limits.client_connections);
    out.idle_connections.first = limits.first_timeout;
    out.idle_connections.idle = limits.idle_timeout;
    out.idle_connections.pressed = limits.idle_timeout_under_pressure;
    out.idle_connections.linger = limits.linger;
    out.stream_buffer_bytes = limits.stream_buffer_bytes;
    out.pipelined_bytes = limits.pipelined_bytes;
    out.discarded_bytes = limits.discarded_bytes;
    out.head_timeout = limits.head_timeout;
    out.body_timeout = limits.body_timeout;
    out.request_idle_timeout = limits.request_idle_timeout;
    out.stall_timeout = limits.stall_timeout;
    return out;
}

ServerLimits admin_limits(const config::EdgeLimits& limits) {
    ServerLimits out = client_limits(limits);
    out.idle_connections.connections = static_cast<std::size_t>(limits.admin_connections);
    return out;
}

PoolLimits upstream_limits(const config::EdgeSettings& settings) {
    const auto& limits = settings.limits;
    PoolLimits out;
    out.message = {limits.head_bytes, 0, limits.chunk_bytes};
    out.read_bytes = limits.response_read_bytes;
    out.connections_per_server = static_cast<std::size_t>(limits.connections_per_server);
    out.max_queued_calls = static_cast<std::size_t>(limits.dial_queue);
    out.connections = static_cast<std::size_t>(limits.server_connections);
    out.dial_timeout = settings.router.dial_timeout;
    out.idle_timeout = limits.server_idle_timeout;
    out.reuse_delay = {limits.server_reuse_delay, limits.server_reuse_delay_increased,
                       limits.server_reuse_delay_increased_for};
    out.completion_timeout = limits.release_timeout;
    out.handshakes = {static_cast<std::size_t>(limits.handshakes),
                      static_cast<std::size_t>(limits.handshakes_per_server)};
    return out;
}

CacheFeed::Limits cache_feed_limits(const config::CacheEvents& settings) {
    CacheFeed::Limits out;
    out.message_bytes = settings.message_bytes;
    out.queue = static_cast<int>(settings.max_queued_messages);
    out.messages_per_turn = static_cast<int>(settings.turn_messages);
    out.bytes_per_turn = std::max<std::size_t>(1, settings.turn_bytes);
    out.reconnect_min = settings.reconnect_min;
    out.reconnect_max = settings.reconnect_max;
    return out;
}

}  // namespace chalksail::net
