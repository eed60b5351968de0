#include "fleet_summary.hpp"

#include <algorithm>

#include "slow_start.hpp"

namespace chalksail::policy {

void FleetSummary::add(Role role, Time started_at, const ServerHealth& health, double memory_tokens,
                       Time now) {
    const bool warming_up = is_warming_up(started_at, now, slow_start_duration_);
    if (warming_up) next_warm_up_ = std::min(next_warm_up_, started_at + slow_start_duration_);
    else warm_[index(role)] += 1;
    if (health.in_good_standing()) healthy_[index(role)] += 1;
    if (role == Role::prefill) return;
    decode_servers_ += 1;
    if (!health.ejected()) decode_memory_ += memory_tokens * (warming_up ? initial_capacity_ : 1);
}

bool FleetSummary::has_healthy_server(Role role) const {
    return healthy_[index(role)] + (role == Role::mixed ? 0 : healthy_[index(Role::mixed)]) > 0;
}

}  // namespace chalksail::policy
