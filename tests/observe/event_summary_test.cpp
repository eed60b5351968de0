// Tests the summary of frequent events.
#include "observe/event_summary.hpp"

#include <gtest/gtest.h>

namespace chalksail::observe::testing {
namespace {

using namespace std::chrono_literals;

TEST(EventSummary, ReportsCountsOncePerInterval) {
    EventSummary events(1s);
    EXPECT_FALSE(events.take(Time(1s)));
    events.add("b");
    events.add("a");
    events.add("b");
    EXPECT_EQ(events.take(Time(1s)), "a: 1; b: 2");
    events.add("c");
    EXPECT_FALSE(events.take(Time(1999ms)));
    EXPECT_EQ(events.take(Time(2s)), "c: 1");
    EXPECT_FALSE(events.take(Time(9s)));
}

// Guards against memory that grows with the number of different names.
TEST(EventSummary, NamesBeyondTheMaximumAreCountedTogether) {
    EventSummary events(1s);
    for (std::size_t i = 0; i < EventSummary::kMaxNames + 5; ++i) events.add("n" + std::to_string(i));
    EXPECT_NE(events.take_all().find("other: 5"), std::string::npos);
    EXPECT_TRUE(events.take_all().empty());
}

}  // namespace
}  // namespace chalksail::observe::testing
