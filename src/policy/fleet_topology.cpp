#include "fleet_topology.hpp"

#include <algorithm>

namespace chalksail::policy {
namespace {

// Bounds of a prefill server's weight relative to the mean, by the number of decode servers in its cell.
constexpr double kMinRelativeRatio = 0.7;
constexpr double kMaxRelativeRatio = 1.3;
constexpr double kMaxLocalShare = 0.5;  // of prefills that stay in the local zone, as some zones are busier
constexpr double kMinDivisor = 0.01;    // avoids a division by zero

double clamped_ratio(double ratio) { return std::clamp(ratio, kMinRelativeRatio, kMaxRelativeRatio); }

}  // namespace

void RoleCounts::add(Role role, double weight) {
    count_[index(role)] += 1;
    weight_[index(role)] += std::max(0.0, weight);
}

double RoleCounts::decode_ratio() const {
    return count_[index(Role::decode)] / std::max(kMinDivisor, prefill_servers());
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
    return clamped_ratio(ratio) / std::max(kMinDivisor, ratio);
}

double FleetTopology::spare_decode_share(std::int64_t cell) const {
    return std::max(0.0, 1 - decode_demand(cell));
}

double FleetTopology::relative_decode_ratio(std::int64_t cell) const {
    const auto counts = cells_.find(cell);
    if (counts == cells_.end()) return 1;
    return counts->second.decode_ratio() / std::max(kMinDivisor, fleet_.decode_ratio());
}

double FleetTopology::local_zone_weight() const {
    const auto zone = zones_.find(local_zone_);
    const double all = fleet_.prefill_servers();
    const double local = zone == zones_.end() ? 0 : zone->second.prefill_servers();
    if (local <= 0 || local >= all) return 1;
    const auto zones = static_cast<double>(zones_.size());
    const double share = std::min(kMaxLocalShare, zones * local / all);
    return share / (1 - share) * (all - local) / local;
}

}  // namespace chalksail::policy
