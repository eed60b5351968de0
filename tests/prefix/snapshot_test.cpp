// Tests that snapshots restore a server's state after a gateway restart, and how a replay verifies them.
#include "prefix/snapshot.hpp"

#include <gtest/gtest.h>

#include "prefix/cache_fixture.hpp"
#include "prefix/reported_caches.hpp"

namespace chalksail::prefix::testing {
namespace {

const std::string kSnapshotText(kBlock * 4, 't');
const std::string kOtherText(kBlock * 4, 'o');

std::string batch(double ts, std::string_view text, EngineHash first) {
    return encode({ts, {stored(text, first)}, 0});
}
double reported_tokens(const ReportedCaches& caches, std::string_view text) {
    const auto all = caches.cached_prefixes("m", text);
    return all.empty() ? 0 : all[0].tokens;
}
// Returns the snapshot of a gateway that received two batches of `a`, with timestamps 10 and 11.
std::string snapshot_of_two() {
    ReportedCaches caches(four_bytes);
    caches.add("a", "m", {});
    EXPECT_FALSE(caches.snapshot("a"));  // no batch was received
    (void)caches.on_message("a", 0, batch(10, kSnapshotText, 1), false);
    (void)caches.on_message("a", 1, batch(11, kOtherText, 50), false);
    EXPECT_FALSE(caches.snapshot("b"));
    return *caches.snapshot("a");
}
struct RestartedGateway {
    RestartedGateway() : caches(four_bytes) {
        caches.add("a", "m", {});
        const auto from = caches.restore("a", snapshot_of_two());
        EXPECT_EQ(from.value(), 1U);  // sequence number of the last applied batch
    }
    ReportedCaches caches;
};

TEST(Snapshot, IsUsedOnceTheEngineReplaysTheSameLastBatch) {
    RestartedGateway restarted;
    EXPECT_FALSE(restarted.caches.trusted("a"));
    (void)restarted.caches.on_message("a", 3, batch(13, kSnapshotText.substr(0, kBlock), 90),
                                      false);  // published during the replay
    EXPECT_FALSE(restarted.caches.trusted("a"));
    // An unverified snapshot is not a report of the engine and does not affect its trust.
    for (int i = 0; i < 20; ++i) restarted.caches.observed("a", {20, 16, 0, std::chrono::milliseconds(10)});
    (void)restarted.caches.on_message("a", 1, batch(11, kOtherText, 50), true);
    (void)restarted.caches.on_message(
        "a", 2, encode({12, {BlockRemoved{{stored(kOtherText, 50).blocks[3]}}}, 0}), true);
    restarted.caches.replay_ended("a");
    EXPECT_TRUE(restarted.caches.trusted("a"));
    EXPECT_EQ(reported_tokens(restarted.caches, kSnapshotText), 4 * kTokens);
    EXPECT_EQ(reported_tokens(restarted.caches, kOtherText),
              3 * kTokens);  // one block was removed while the gateway was down
    EXPECT_EQ(restarted.caches.counts().snapshots_verified, 1U);
    EXPECT_EQ(restarted.caches.counts().gaps, 0U);
}

// The engine restarted while the gateway was down and has reached the same sequence number.
TEST(Snapshot, DetectsAnotherProcessWithTheSameNumbers) {
    RestartedGateway restarted;
    (void)restarted.caches.on_message("a", 1, batch(20, kOtherText, 50), true);
    EXPECT_FALSE(restarted.caches.trusted("a"));
    EXPECT_EQ(reported_tokens(restarted.caches, kSnapshotText), 0);
    EXPECT_EQ(restarted.caches.counts().blocks, 0U);
    EXPECT_EQ(restarted.caches.counts().restarts, 1U);
    // Its next batch requests a replay from the beginning.
    EXPECT_EQ(restarted.caches.on_message("a", 2, batch(21, kSnapshotText, 1), false), 0U);
}

TEST(Snapshot, IsDiscardedIfTheReplayBeginsLater) {
    RestartedGateway restarted;
    (void)restarted.caches.on_message("a", 7, batch(17, kSnapshotText.substr(0, kBlock), 90), true);
    restarted.caches.replay_ended("a");
    EXPECT_FALSE(restarted.caches.trusted("a"));
    EXPECT_EQ(restarted.caches.counts().blocks, 0U);
    EXPECT_EQ(restarted.caches.counts().snapshots_discarded, 1U);
}

TEST(Snapshot, NewerBatchWithALowerNumberIsAnotherProcess) {
    RestartedGateway restarted;
    (void)restarted.caches.on_message("a", 0, batch(30, kSnapshotText.substr(0, kBlock), 90), false);
    EXPECT_EQ(reported_tokens(restarted.caches, kSnapshotText), kTokens);
    EXPECT_EQ(restarted.caches.counts().restarts, 1U);
}

TEST(Snapshot, IsRejectedForOtherServers) {
    ReportedCaches caches(four_bytes);
    EXPECT_EQ(caches.restore("a", snapshot_of_two()).error().kind, RestoreError::Kind::unlisted_server);
    EXPECT_EQ(caches.restore("a", snapshot_of_two()).error().text,
              "server not listed, or it publishes no cache events");
    caches.add("a", "other", {});
    EXPECT_EQ(caches.restore("a", snapshot_of_two()).error().kind, RestoreError::Kind::other_space);
    EXPECT_NE(caches.restore("a", snapshot_of_two()).error().text.find("another kind"), std::string::npos);
    (void)caches.on_message("a", 0, batch(1, kSnapshotText, 1), false);
    EXPECT_EQ(caches.restore("a", snapshot_of_two()).error().kind, RestoreError::Kind::already_reported);
    EXPECT_NE(caches.restore("a", snapshot_of_two()).error().text.find("already received"),
              std::string::npos);
}

TEST(Snapshot, DamagedBytesAreRejected) {
    const auto good = snapshot_of_two();
    ASSERT_TRUE(decode_snapshot(good, 100));
    EXPECT_EQ(decode_snapshot(good, 100)->blocks.size(), 8U);
    EXPECT_FALSE(decode_snapshot(good, 2));  // more blocks than the limit
    for (std::size_t i = 0; i < good.size(); ++i) {
        auto bad = good;
        bad[i] = static_cast<char>(bad[i] ^ 0x10);
        EXPECT_FALSE(decode_snapshot(bad, 100)) << i;
        EXPECT_FALSE(decode_snapshot(good.substr(0, i), 100)) << i;
    }
    EXPECT_FALSE(decode_snapshot(encode(Snapshot{"m", 0, 1, {}}), 100));
}

// The restored index finds the same prefixes as the original one. Orphan blocks are not restored.
TEST(Snapshot, RestoredIndexFindsTheSamePrefixes) {
    PrefixIndex before(four_bytes), after(four_bytes);
    const auto a = before.add("m"), b = before.add("m");
    before.apply(a, stored(kSnapshotText, 1));
    before.apply(a, stored(kOtherText, 50));
    before.apply(b, stored(kSnapshotText, 7));
    before.apply(a, BlockRemoved{{stored(kOtherText, 50).blocks[1]}});  // removed from the middle, so its
                                                                        // children become orphans
    const auto c = after.add("m");
    after.restore(c, before.blocks_of(a));
    const auto tokens = [](const PrefixIndex& i, EngineId e, std::string_view text) {
        for (const auto& h : i.find("m", text))
            if (h.engine == e) return h.tokens;
        return 0U;
    };
    for (const auto& text : {kSnapshotText, kOtherText, kSnapshotText + "more"})
        EXPECT_EQ(tokens(after, c, text), tokens(before, a, text));
    EXPECT_EQ(after.blocks(), 5U);
    after.remove(c);
    EXPECT_EQ(after.nodes(), 0U);
}

}  // namespace
}  // namespace chalksail::prefix::testing
