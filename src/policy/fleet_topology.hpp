// Counts of the endpoint list in force, in all, by cell and by zone, and the ratios of prefill to decode
// servers that placement uses. They go by the list alone: a session's turns come to any gateway of a zone,
// and all gateways must agree on them.
#pragma once

#include <array>
#include <chalksail/chalksail.hpp>
#include <map>
#include <string>

namespace chalksail::policy {

// Servers in service and the sum of their weights, by role.
class RoleCounts {
public:
    void add(Role role, double weight);
    [[nodiscard]] double prefill_servers() const { return count_[index(Role::prefill)]; }
    // Decode servers for each prefill server.
    [[nodiscard]] double decode_ratio() const;
    [[nodiscard]] double mean_weight(Role role) const;

private:
    static std::size_t index(Role role) { return static_cast<std::size_t>(role); }
    std::array<double, 3> count_{};
    std::array<double, 3> weight_{};
};

class FleetTopology {
public:
    explicit FleetTopology(std::string local_zone) : local_zone_(std::move(local_zone)) {}

    void clear();
    // Counts an endpoint that is in service.
    void add(const Endpoint& endpoint, Role role);

    [[nodiscard]] bool is_local(const Endpoint& endpoint) const { return endpoint.zone == local_zone_; }
    [[nodiscard]] double prefill_servers() const { return fleet_.prefill_servers(); }
    // The endpoint's weight against the mean of its role.
    [[nodiscard]] double relative_weight(const Endpoint& endpoint, Role role) const;
    // Weight of a prefill server in rendezvous hashing: states stay in their cell, so one beside many decode
    // servers gets more, and so do those of the local zone.
    [[nodiscard]] double prefill_weight(const Endpoint& endpoint) const;
    // Prefills that a cell draws, for each that its decode servers can take.
    [[nodiscard]] double decode_demand(std::int64_t cell) const;
    // The part of a cell's decode servers that its own prefills leave free.
    [[nodiscard]] double spare_decode_share(std::int64_t cell) const;

private:
    // Decode servers for each prefill server in the cell, against the whole fleet's.
    [[nodiscard]] double relative_decode_ratio(std::int64_t cell) const;
    [[nodiscard]] double local_zone_weight() const;

    std::string local_zone_;
    RoleCounts fleet_;
    std::map<std::int64_t, RoleCounts> cells_;
    std::map<std::string, RoleCounts> zones_;
};

}  // namespace chalksail::policy
