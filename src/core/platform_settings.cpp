#include "core/platform_settings.hpp"

#include <algorithm>

namespace chalksail::core {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kDescriptorsKept =
    32;  // standard streams, the loop, listener, discovery, and a reserve
constexpr std::size_t kKiB = 1024;
constexpr Duration kHeldUp = milliseconds(150);  // for so long the platform may hold a process up

}  // namespace

config::EdgeSettings platform_settings(const platform::Configuration& told) {
    config::EdgeSettings out;
    out.module = told.settings;
    out.protocol = config::ProtocolKind::platform;
    out.name = told.name;
    out.seed = told.seed;
    out.listen = told.listen;
    out.admin.reset();
    for (const auto& c : out.module.classes) {
        config::ClassConfig cls;
        cls.name = c.name;
        out.classes.push_back(std::move(cls));
    }
    for (const auto& k : out.module.kinds) {
        config::KindConfig kind;
        kind.name = k.name;
        out.kinds.push_back(std::move(kind));
    }
    Duration longest{};
    for (const auto& c : out.module.classes) longest = std::max(longest, c.deadline);

    config::EdgeLimits& l = out.limits;
    // Descriptors: a bit over half for clients, of whom some ask nothing; each open request has one server at
    // most.
    const std::int64_t free = told.limits.sockets - kDescriptorsKept;
    l.connections = free * 11 / 20;
    l.open_requests = l.connections;
    l.server_connections = free - l.connections;
    l.per_server = l.server_connections;
    l.dial_queue = l.open_requests;
    // Bytes: no body of the platform's is larger, heads are some hundred.
    l.head_bytes = 16 * kKiB;
    l.body_bytes = 256 * kKiB;
    // In sum: a body is copied while it waits for its connection, so twice of the first at most.
    const std::size_t memory = static_cast<std::size_t>(told.limits.memory_mb) * kKiB * kKiB;
    l.request_bytes = memory / 8;
    l.unfinished_bytes = memory / 8;
    l.answer_bytes = 64 * kKiB;
    l.event_bytes = 64 * kKiB;
    l.chunk_bytes = l.body_bytes;
    l.stream_buffer = 64 * kKiB;
    l.pipelined_bytes = l.unfinished_bytes / 2;  // in sum as those unfinished
    // Times: whoever asks nothing, or half a request, is let go before the platform calls it kept waiting.
    l.request_idle = milliseconds(2300);
    l.head_timeout = seconds(8);
    l.body_timeout = seconds(8);
    l.first_timeout = milliseconds(2200);
    l.idle_timeout = seconds(60);
    l.stall_timeout = seconds(4);
    l.stream_idle = seconds(4);
    // A server closes a connection at its limit: it is closed here, well before.
    if (told.server_idle > Duration::zero()) l.server_idle = told.server_idle / 2;
    l.server_preferred_idle = milliseconds(5);
    l.release_timeout = milliseconds(150);
    // What is held has 300 ms beyond its time: four rounds of servers are asked in that.
    l.release_retry = milliseconds(80);
    l.release_attempts = 8;
    // The platform kills no sooner than this after SIGTERM. Half of it goes by as before, and what comes then
    // is answered, its stream ended or moved, before the rest is over: else it would count as lost. Where
    // streams can't be moved nobody is taken on later than 0.7 s after the signal, from when on that counts;
    // this process may hear of the signal late.
    const Duration killed = std::min<Duration>(longest, seconds(3)) + milliseconds(700);
    l.drain_answers = killed - milliseconds(500);
    l.drain_grace = out.module.stream_resumption_enabled ? killed / 2 : milliseconds(700) - kHeldUp;
    // A request's own time grows with its prompt, beyond its class's deadline, and whoever kills comes when
    // it likes: there is no time after which what was taken may be cut from here.
    l.drain = config::kNoLimit;
    return out;
}

}  // namespace chalksail::core
