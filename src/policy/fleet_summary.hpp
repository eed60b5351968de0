// Totals over all servers in service that a step reads many times: the numbers of warm and healthy servers of
// each role, and the memory of the decode servers. Computing them for each server would take time quadratic
// in the size of the fleet, which may be thousands of servers. EndpointTable decides when to recompute them.
#pragma once

#include <array>
#include <chalksail/chalksail.hpp>

#include "outlier_detection.hpp"

namespace chalksail::policy {

class FleetSummary {
public:
    FleetSummary() = default;
    // A server warms up for `slow_start_duration`; in that time it counts with the fraction
    // `initial_capacity` of its memory.
    FleetSummary(Duration slow_start_duration, double initial_capacity)
        : slow_start_duration_(slow_start_duration), initial_capacity_(initial_capacity) {}

    // Adds a server that is in service.
    void add(Role role, Time started_at, const ServerHealth& health, double memory_tokens, Time now);

    // Returns the number of servers of exactly this role that are not warming up.
    [[nodiscard]] std::int64_t warm(Role role) const { return warm_[index(role)]; }
    // Returns whether a server in good standing can do the work of this role.
    [[nodiscard]] bool has_healthy_server(Role role) const;
    // Returns whether a decode or mixed server is in service.
    [[nodiscard]] bool has_decode_server() const { return decode_servers_ > 0; }
    // Returns the memory of decode and mixed servers that are not ejected, in tokens. A warming server counts
    // in part.
    [[nodiscard]] double decode_memory() const { return decode_memory_; }
    // Returns the time at which the first of the warming servers is warm, so that the totals are out of date.
    [[nodiscard]] Time next_warm_up() const { return next_warm_up_; }

private:
    static std::size_t index(Role role) { return static_cast<std::size_t>(role); }

    Duration slow_start_duration_{};
    double initial_capacity_ = 1;
    std::array<std::int64_t, 3> warm_{};
    std::array<std::int64_t, 3> healthy_{};
    std::int64_t decode_servers_ = 0;
    double decode_memory_ = 0;
    Time next_warm_up_ = Time::max();
};

}  // namespace chalksail::policy
