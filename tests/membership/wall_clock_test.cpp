#include "membership/wall_clock.hpp"

#include <gtest/gtest.h>

namespace chalksail::membership {
namespace {

using namespace std::chrono_literals;

// First readings of the two clocks: the wall clock shows 500,000 s at 1000 s of the monotonic clock.
constexpr Time kStart{1000s};
constexpr Duration kWall = 500'000s;

TEST(WallClock, ConvertsByTheOffsetWithoutSteps) {
    WallClock clock(kStart, kWall);
    EXPECT_EQ(clock.to_monotonic(kWall - 900s), kStart - 900s);
    clock.observe(kStart + 10s, kWall + 10s + 100ms);  // a delayed reading does not count as a step
    EXPECT_EQ(clock.to_monotonic(kWall + 5s), kStart + 5s);
}

TEST(WallClock, ConvertsTimesBeforeAndAfterEachStep) {
    for (const Duration step : {Duration(3600s), Duration(-3600s), Duration(-7s), Duration(30s)}) {
        WallClock clock(kStart, kWall);
        clock.observe(kStart + 100s, kWall + 100s + step);
        EXPECT_EQ(clock.to_monotonic(kWall + 100s + step), kStart + 100s);
        clock.observe(kStart + 104s, kWall + 104s + step);
        EXPECT_EQ(clock.to_monotonic(kWall + 103s + step), kStart + 103s) << step.count();
        EXPECT_EQ(clock.to_monotonic(kWall + 50s), kStart + 50s) << step.count();
    }
}

// The clock is stepped back by an hour and then shows the same times again: the later occurrence counts. No
// result lies in the future.
TEST(WallClock, ConvertsARepeatedTimeToItsLaterOccurrence) {
    WallClock clock(kStart, kWall);
    clock.observe(kStart + 4000s, kWall + 400s);
    EXPECT_EQ(clock.to_monotonic(kWall + 1000s), kStart + 1000s);  // not shown a second time yet
    clock.observe(kStart + 8000s, kWall + 4400s);
    EXPECT_EQ(clock.to_monotonic(kWall + 1000s), kStart + 4600s);
    EXPECT_LE(clock.to_monotonic(kWall + 100'000s), kStart + 8000s);
}

TEST(WallClock, MemoryIsBounded) {
    WallClock clock(kStart, kWall);
    Duration total_step{};
    for (int i = 1; i <= 1000; ++i) {
        total_step += i % 2 == 0 ? Duration(-3600s) : Duration(3600s);
        clock.observe(kStart + i * 1s, kWall + i * 1s + total_step);
    }
    EXPECT_EQ(clock.to_monotonic(kWall + 1000s + total_step), kStart + 1000s);
}

TEST(StartTimes, SameTimestampAfterAStepIsTheSameStart) {
    WallClock clock(kStart, kWall);
    StartTimes starts;
    const std::int64_t started_ms = 499'990'000;
    const Time first = starts.of("w", started_ms, clock);
    EXPECT_EQ(first, kStart - 10s);
    clock.observe(kStart + 1s, kWall - 3600s);
    EXPECT_EQ(starts.of("w", started_ms, clock), first);
    EXPECT_NE(starts.of("w", started_ms + 5, clock), first);  // another timestamp: the server was restarted
    EXPECT_EQ(starts.of("x", 0, clock), Time{});
    starts.forget("w");
    EXPECT_EQ(starts.size(), 0U);
}

}  // namespace
}  // namespace chalksail::membership
