#include "core/platform_settings.hpp"

#include <algorithm>

namespace chalksail::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Standard streams, the event loop, the listener, discovery, and a reserve.
constexpr std::int64_t kReservedDescriptors = 32;
constexpr std::size_t kKiB = 1024;
// For so long the platform may stall a process.
constexpr Duration kMaxStall = milliseconds(150);

void limit_descriptors(std::int64_t sockets, config::EdgeLimits& limits) {
    // Descriptors: a bit over half for clients, of whom some are idle; each open request has one server
    // connection at most.
    const std::int64_t descriptors = sockets - kReservedDescriptors;
    limits.client_connections = descriptors * 11 / 20;
    limits.open_requests = limits.client_connections;
    limits.server_connections = descriptors - limits.client_connections;
    limits.connections_per_server = limits.server_connections;
    limits.dial_queue = limits.open_requests;
}

void limit_bytes(std::int64_t memory_mb, config::EdgeLimits& limits) {
    // Bytes: no body of the platform is larger, heads have some hundred bytes.
    limits.head_bytes = 16 * kKiB;
    limits.body_bytes = 256 * kKiB;
    // In sum: a body is copied while it waits for its connection, so at most twice the first limit is used.
    const std::size_t memory = static_cast<std::size_t>(memory_mb) * kKiB * kKiB;
    limits.request_bytes = memory / 8;
    limits.unfinished_bytes = memory / 8;
    limits.response_bytes = 64 * kKiB;
    limits.event_bytes = 64 * kKiB;
    limits.chunk_bytes = limits.body_bytes;
    limits.stream_buffer_bytes = 64 * kKiB;
    limits.pipelined_bytes = limits.unfinished_bytes / 2;  // in sum as the unfinished ones
}

void limit_times(Duration server_idle_timeout, config::EdgeLimits& limits) {
    // Times: a client without a whole request is closed before the platform counts it as kept waiting.
    limits.request_idle_timeout = milliseconds(2300);
    limits.head_timeout = seconds(8);
    limits.body_timeout = seconds(8);
    limits.first_timeout = milliseconds(2200);
    limits.idle_timeout = seconds(60);
    limits.stall_timeout = seconds(4);
    limits.stream_idle_timeout = seconds(4);
    // A server closes a connection at its limit: it is closed here, well before.
    if (server_idle_timeout > Duration::zero()) limits.server_idle_timeout = server_idle_timeout / 2;
    limits.server_preferred_idle = milliseconds(5);
    limits.release_timeout = milliseconds(150);
    // A held KV state has 300 ms beyond its time: room for four rounds of release calls.
    limits.release_retry = milliseconds(80);
    limits.release_attempts = 8;
}

void limit_shutdown(const Settings& settings, config::EdgeLimits& limits) {
    Duration longest_deadline{};
    for (const auto& known : settings.classes) longest_deadline = std::max(longest_deadline, known.deadline);
    // The platform kills no sooner than this after SIGTERM. For half of it requests are accepted as before,
    // and those are answered, their streams ended or migrated, before the rest is over: else they would count
    // as lost. Where streams can't be migrated no request is accepted later than 0.7 s after the signal, when
    // losses begin to count; this process may notice the signal late.
    const Duration kill_after = std::min<Duration>(longest_deadline, seconds(3)) + milliseconds(700);
    limits.drain_answer_timeout = kill_after - milliseconds(500);
    limits.drain_grace = settings.stream_resumption_enabled ? kill_after / 2 : milliseconds(700) - kMaxStall;
    // A request's time grows with its prompt, beyond its class's deadline, and the platform may kill later
    // than it has to: there is no time after which this process may cut what it has accepted.
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
    limit_descriptors(configuration.limits.sockets, out.limits);
    limit_bytes(configuration.limits.memory_mb, out.limits);
    limit_times(configuration.server_idle_timeout, out.limits);
    limit_shutdown(out.router, out.limits);
    return out;
}

}  // namespace chalksail::core
