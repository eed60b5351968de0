#include "core/last_activity.hpp"

#include <gtest/gtest.h>

namespace chalksail::core {
namespace {

using namespace std::chrono_literals;

constexpr Time kNow{1000s};
const auto kAny = [](const std::string&) { return true; };

TEST(LastActivity, TheOneThatSpokeLastComesFirst) {
    LastActivity heard;
    EXPECT_EQ(heard.latest(kAny), nullptr);
    heard.spoke("a", kNow);
    heard.spoke("b", kNow + 1s);
    heard.spoke("c", kNow + 1s);
    EXPECT_EQ(*heard.latest(kAny), "b");  // of the same moment, by name
    EXPECT_EQ(*heard.latest([](const std::string& s) { return s != "b"; }), "c");
    heard.spoke("a", kNow + 2s);
    EXPECT_EQ(*heard.latest(kAny), "a");
    heard.forget("a");
    heard.forget("a");
    EXPECT_EQ(*heard.latest(kAny), "b");
}

// To the millisecond: a release goes to the server whose answer has just come.
TEST(LastActivity, EachWordCounts) {
    LastActivity heard;
    heard.spoke("a", kNow);
    heard.spoke("b", kNow + 1ms);
    heard.spoke("a", kNow + 2ms);
    EXPECT_EQ(*heard.latest(kAny), "a");
    heard.spoke("b", kNow + 3ms);
    EXPECT_EQ(*heard.latest(kAny), "b");
    heard.spoke("b", kNow + 3ms);
    EXPECT_EQ(*heard.latest(kAny), "b");
}

}  // namespace
}  // namespace chalksail::core
