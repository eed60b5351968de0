// What is believed of servers, and when.
#include "prefix/reported_caches.hpp"

#include <gtest/gtest.h>

#include "prefix/world.hpp"

namespace chalksail::prefix::testing {
namespace {

using namespace std::chrono_literals;

const std::string kText(kBlock * 4, 't');
std::string batch(double ts, std::string_view text = kText) { return encode({ts, {stored(text, 1)}, 0}); }
double claimed(const ReportedCaches& k, const std::string& server) {
    for (const auto& c : k.cached_prefixes("m", kText))
        if (c.server.value == server) return c.tokens;
    return 0;
}

TEST(ReportedCaches, SilentServerIsNotTold) {
    ReportedCaches k(four_bytes);
    k.add("a", "m", {});
    k.add("b", "m", {});
    EXPECT_TRUE(k.changes().empty());
    EXPECT_EQ(k.on_message("a", 0, batch(1), false), std::nullopt);
    const auto changes = k.changes();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].server.value, "a");
    EXPECT_TRUE(changes[0].reporting);
    EXPECT_TRUE(k.changes().empty());
    EXPECT_EQ(claimed(k, "a"), 4 * kTokens);
    EXPECT_FALSE(k.trusted("b"));
    EXPECT_EQ(k.on_message("nobody", 0, batch(1), false), std::nullopt);
}

// It comes back empty on the same address; the list tells so before its first word does.
TEST(ReportedCaches, RestartByTheListForgetsAtOnce) {
    ReportedCaches k(four_bytes);
    k.add("a", "m", Time(1s));
    (void)k.on_message("a", 0, batch(1), false);
    k.add("a", "m", Time(1s));
    EXPECT_TRUE(k.trusted("a"));
    k.add("a", "m", Time(9s));
    EXPECT_FALSE(k.trusted("a"));
    EXPECT_EQ(claimed(k, "a"), 0);
    // Numbers that go on where the old process was are the new one's: its beginning is asked for.
    EXPECT_EQ(k.on_message("a", 1, batch(9, kText.substr(0, kBlock)), false), 0U);
}

TEST(ReportedCaches, LiarIsNotBelievedUntilItsReadsBearItOut) {
    ReportedCaches k(four_bytes);
    k.add("a", "m", {});
    (void)k.on_message("a", 0, batch(1), false);
    (void)k.changes();
    int wrong = 0;
    for (; k.trusted("a"); ++wrong) k.observed("a", {20, 16, 0, 10ms});
    EXPECT_GE(wrong, 3);
    EXPECT_LE(wrong, 8);
    EXPECT_FALSE(k.changes().at(0).reporting);
    EXPECT_EQ(claimed(k, "a"), 16);  // still looked at, or nothing could bear it out
    int right = 0;
    for (; !k.trusted("a"); ++right) k.observed("a", {20, 16, 16, 10ms});
    EXPECT_GE(right, 2);
    EXPECT_LE(right, 8);
    k.observed("a", {20, 0, 0, 10ms});  // nothing was claimed: no news
    EXPECT_TRUE(k.trusted("a"));
    for (int i = 0; i < 20; ++i) k.observed("a", {20, 16, 12, 10ms});  // a little is evicted always
    EXPECT_TRUE(k.trusted("a"));
}

// An engine that does not count what it found, as many don't, or counts falsely: the time tells.
TEST(ReportedCaches, SlowReadsOfClaimedTextEndTrustAndQuickOnesBringItBack) {
    for (const bool counts : {false, true}) {
        ReportedCaches k(four_bytes);
        k.add("a", "m", {});
        k.add("b", "m", {});
        (void)k.on_message("a", 0, batch(1), false);
        const auto claimed = counts ? std::optional<double>(1000) : std::nullopt;
        for (int i = 0; i < 10; ++i) k.observed("a", {1000, 1000, std::nullopt, 900ms});
        EXPECT_TRUE(k.trusted("a"));  // nothing to compare with yet
        for (int i = 0; i < 5; ++i) k.observed("b", {1000, 0, std::nullopt, 500ms});
        for (int i = 0; i < 30; ++i) k.observed("a", {1000, 1000, claimed, 400ms});  // neither quick nor slow
        EXPECT_TRUE(k.trusted("a"));
        for (int i = 0; i < 30; ++i)
            k.observed("a", {1000, 300, claimed ? std::optional<double>(300) : claimed, 2s});
        EXPECT_TRUE(k.trusted("a"));  // little was claimed: the rest takes its time
        int slow = 0;
        for (; k.trusted("a") && slow < 100; ++slow) k.observed("a", {1000, 1000, claimed, 520ms});
        EXPECT_GE(slow, 5);
        EXPECT_LE(slow, 16);
        int quick = 0;
        for (; !k.trusted("a") && quick < 100; ++quick) k.observed("a", {1000, 1000, claimed, 60ms});
        EXPECT_LE(quick, 16);
        EXPECT_GE(quick, counts ? 2 : 5);
    }
}

// A box that is slow by itself is measured by its own reads.
TEST(ReportedCaches, SlowBoxIsNoLiar) {
    ReportedCaches k(four_bytes);
    k.add("a", "m", {});
    k.add("b", "m", {});
    (void)k.on_message("a", 0, batch(1), false);
    for (int i = 0; i < 5; ++i) k.observed("b", {1000, 0, std::nullopt, 100ms});
    for (int i = 0; i < 5; ++i) k.observed("a", {1000, 0, std::nullopt, 800ms});
    for (int i = 0; i < 50; ++i) k.observed("a", {1000, 900, std::nullopt, 200ms});
    EXPECT_TRUE(k.trusted("a"));
}

TEST(ReportedCaches, GarbageIsCountedAndCostsOnlyItself) {
    ReportedCaches k(four_bytes);
    k.add("a", "m", {});
    (void)k.on_message("a", 0, batch(1), false);
    EXPECT_EQ(k.on_message("a", 1, "\xc1", false), std::nullopt);
    EXPECT_EQ(k.counts().bad_messages, 1U);
    EXPECT_NE(k.last_error().find("a: batch"), std::string::npos);
    EXPECT_EQ(claimed(k, "a"), 16);
    EXPECT_EQ(k.on_message("a", 2, batch(3), false), 1U);  // the gap shows
    (void)k.on_message("a", 1, batch(2), true);
    k.replay_ended("a");
    EXPECT_EQ(k.counts().unfilled, 0U);
}

TEST(ReportedCaches, ServerThatGoesIsToldAwayAndItsPlaceUsedAgain) {
    ReportedCaches k(four_bytes);
    k.add("a", "m", {});
    (void)k.on_message("a", 0, batch(1), false);
    (void)k.changes();
    k.remove("a");
    k.remove("a");
    const auto changes = k.changes();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_FALSE(changes[0].reporting);
    k.add("b", "m", {});
    EXPECT_EQ(claimed(k, "b"), 0);
    EXPECT_EQ(k.counts().blocks, 0U);
    k.add("b", "other", {});  // another model at the same name
    (void)k.on_message("b", 0, batch(1), false);
    EXPECT_EQ(claimed(k, "b"), 0);
}

}  // namespace
}  // namespace chalksail::prefix::testing
