#include "core/last_activity.hpp"

#include <gtest/gtest.h>

namespace chalksail::core {
namespace {

using namespace std::chrono_literals;

constexpr Time kNow{1000s};
const auto kAny = [](const std::string&) { return true; };

TEST(LastActivity, ReturnsTheMostRecentlyActiveServer) {
    LastActivity activity;
    EXPECT_EQ(activity.most_recent(kAny), nullptr);
    activity.record("a", kNow);
    activity.record("b", kNow + 1s);
    activity.record("c", kNow + 1s);
    EXPECT_EQ(*activity.most_recent(kAny), "b");  // same time: ordered by name
    EXPECT_EQ(*activity.most_recent([](const std::string& s) { return s != "b"; }), "c");
    activity.record("a", kNow + 2s);
    EXPECT_EQ(*activity.most_recent(kAny), "a");
    activity.forget("a");
    activity.forget("a");
    EXPECT_EQ(*activity.most_recent(kAny), "b");
}

// Activity counts to the millisecond, as a release is sent to the server that responded last.
TEST(LastActivity, EachActivityChangesTheOrder) {
    LastActivity activity;
    activity.record("a", kNow);
    activity.record("b", kNow + 1ms);
    activity.record("a", kNow + 2ms);
    EXPECT_EQ(*activity.most_recent(kAny), "a");
    activity.record("b", kNow + 3ms);
    EXPECT_EQ(*activity.most_recent(kAny), "b");
    activity.record("b", kNow + 3ms);
    EXPECT_EQ(*activity.most_recent(kAny), "b");
}

}  // namespace
}  // namespace chalksail::core
