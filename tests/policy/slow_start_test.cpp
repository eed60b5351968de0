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

// A warm server of the role has got work of 100 units just now, 12.5 a second over the averaging time. A
// warming one gets 0.6 x 3 x 0.3 of that in the window of two seconds: 13.5.
struct Warming {
    explicit Warming(int gateways = 1, double draw = 0) : slow_start(settings(gateways)) {
        server.restart(kNow, draw);
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

TEST(SlowStart, BudgetIsAPartOfWhatAWarmServerGets) {
    Warming w;
    EXPECT_TRUE(w.admits(5));
    w.send(5);
    w.send(5);
    EXPECT_TRUE(w.admits(3.4));
    EXPECT_FALSE(w.admits(3.6));
}

TEST(SlowStart, WorkOlderThanTheWindowIsForgotten) {
    Warming w;
    w.send(13);
    EXPECT_FALSE(w.admits(1, 2s));
    EXPECT_TRUE(w.admits(1, 2s + kTick));
}

TEST(SlowStart, ABudgetUnderOneRequestBecomesOneInALongerWindowAfterADrawnWait) {
    Warming w(10, 0.5);
    // Twice the budget, which fades as no work follows: half of a wait that grows from two seconds on.
    EXPECT_FALSE(w.admits(27, 1300ms));
    EXPECT_TRUE(w.admits(27, 1400ms));
}

TEST(SlowStart, RejectedWorkIsNotTakenForCapacity) {
    Warming w;
    w.slow_start.take_back(Role::decode, 100);
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
