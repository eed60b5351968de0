#include "policy/slow_start.hpp"

#include <gtest/gtest.h>

namespace chalksail::policy {
namespace {

using namespace std::chrono_literals;

constexpr Time kNow{1000s};
constexpr Duration kTick = 4ms;

Settings settings(int gateways) {
    Settings out;
    out.gateways = gateways;
    out.tick = kTick;
    out.slow_start_duration = 10s;
    out.slow_start_initial_capacity = 0.3;
    out.slow_start_overload_factor = 3;
    out.slow_start_overload_window = 2s;
    return out;
}

// A warm server of the role has just received 100 units of work, which is 12.5 per second over the averaging
// time. The budget of a warming server is 0.6 x 3 x 0.3 of that in the window of two seconds: 13.5.
struct Warming {
    explicit Warming(int gateways = 1, double first_request_delay = 0) : slow_start(settings(gateways)) {
        server.restart(kNow, first_request_delay);
        slow_start.record_sent_to_warm(Role::decode, 100, kNow);
    }
    bool admits(double work, Duration elapsed = {}) {
        slow_start.begin_step();
        return slow_start.admits(server, Role::decode, 0, work, 1, kNow + elapsed);
    }
    void send(double work) { SlowStart::record_sent_to_warming(server, work, kNow); }
    SlowStart slow_start;
    WarmUpState server;
};

TEST(SlowStart, BudgetIsAFractionOfAWarmServersWork) {
    Warming w;
    EXPECT_TRUE(w.admits(5));
    w.send(5);
    w.send(5);
    EXPECT_TRUE(w.admits(3.4));
    EXPECT_FALSE(w.admits(3.6));
}

TEST(SlowStart, WorkOlderThanTheWindowDoesNotCount) {
    Warming w;
    w.send(13);
    EXPECT_FALSE(w.admits(1, 2s));
    EXPECT_TRUE(w.admits(1, 2s + kTick));
}

TEST(SlowStart, ABudgetBelowOneRequestAllowsOneInALongerWindowAfterADelay) {
    Warming w(10, 0.5);
    // A request of twice the budget: its first request waits half of the maximum delay, which is two seconds
    // and grows, as the estimated budget decays without new work.
    EXPECT_FALSE(w.admits(27, 1300ms));
    EXPECT_TRUE(w.admits(27, 1400ms));
}

TEST(SlowStart, RejectedWorkDoesNotCountAsCapacity) {
    Warming w;
    w.slow_start.record_not_run(Role::decode, 100);
    w.send(1);
    EXPECT_FALSE(w.admits(1));
}

TEST(SlowStart, ServersStartedLongAgoAreWarm) {
    const SlowStart slow_start(settings(1));
    EXPECT_FALSE(slow_start.is_warming_up({}, kNow));
    EXPECT_TRUE(slow_start.is_warming_up(kNow - 9s, kNow));
    EXPECT_FALSE(slow_start.is_warming_up(kNow - 10s, kNow));
}

}  // namespace
}  // namespace chalksail::policy
