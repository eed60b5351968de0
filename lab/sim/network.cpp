#include "sim/network.hpp"

#include <algorithm>

namespace chalksail::lab::sim {
namespace {

// TCP sends again after 200 ms at the earliest (Linux), and then after twice as long each time (RFC 6298).
constexpr Duration kFirstPause = std::chrono::milliseconds(200);
constexpr Duration kLongestPause = std::chrono::seconds(120);
// A SYN is sent again after a second (RFC 6298, 2.1).
constexpr Duration kSynPause = std::chrono::seconds(1);

// When the first copy leaves that isn't lost in the cut.
Time leaves(Time now, Time until, Duration pause) {
    while (now < until) {
        now += pause;
        pause = std::min(2 * pause, kLongestPause);
    }
    return now;
}

}  // namespace

Network::Network(NetworkSpec spec, std::vector<std::size_t> gateway_zones,
                 std::vector<std::size_t> engine_zones, Stream stream)
    : spec_(spec),
      gateway_zones_(std::move(gateway_zones)),
      engine_zones_(std::move(engine_zones)),
      stream_(stream) {}

Duration Network::delay(std::size_t gateway, std::size_t engine) {
    const Duration base =
        gateway_zones_[gateway] == engine_zones_[engine] ? spec_.same_zone : spec_.other_zone;
    if (spec_.jitter <= Duration::zero()) return base;
    return base +
           Duration(static_cast<std::int64_t>(stream_.uniform() * static_cast<double>(spec_.jitter.count())));
}

Time Network::blocked_until(std::size_t gateway, std::size_t engine, Time now) const {
    Time out = now;
    for (const auto& c : cuts_) {
        const bool g = c.gateways[gateway], e = c.engines[engine];
        if (c.off ? g != e : g && e) out = std::max(out, c.until);
    }
    return out;
}

bool Network::apart(std::size_t engine, std::size_t other, Time now) const {
    return std::any_of(cuts_.begin(), cuts_.end(), [&](const Cut& c) {
        return c.off && c.until > now && c.engines[engine] != c.engines[other];
    });
}

std::optional<Network::Dialled> Network::dial(std::size_t gateway, std::size_t engine, Time now,
                                              Duration timeout) {
    std::erase_if(cuts_, [&](const Cut& c) { return c.until <= now; });
    const Duration round = delay(gateway, engine) + delay(gateway, engine);
    const Time stands = leaves(now, blocked_until(gateway, engine, now), kSynPause) + round;
    if (stands - now > timeout) return std::nullopt;
    const Connection number = ++last_;
    Open& o = open_[number];
    o.gateway = gateway;
    o.engine = engine;
    return Dialled{number, stands};
}

std::optional<Time> Network::arrival(Connection connection, Way way, Time now, std::size_t bytes) {
    const auto it = open_.find(connection);
    if (it == open_.end() || it->second.silent) return std::nullopt;
    Open& o = it->second;
    const auto w = static_cast<std::size_t>(way);
    // Behind what waits already it goes along with that.
    if (o.again[w] <= now) o.again[w] = leaves(now, blocked_until(o.gateway, o.engine, now), kFirstPause);
    Time left = o.again[w];
    if (spec_.lost > 0 && stream_.chance(spec_.lost)) left += kFirstPause;
    if (spec_.bytes_per_second > 0) {
        left = std::max(left, o.free[w]);
        left +=
            Duration(static_cast<std::int64_t>(static_cast<double>(bytes) / spec_.bytes_per_second * 1e9));
        o.free[w] = left;
    }
    o.last[w] = std::max(o.last[w], left + delay(o.gateway, o.engine));
    return o.last[w];
}

void Network::silence(Connection connection) {
    if (const auto it = open_.find(connection); it != open_.end()) it->second.silent = true;
}

std::vector<Connection> Network::connections_of(std::size_t engine) const {
    std::vector<Connection> out;
    for (const auto& [number, o] : open_)
        if (o.engine == engine) out.push_back(number);
    std::sort(out.begin(), out.end());  // the table's own order is no order
    return out;
}

}  // namespace chalksail::lab::sim
