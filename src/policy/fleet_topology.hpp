// Counts of the servers in the current endpoint list, in total, by cell and by zone, and the ratios of
// prefill to decode servers that placement uses. They depend on the list alone: the turns of a session may
// reach any gateway of a zone, and all gateways must make the same choice.
#pragma once

#include <array>
#include <chalksail/chalksail.hpp>
#include <map>
#include <string>

namespace chalksail::policy {

// The number of servers in service and the sum of their weights, by role.
class RoleCounts {
public:
    void add(Role role, double weight);
    [[nodiscard]] double prefill_servers() const { return count_[index(Role::prefill)]; }
    // Returns the number of decode servers per prefill server.
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
    // Adds an endpoint that is in service.
    void add(const Endpoint& endpoint, Role role);

    [[nodiscard]] bool is_local(const Endpoint& endpoint) const { return endpoint.zone == local_zone_; }
    [[nodiscard]] double prefill_servers() const { return fleet_.prefill_servers(); }
    // Returns the endpoint's weight relative to the mean of its role.
    [[nodiscard]] double relative_weight(const Endpoint& endpoint, Role role) const;
    // Returns the weight of a prefill server in rendezvous hashing. It is higher for servers in a cell with
    // many decode servers, because KV states should stay in their cell, and for servers of the local zone.
    [[nodiscard]] double prefill_weight(const Endpoint& endpoint) const;
    // Returns the ratio of the prefills that a cell receives to those that its decode servers can accept.
    [[nodiscard]] double decode_demand(std::int64_t cell) const;
    // Returns the fraction of a cell's decode servers that its own prefills do not need.
    [[nodiscard]] double spare_decode_share(std::int64_t cell) const;

private:
    // Returns the decode servers per prefill server in the cell, relative to the whole fleet.
    [[nodiscard]] double relative_decode_ratio(std::int64_t cell) const;
    [[nodiscard]] double local_zone_weight() const;

    std::string local_zone_;
    RoleCounts fleet_;
    std::map<std::int64_t, RoleCounts> cells_;
    std::map<std::string, RoleCounts> zones_;
};

}  // namespace chalksail::policy
