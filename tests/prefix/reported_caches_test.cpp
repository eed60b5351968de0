// Tests when a server's cache reports are trusted.
#include "prefix/reported_caches.hpp"

#include <gtest/gtest.h>

#include "prefix/cache_fixture.hpp"

namespace chalksail::prefix::testing {
namespace {

using namespace std::chrono_literals;

const std::string kText(kBlock * 4, 't');
std::string batch(double ts, std::string_view text = kText) { return encode({ts, {stored(text, 1)}, 0}); }
double reported_tokens(const ReportedCaches& caches, const std::string& server) {
    for (const auto& c : caches.cached_prefixes("m", kText))
        if (c.server.value == server) return c.tokens;
    return 0;
}

TEST(ReportedCaches, ServerWithoutEventsIsNotAnnounced) {
    ReportedCaches caches(four_bytes);
    caches.add("a", "m", {});
    caches.add("b", "m", {});
    EXPECT_TRUE(caches.changes().empty());
    EXPECT_EQ(caches.on_message("a", 0, batch(1), false), std::nullopt);
    const auto changes = caches.changes();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].server.value, "a");
    EXPECT_TRUE(changes[0].reporting);
    EXPECT_TRUE(caches.changes().empty());
    EXPECT_EQ(reported_tokens(caches, "a"), 4 * kTokens);
    EXPECT_FALSE(caches.trusted("b"));
    EXPECT_EQ(caches.on_message("nobody", 0, batch(1), false), std::nullopt);
}

// The server restarts with an empty cache at the same address, and the endpoint list shows it before the
// first batch of the new process arrives.
TEST(ReportedCaches, RestartInEndpointListClearsBlocksImmediately) {
    ReportedCaches caches(four_bytes);
    caches.add("a", "m", Time(1s));
    (void)caches.on_message("a", 0, batch(1), false);
    caches.add("a", "m", Time(1s));
    EXPECT_TRUE(caches.trusted("a"));
    caches.add("a", "m", Time(9s));
    EXPECT_FALSE(caches.trusted("a"));
    EXPECT_EQ(reported_tokens(caches, "a"), 0);
    // The new process has reached the sequence number that the old one would use next. Its first received
    // batch still requests a replay from the beginning.
    EXPECT_EQ(caches.on_message("a", 1, batch(9, kText.substr(0, kBlock)), false), 0U);
}

TEST(ReportedCaches, WrongReportsEndTrustUntilPrefillsConfirmThem) {
    ReportedCaches caches(four_bytes);
    caches.add("a", "m", {});
    (void)caches.on_message("a", 0, batch(1), false);
    (void)caches.changes();
    int wrong = 0;
    for (; caches.trusted("a"); ++wrong) caches.observed("a", {20, 16, 0, 10ms});
    EXPECT_GE(wrong, 3);
    EXPECT_LE(wrong, 8);
    EXPECT_FALSE(caches.changes().at(0).reporting);
    EXPECT_EQ(reported_tokens(caches, "a"), 16);  // still returned, so that prefills can confirm it
    int right = 0;
    for (; !caches.trusted("a"); ++right) caches.observed("a", {20, 16, 16, 10ms});
    EXPECT_GE(right, 2);
    EXPECT_LE(right, 8);
    caches.observed("a", {20, 0, 0, 10ms});  // nothing reported as cached: trust does not change
    EXPECT_TRUE(caches.trusted("a"));
    for (int i = 0; i < 20; ++i) caches.observed("a", {20, 16, 12, 10ms});  // a small part was evicted
    EXPECT_TRUE(caches.trusted("a"));
}

// Many engines return no count of cached tokens, and some return a wrong one. Trust then depends on elapsed
// time.
TEST(ReportedCaches, SlowPrefillsOfReportedTextEndTrustAndFastOnesRestoreIt) {
    for (const bool counts : {false, true}) {
        ReportedCaches caches(four_bytes);
        caches.add("a", "m", {});
        caches.add("b", "m", {});
        (void)caches.on_message("a", 0, batch(1), false);
        const auto count = counts ? std::optional<double>(1000) : std::nullopt;
        for (int i = 0; i < 10; ++i) caches.observed("a", {1000, 1000, std::nullopt, 900ms});
        EXPECT_TRUE(caches.trusted("a"));  // the pace is not known yet
        for (int i = 0; i < 5; ++i) caches.observed("b", {1000, 0, std::nullopt, 500ms});
        for (int i = 0; i < 30; ++i)
            caches.observed("a", {1000, 1000, count, 400ms});  // inconclusive duration
        EXPECT_TRUE(caches.trusted("a"));
        for (int i = 0; i < 30; ++i)
            caches.observed("a", {1000, 300, count ? std::optional<double>(300) : count, 2s});
        EXPECT_TRUE(caches.trusted("a"));  // most of the prompt was not reported as cached
        int slow = 0;
        for (; caches.trusted("a") && slow < 100; ++slow) caches.observed("a", {1000, 1000, count, 520ms});
        EXPECT_GE(slow, 5);
        EXPECT_LE(slow, 16);
        int fast = 0;
        for (; !caches.trusted("a") && fast < 100; ++fast) caches.observed("a", {1000, 1000, count, 60ms});
        EXPECT_LE(fast, 16);
        EXPECT_GE(fast, counts ? 2 : 5);
    }
}

// A slow server is compared with its own uncached prefills, not with those of faster servers.
TEST(ReportedCaches, SlowServerStaysTrusted) {
    ReportedCaches caches(four_bytes);
    caches.add("a", "m", {});
    caches.add("b", "m", {});
    (void)caches.on_message("a", 0, batch(1), false);
    for (int i = 0; i < 5; ++i) caches.observed("b", {1000, 0, std::nullopt, 100ms});
    for (int i = 0; i < 5; ++i) caches.observed("a", {1000, 0, std::nullopt, 800ms});
    for (int i = 0; i < 50; ++i) caches.observed("a", {1000, 900, std::nullopt, 200ms});
    EXPECT_TRUE(caches.trusted("a"));
}

TEST(ReportedCaches, MalformedMessageIsCountedAndReplayed) {
    ReportedCaches caches(four_bytes);
    caches.add("a", "m", {});
    (void)caches.on_message("a", 0, batch(1), false);
    EXPECT_EQ(caches.on_message("a", 1, "\xc1", false), std::nullopt);
    EXPECT_EQ(caches.counts().malformed_messages, 1U);
    EXPECT_NE(caches.last_error().find("a: batch"), std::string::npos);
    EXPECT_EQ(reported_tokens(caches, "a"), 16);
    EXPECT_EQ(caches.on_message("a", 2, batch(3), false), 1U);  // the gap is detected
    (void)caches.on_message("a", 1, batch(2), true);
    caches.replay_ended("a");
    EXPECT_EQ(caches.counts().unfilled_gaps, 0U);
}

TEST(ReportedCaches, RemovedServerIsAnnouncedAndItsIdReused) {
    ReportedCaches caches(four_bytes);
    caches.add("a", "m", {});
    (void)caches.on_message("a", 0, batch(1), false);
    (void)caches.changes();
    caches.remove("a");
    caches.remove("a");
    const auto changes = caches.changes();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_FALSE(changes[0].reporting);
    caches.add("b", "m", {});
    EXPECT_EQ(reported_tokens(caches, "b"), 0);
    EXPECT_EQ(caches.counts().blocks, 0U);
    caches.add("b", "other", {});  // another model under the same server name
    (void)caches.on_message("b", 0, batch(1), false);
    EXPECT_EQ(reported_tokens(caches, "b"), 0);
}

}  // namespace
}  // namespace chalksail::prefix::testing
