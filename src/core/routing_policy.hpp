// The interface to an edge's routing policy: the router of src/policy, or a baseline that the laboratory
// compares it with. The contract is that of chalksail::Router. The attempts of any policy pass the core's
// checks (attempt_guard.hpp) before they are sent.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "config/settings.hpp"
#include "core/step_output.hpp"

namespace chalksail::core {

class RoutingPolicy {
public:
    virtual ~RoutingPolicy() = default;
    [[nodiscard]] virtual std::vector<Action> step(Time now, std::span<const Event> events) = 0;
    [[nodiscard]] virtual std::size_t tracked_requests() const = 0;
};

// Returns the router of src/policy. Throws std::invalid_argument if it rejects its settings.
[[nodiscard]] std::unique_ptr<RoutingPolicy> make_router_policy(const config::EdgeSettings& settings);

// A routing policy and the timers that it has set. Not thread-safe.
class RouterHost {
public:
    explicit RouterHost(std::unique_ptr<RoutingPolicy> policy) : policy_(std::move(policy)) {}

    // Passes the events to the policy and returns its actions, to be carried out in order.
    [[nodiscard]] std::vector<Action> step(Time now, std::span<const Event> events) {
        return policy_->step(now, events);
    }
    [[nodiscard]] std::size_t tracked_requests() const { return policy_->tracked_requests(); }

    void set_timer(Time at, TimerId id) { timers_.emplace(at, id); }
    // Notifies the policy of the timers that are due.
    void run_timers(Time now, StepOutput& output);
    [[nodiscard]] std::optional<Time> next_timer() const;

private:
    std::unique_ptr<RoutingPolicy> policy_;
    std::multimap<Time, TimerId> timers_;
};

}  // namespace chalksail::core
