#include "fleet_topology.hpp"

#include <algorithm>

namespace chalksail::policy {
namespace {

constexpr double kLeastRatio = 0.7;  // prefill servers beside few decode servers get at least this part ...
constexpr double kMostRatio = 1.3;   // ... of the mean, and those beside many at most this
constexpr double kMostLocal = 0.5;   // part of the prefills that stay in this zone, at most: some are busier
constexpr double kSmallestRatio = 0.01;  // keeps divisions finite

double clamped_ratio(double ratio) { return std::clamp(ratio, kLeastRatio, kMostRatio); }

}  // namespace

void RoleCounts::add(Role role, double weight) {
    count_[index(role)] += 1;
    weight_[index(role)] += std::max(0.0, weight);
}

double RoleCounts::decode_ratio() const {
    return count_[index(Role::decode)] / std::max(kSmallestRatio, prefill_servers());
}

double RoleCounts::mean_weight(Role role) const {
    return weight_[index(role)] / std::max(1.0, count_[index(role)]);
}

void FleetTopology::clear() {
    fleet_ = {};
    cells_.clear();
    zones_.clear();
}

void FleetTopology::add(const Endpoint& endpoint, Role role) {
    for (RoleCounts* counts : {&fleet_, &cells_[endpoint.cell], &zones_[endpoint.zone]})
        counts->add(role, endpoint.weight);
}

double FleetTopology::relative_weight(const Endpoint& endpoint, Role role) const {
    const double mean = fleet_.mean_weight(role);
    return mean > 0 && endpoint.weight > 0 ? endpoint.weight / mean : 1;
}

double FleetTopology::prefill_weight(const Endpoint& endpoint) const {
    return (is_local(endpoint) ? local_zone_weight() : 1) *
           clamped_ratio(relative_decode_ratio(endpoint.cell));
}

double FleetTopology::decode_demand(std::int64_t cell) const {
    const double ratio = relative_decode_ratio(cell);
    return clamped_ratio(ratio) / std::max(kSmallestRatio, ratio);
}

double FleetTopology::spare_decode_share(std::int64_t cell) const {
    return std::max(0.0, 1 - decode_demand(cell));
}

double FleetTopology::relative_decode_ratio(std::int64_t cell) const {
    const auto counts = cells_.find(cell);
    if (counts == cells_.end()) return 1;
    return counts->second.decode_ratio() / std::max(kSmallestRatio, fleet_.decode_ratio());
}

double FleetTopology::local_zone_weight() const {
    const auto zone = zones_.find(local_zone_);
    const double all = fleet_.prefill_servers();
    const double local = zone == zones_.end() ? 0 : zone->second.prefill_servers();
    if (local <= 0 || local >= all) return 1;
    const auto zones = static_cast<double>(zones_.size());
    const double share = std::min(kMostLocal, zones * local / all);
    return share / (1 - share) * (all - local) / local;
}

}  // namespace chalksail::policy
