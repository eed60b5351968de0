#include "core/shutdown.hpp"

#include <gtest/gtest.h>

namespace chalksail::core {
namespace {

using namespace std::chrono_literals;
using Step = Shutdown::Step;

constexpr Time kNow{1000s};
constexpr Shutdown::Outstanding kNothing{};

config::EdgeLimits limits(Duration grace, Duration drain) {
    config::EdgeLimits out;
    out.drain_grace = grace;
    out.drain_timeout = drain;
    out.linger = 1s;
    return out;
}

TEST(Shutdown, ExitsOnceNothingIsOutstandingAndNotBefore) {
    Shutdown shutdown(kNow, limits(300ms, config::kNoLimit));
    EXPECT_EQ(shutdown.next(kNow + 299ms), Step::wait);
    EXPECT_FALSE(shutdown.over(kNow + 299ms, kNothing));  // requests are still accepted
    EXPECT_EQ(shutdown.next(kNow + 300ms), Step::stop_accepting);
    EXPECT_EQ(shutdown.next(kNow + 300ms), Step::wait);  // each step is returned once
    const Time late = kNow + 24h;
    EXPECT_EQ(shutdown.next(late), Step::wait);
    EXPECT_FALSE(shutdown.over(late, {.requests = 1}));
    EXPECT_FALSE(shutdown.over(late, {.calls = 1}));
    EXPECT_FALSE(shutdown.over(late, {.connections = 1}));
    EXPECT_FALSE(shutdown.over(late, {.listening = true}));
    EXPECT_TRUE(shutdown.over(late, kNothing));
}

TEST(Shutdown, AnswersAllRequestsAtTheLimitBeforeClosingConnections) {
    Shutdown shutdown(kNow, limits(0ms, 5s));
    EXPECT_EQ(shutdown.next(kNow), Step::stop_accepting);
    EXPECT_EQ(shutdown.next(kNow + 4999ms), Step::wait);
    EXPECT_FALSE(shutdown.over(kNow + 4999ms, {.requests = 1, .connections = 1}));
    EXPECT_EQ(shutdown.next(kNow + 5s), Step::answer_all);
    EXPECT_FALSE(shutdown.over(kNow + 5s, {.connections = 1}));
    EXPECT_EQ(shutdown.next(kNow + 5s), Step::end_connections);
    EXPECT_EQ(shutdown.next(kNow + 5s), Step::wait);
    EXPECT_FALSE(shutdown.over(kNow + 5s, {.connections = 1}));
    EXPECT_TRUE(shutdown.over(kNow + 6s, {.connections = 1}));  // the linger time has passed
}

}  // namespace
}  // namespace chalksail::core
