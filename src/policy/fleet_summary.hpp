// Sums over all servers in service that a step needs many times: how many of each role are warm or healthy,
// and the memory of the decode servers. With thousands of servers a walk for each question, and a question
// for each server, would cost the square of the fleet; EndpointTable says when they are counted again.
#pragma once

#include <array>
#include <chalksail/chalksail.hpp>

#include "outlier_detection.hpp"

namespace chalksail::policy {

class FleetSummary {
public:
    FleetSummary() = default;
    // A server warms up for `slow_start_duration`, and has this part of its capacity meanwhile.
    FleetSummary(Duration slow_start_duration, double initial_capacity)
        : slow_start_duration_(slow_start_duration), initial_capacity_(initial_capacity) {}

    // Counts a server in service.
    void add(Role role, Time started_at, const ServerHealth& health, double memory_tokens, Time now);

    // Servers of exactly this role that are not warming up.
    [[nodiscard]] std::int64_t warm(Role role) const { return warm_[index(role)]; }
    // Whether a server in good standing can do this role's work.
    [[nodiscard]] bool has_healthy(Role role) const;
    // Whether a decode or mixed server is in service.
    [[nodiscard]] bool has_decode_server() const { return decode_servers_ > 0; }
    // Of decode and mixed servers that are not ejected, in tokens; a warming one counts in part.
    [[nodiscard]] double decode_memory() const { return decode_memory_; }
    // When the first of the warming servers is warm and the sums no longer hold.
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
