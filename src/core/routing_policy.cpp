#include "core/routing_policy.hpp"

namespace chalksail::core {

namespace {

class RouterPolicy : public RoutingPolicy {
public:
    explicit RouterPolicy(const config::EdgeSettings& settings) : router_(settings.router, settings.seed) {}
    std::vector<Action> step(Time now, std::span<const Event> events) override {
        return router_.step(now, events);
    }
    std::size_t tracked_requests() const override { return router_.tracked_requests(); }

private:
    Router router_;
};

}  // namespace

std::unique_ptr<RoutingPolicy> make_router_policy(const config::EdgeSettings& settings) {
    return std::make_unique<RouterPolicy>(settings);
}

void RouterHost::run_timers(Time now, StepOutput& output) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
        output.notify(TimerFired{timers_.begin()->second});
        timers_.erase(timers_.begin());
    }
}

std::optional<Time> RouterHost::next_timer() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.begin()->first;
}

}  // namespace chalksail::core
