// Well-known load-balancing policies as routing policies of an edge, to compare the router with. They keep
// the five rules and retry after failures, but have no admission control: a server at capacity says so, and
// another one is tried.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/routing_policy.hpp"

namespace chalksail::lab {

enum class PlacementPolicy {
    random,             // any server in service
    round_robin,        // one after the other
    least_outstanding,  // the one with the fewest of this edge's requests
    two_choices,        // the better of two drawn, by the same measure
    prefix_hash,        // reads: rendezvous hash of the shared beginning; writes: least outstanding
};

class Baseline : public core::RoutingPolicy {
public:
    Baseline(const Settings& settings, std::uint64_t seed, PlacementPolicy placement_policy);
    std::vector<Action> step(Time now, std::span<const Event> events) override;
    std::size_t tracked_requests() const override { return requests_.size(); }

private:
    struct Server {
        Endpoint entry;
        Role role = Role::mixed;
        int outstanding = 0;
    };
    struct Request {
        const RequestClassSettings* cls = nullptr;
        std::string prefix;
        Time deadline{};
        Time not_before{};
        Time read_at{};  // when its state began to wait
        std::optional<ServerId> state_at;
        std::optional<AttemptId> out;
        int sends = 0;
        bool may_have_run = false;
        bool ended = false;
    };
    void on(const EndpointUpdate& e);
    void on(const RequestArrived& e);
    void on(const AttemptEnded& e);
    void on(const ClientDisconnected& e);
    template <class Other>
    void on(const Other&) {}
    void place(RequestId id, Request& request);
    void give_up(RequestId id, Request& request);
    [[nodiscard]] Server* choose(bool read, const Request& request);
    [[nodiscard]] double draw() { return std::generate_canonical<double, 53>(random_); }

    Settings settings_;
    PlacementPolicy placement_policy_;
    std::mt19937_64 random_;
    Time now_{};
    std::map<ServerId, Server> servers_;
    std::map<RequestId, Request> requests_;
    std::vector<Action> actions_;
    std::vector<RequestId> over_;
    std::size_t turn_ = 0;
    std::uint64_t last_timer_ = 0;
};

}  // namespace chalksail::lab
