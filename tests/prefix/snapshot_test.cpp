// What outlives a gateway, and what it takes to be believed again.
#include "prefix/snapshot.hpp"

#include <gtest/gtest.h>

#include "prefix/reported_caches.hpp"
#include "prefix/world.hpp"

namespace chalksail::prefix::testing {
namespace {

const std::string kSnapshotText(kBlock * 4, 't');
const std::string kOther(kBlock * 4, 'o');

std::string batch(double ts, std::string_view text, EngineHash first) {
    return encode({ts, {stored(text, first)}, 0});
}
double claimed(const ReportedCaches& k, std::string_view text) {
    const auto all = k.cached_prefixes("m", text);
    return all.empty() ? 0 : all[0].tokens;
}
// A gateway that has heard two batches of `a`, at times 10 and 11.
std::string snapshot_of_two() {
    ReportedCaches k(four_bytes);
    k.add("a", "m", {});
    EXPECT_FALSE(k.snapshot("a"));  // nothing is known
    (void)k.on_message("a", 0, batch(10, kSnapshotText, 1), false);
    (void)k.on_message("a", 1, batch(11, kOther, 50), false);
    EXPECT_FALSE(k.snapshot("b"));
    return *k.snapshot("a");
}
struct Restarted {
    Restarted() : k(four_bytes) {
        k.add("a", "m", {});
        const auto from = k.restore("a", snapshot_of_two());
        EXPECT_EQ(from.value(), 1U);  // the last one that was applied
    }
    ReportedCaches k;
};

TEST(Snapshot, IsUsedOnceTheEngineShowsTheSameLastBatch) {
    Restarted r;
    EXPECT_FALSE(r.k.trusted("a"));
    (void)r.k.on_message("a", 3, batch(13, kSnapshotText.substr(0, kBlock), 90),
                         false);  // published meanwhile
    EXPECT_FALSE(r.k.trusted("a"));
    // What an unproved snapshot claims is not the engine's word, and costs it no trust.
    for (int i = 0; i < 20; ++i) r.k.observed("a", {20, 16, 0, std::chrono::milliseconds(10)});
    (void)r.k.on_message("a", 1, batch(11, kOther, 50), true);
    (void)r.k.on_message("a", 2, encode({12, {BlockRemoved{{stored(kOther, 50).blocks[3]}}}, 0}), true);
    r.k.replay_ended("a");
    EXPECT_TRUE(r.k.trusted("a"));
    EXPECT_EQ(claimed(r.k, kSnapshotText), 4 * kTokens);
    EXPECT_EQ(claimed(r.k, kOther), 3 * kTokens);  // what went while this gateway was away
    EXPECT_EQ(r.k.counts().proved, 1U);
    EXPECT_EQ(r.k.counts().gaps, 0U);
}

// An engine that restarted while the gateway was away, and whose numbers have come as far by now.
TEST(Snapshot, AnotherProcessWithTheSameNumbersIsFoundOut) {
    Restarted r;
    (void)r.k.on_message("a", 1, batch(20, kOther, 50), true);
    EXPECT_FALSE(r.k.trusted("a"));
    EXPECT_EQ(claimed(r.k, kSnapshotText), 0);
    EXPECT_EQ(r.k.counts().blocks, 0U);
    EXPECT_EQ(r.k.counts().restarts, 1U);
    // Its past is asked for from the beginning with the next word that comes.
    EXPECT_EQ(r.k.on_message("a", 2, batch(21, kSnapshotText, 1), false), 0U);
}

TEST(Snapshot, PastThatIsGoneProvesNothing) {
    Restarted r;
    (void)r.k.on_message("a", 7, batch(17, kSnapshotText.substr(0, kBlock), 90), true);
    r.k.replay_ended("a");
    EXPECT_FALSE(r.k.trusted("a"));
    EXPECT_EQ(r.k.counts().blocks, 0U);
    EXPECT_EQ(r.k.counts().unproved, 1U);
}

TEST(Snapshot, LowerNumberThatIsNewerIsAnotherProcess) {
    Restarted r;
    (void)r.k.on_message("a", 0, batch(30, kSnapshotText.substr(0, kBlock), 90), false);
    EXPECT_EQ(claimed(r.k, kSnapshotText), kTokens);
    EXPECT_EQ(r.k.counts().restarts, 1U);
}

TEST(Snapshot, IsNotTakenForAServerThatHasBeenHeardOrIsOfAnotherKind) {
    ReportedCaches k(four_bytes);
    EXPECT_EQ(k.restore("a", snapshot_of_two()).error(), "not listed");
    k.add("a", "other", {});
    EXPECT_NE(k.restore("a", snapshot_of_two()).error().find("another kind"), std::string::npos);
    (void)k.on_message("a", 0, batch(1, kSnapshotText, 1), false);
    EXPECT_NE(k.restore("a", snapshot_of_two()).error().find("heard already"), std::string::npos);
}

TEST(Snapshot, DamagedBytesAreRefused) {
    const auto good = snapshot_of_two();
    ASSERT_TRUE(decode_snapshot(good, 100));
    EXPECT_EQ(decode_snapshot(good, 100)->blocks.size(), 8U);
    EXPECT_FALSE(decode_snapshot(good, 2));  // more than this gateway keeps of an engine
    for (std::size_t i = 0; i < good.size(); ++i) {
        auto bad = good;
        bad[i] = static_cast<char>(bad[i] ^ 0x10);
        EXPECT_FALSE(decode_snapshot(bad, 100)) << i;
        EXPECT_FALSE(decode_snapshot(good.substr(0, i), 100)) << i;
    }
    EXPECT_FALSE(decode_snapshot(encode(Snapshot{"m", 0, 1, {}}), 100));
}

// The same index comes out, whatever was stored and removed before; orphans are left out.
TEST(Snapshot, RestoredIndexAnswersAsTheOneThatWasKept) {
    Index before(four_bytes), after(four_bytes);
    const auto a = before.add("m"), b = before.add("m");
    before.apply(a, stored(kSnapshotText, 1));
    before.apply(a, stored(kOther, 50));
    before.apply(b, stored(kSnapshotText, 7));
    before.apply(a, BlockRemoved{{stored(kOther, 50).blocks[1]}});  // in the middle: its children have no
                                                                    // parent left at the engine
    const auto c = after.add("m");
    after.restore(c, before.blocks_of(a));
    const auto tokens = [](const Index& i, Index::Engine e, std::string_view text) {
        for (const auto& h : i.held("m", text))
            if (h.engine == e) return h.tokens;
        return 0U;
    };
    for (const auto& text : {kSnapshotText, kOther, kSnapshotText + "more"})
        EXPECT_EQ(tokens(after, c, text), tokens(before, a, text));
    EXPECT_EQ(after.blocks(), 5U);
    after.remove(c);
    EXPECT_EQ(after.nodes(), 0U);
}

}  // namespace
}  // namespace chalksail::prefix::testing
