#include "core/platform_settings.hpp"

#include <algorithm>

namespace chalksail::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// For the standard streams, the event loop, the listener and discovery, and a margin.
constexpr std::int64_t kReservedDescriptors = 32;
constexpr std::size_t kKiB = 1024;
// The longest time for which the platform may stall a process.
constexpr Duration kMaxStall = milliseconds(150);

void set_descriptor_limits(std::int64_t sockets, config::EdgeLimits& limits) {
    // Slightly more than half is for clients, as some of their connections are idle; each open request uses
    // at most one server connection.
    const std::int64_t descriptors = sockets - kReservedDescriptors;
    limits.client_connections = descriptors * 11 / 20;
    limits.open_requests = limits.client_connections;
    limits.server_connections = descriptors - limits.client_connections;
    limits.connections_per_server = limits.server_connections;
    limits.dial_queue = limits.open_requests;
}

// Returns the size of a buffer of which each of so many connections may have one: together they take a
// sixteenth of the memory, if they are not at their minimum.
std::size_t buffer_bytes(std::size_t memory, std::int64_t connections) {
    return std::clamp(memory / 16 / static_cast<std::size_t>(connections), 4 * kKiB, 64 * kKiB);
}

void set_byte_limits(std::int64_t memory_mb, config::EdgeLimits& limits) {
    // The platform sends no larger bodies in either direction; request heads have a few hundred bytes.
    limits.head_bytes = 16 * kKiB;
    limits.body_bytes = 256 * kKiB;
    // Totals for all requests. A body is copied while its attempt waits for a connection, so the bodies use
    // at most twice request_bytes.
    const std::size_t memory = static_cast<std::size_t>(memory_mb) * kKiB * kKiB;
    limits.memory_bytes = memory;
    limits.request_bytes = memory / 8;
    limits.unfinished_bytes = memory / 8;
    limits.response_bytes = 64 * kKiB;
    limits.event_bytes = 64 * kKiB;
    limits.all_responses_bytes = memory / 16;
    limits.chunk_bytes = limits.body_bytes;
    limits.max_stream_bytes = limits.body_bytes;
    // Each connection may have one such buffer, and hold one more read than its buffer's limit.
    limits.stream_buffer_bytes = buffer_bytes(memory, limits.client_connections);
    limits.response_read_bytes = buffer_bytes(memory, limits.server_connections);
    limits.pipelined_bytes = limits.unfinished_bytes / 2;  // total, like unfinished_bytes
}

void set_timeouts(Duration server_idle_timeout, config::EdgeLimits& limits) {
    // A connection without a complete request is closed before the platform counts its client as kept
    // waiting.
    limits.request_idle_timeout = milliseconds(2300);
    limits.head_timeout = seconds(8);
    limits.body_timeout = seconds(8);
    limits.first_timeout = milliseconds(2200);
    limits.idle_timeout = seconds(60);
    limits.stall_timeout = seconds(4);
    limits.stream_idle_timeout = seconds(4);
    // The gateway closes an idle connection well before the server does.
    if (server_idle_timeout > Duration::zero()) limits.server_idle_timeout = server_idle_timeout / 2;
    limits.release_timeout = milliseconds(150);
    // A held KV state must be released within 300 ms after it is due, enough for four rounds of release
    // calls.
    limits.release_retry = milliseconds(80);
    limits.release_attempts = 8;
}

void set_shutdown_limits(const Settings& settings, config::EdgeLimits& limits) {
    Duration longest_deadline{};
    for (const auto& known : settings.classes) longest_deadline = std::max(longest_deadline, known.deadline);
    // The platform kills the process no earlier than this after SIGTERM. Requests are accepted for the first
    // half of that time, and in the rest they are answered and their streams completed or migrated; otherwise
    // they would count as lost. If streams cannot be migrated, no request is accepted later than 0.7 s after
    // the signal, when losses begin to count; the process may notice the signal late.
    const Duration kill_after = std::min<Duration>(longest_deadline, seconds(3)) + milliseconds(700);
    limits.drain_answer_timeout = kill_after - milliseconds(500);
    limits.drain_grace = settings.stream_resumption_enabled ? kill_after / 2 : milliseconds(700) - kMaxStall;
    // No limit: a request's time grows with its prompt, beyond its class's deadline, and the platform may
    // kill the process later than the minimum, so accepted requests must never be cut off.
    limits.drain_timeout = config::kNoLimit;
}

}  // namespace

config::EdgeSettings platform_settings(const platform::Configuration& configuration) {
    config::EdgeSettings out;
    out.router = configuration.settings;
    out.protocol = config::ProtocolKind::platform;
    out.name = configuration.name;
    out.seed = configuration.seed;
    out.listen = configuration.listen;
    out.admin.reset();
    for (const auto& known : out.router.classes) {
        config::ClassConfig request_class;
        request_class.name = known.name;
        out.classes.push_back(std::move(request_class));
    }
    for (const auto& known : out.router.kinds) {
        config::KindConfig kind;
        kind.name = known.name;
        out.kinds.push_back(std::move(kind));
    }
    set_descriptor_limits(configuration.limits.sockets, out.limits);
    set_byte_limits(configuration.limits.memory_mb, out.limits);
    set_timeouts(configuration.server_idle_timeout, out.limits);
    set_shutdown_limits(out.router, out.limits);
    return out;
}

}  // namespace chalksail::core
