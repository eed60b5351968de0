// The servers of the endpoint list. Owns each Server. A server that has left the list is kept until its last
// attempt and KV state have ended. Each component stores its state of a server next to the endpoint, in a
// type of its own that only this component modifies.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <vector>

#include "concurrency_limit.hpp"
#include "fleet_summary.hpp"
#include "fleet_topology.hpp"
#include "latency_estimates.hpp"
#include "outlier_detection.hpp"
#include "prompt_cache.hpp"
#include "slow_start.hpp"

namespace chalksail::policy {

struct Server {
    Endpoint endpoint;
    Role role = Role::mixed;
    double memory_tokens = 0;  // KV cache capacity
    bool listed = true;
    int references = 0;                // attempts in flight and KV states waiting at the server
    double queued_prefill_tokens = 0;  // uncached prompt tokens of this gateway's prefills in flight
    ServerLimit limit;
    ServerHealth health;
    ServerLatency latency;
    PromptCache cache;
    WarmUpState warm_up;

    [[nodiscard]] bool in_service() const { return listed && endpoint.state == EndpointState::up; }
};

class EndpointTable {
public:
    // `settings` must outlive the table.
    explicit EndpointTable(const Settings& settings);

    [[nodiscard]] Server* find(const ServerId& id);
    [[nodiscard]] const Server* find(const ServerId& id) const;
    // All servers, ordered by id.
    [[nodiscard]] const std::map<ServerId, Server>& all() const { return servers_; }
    [[nodiscard]] std::map<ServerId, Server>& all() { return servers_; }

    // Applies an update with endpoints. Returns the servers that are new or have restarted, whose
    // observations must be reset.
    [[nodiscard]] std::vector<Server*> merge(const EndpointUpdate& update);
    // Removes servers that are neither listed nor in use, and rebuilds the topology. Returns the ids of the
    // removed servers.
    [[nodiscard]] std::vector<ServerId> remove_unlisted();

    [[nodiscard]] const FleetTopology& topology() const { return topology_; }
    // Returns totals over the servers. They are recomputed only after an update, a change of a server's
    // health (a different `health_version`) or the end of a server's warm-up.
    [[nodiscard]] const FleetSummary& summary(Time now, std::uint64_t health_version) const;
    // Returns the memory of the largest decode or mixed server seen so far, in tokens.
    [[nodiscard]] double largest_decode_memory() const { return largest_decode_memory_; }

private:
    void set_kind(Server& server);

    const Settings& settings_;
    std::map<ServerId, Server> servers_;
    FleetTopology topology_;
    double largest_decode_memory_ = 0;
    mutable FleetSummary summary_;
    mutable bool summary_stale_ = true;
    mutable std::uint64_t summary_health_version_ = 0;
};

}  // namespace chalksail::policy
