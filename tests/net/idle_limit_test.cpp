#include "net/idle_limit.hpp"

#include <gtest/gtest.h>

namespace chalksail::net {
namespace {

using namespace std::chrono_literals;

TEST(IdleLimit, IdleTimesWithTooManyFailuresAreAvoidedUntilTheyDecay) {
    IdleLimit limit;
    Time now{1000s};
    EXPECT_EQ(limit.longest_usable(now), Duration::max());
    for (int i = 0; i < 100; ++i) limit.record(now, 20ms, 1ms, i == 0);  // one failure in a hundred is chance
    for (int i = 0; i < 4; ++i) limit.record(now, 200ms, 1ms, true);
    EXPECT_GE(limit.longest_usable(now), 20ms);
    EXPECT_LT(limit.longest_usable(now), 200ms);
    now += 60s;  // the failures have decayed
    EXPECT_EQ(limit.longest_usable(now), Duration::max());
}

TEST(IdleLimit, FewFailuresAmongManyRequestsAreIgnored) {
    IdleLimit limit;
    const Time now{1000s};
    for (int i = 0; i < 200; ++i) limit.record(now, 1s, 1ms, i % 40 == 0);
    for (int i = 0; i < 20; ++i) limit.record(now, 1s, 300ms, true);  // too late to be a dropped connection
    EXPECT_EQ(limit.longest_usable(now), Duration::max());
    for (int i = 0; i < 20; ++i) limit.record(now, Duration{}, 1ms, true);
    EXPECT_EQ(limit.longest_usable(now), Duration{});  // no idle connection may be reused
}

}  // namespace
}  // namespace chalksail::net
