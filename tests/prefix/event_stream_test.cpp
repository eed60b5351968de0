// Tests the handling of lost, duplicated and reordered batches and of engine restarts, and compares the
// resulting index with a complete model of the engine.
#include "prefix/event_stream.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "prefix/cache_fixture.hpp"

namespace chalksail::prefix::testing {
namespace {

Batch batch_at(double ts) { return {ts, {}, 0}; }

TEST(EventStream, AppliesBatchesInOrder) {
    EventStream stream;
    EXPECT_EQ(stream.on_published(0, batch_at(1)).apply.size(), 1U);
    EXPECT_EQ(stream.on_published(1, batch_at(2)).apply.size(), 1U);
    EXPECT_TRUE(stream.on_published(1, batch_at(2)).apply.empty());
    EXPECT_EQ(stream.counts().duplicates, 1U);
    EXPECT_EQ(stream.state(), EventStream::State::live);
}

TEST(EventStream, GapIsFilledByReplay) {
    EventStream stream;
    (void)stream.on_published(0, batch_at(1));
    const auto gap = stream.on_published(3, batch_at(4));
    EXPECT_EQ(gap.replay_from, 1U);
    EXPECT_TRUE(gap.apply.empty());
    EXPECT_FALSE(stream.on_published(4, batch_at(5)).replay_from);  // a replay is already in progress
    EXPECT_EQ(stream.on_replayed(1, batch_at(2)).apply.size(), 1U);
    const auto filled = stream.on_replayed(2, batch_at(3));
    EXPECT_EQ(filled.apply.size(), 3U);  // includes the pending batches
    EXPECT_FALSE(filled.clear);
    EXPECT_TRUE(stream.on_replayed(3, batch_at(4)).apply.empty());
    EXPECT_TRUE(stream.on_replay_ended().apply.empty());
    EXPECT_EQ(stream.state(), EventStream::State::live);
    EXPECT_EQ(stream.next_sequence(), 5U);
}

TEST(EventStream, LateBatchFillsGapWithoutReplayedBatches) {
    EventStream stream;
    (void)stream.on_published(0, batch_at(1));
    EXPECT_TRUE(stream.on_published(2, batch_at(3)).replay_from);
    EXPECT_TRUE(stream.on_published(1, batch_at(2)).apply.empty());
    EXPECT_EQ(stream.on_replay_ended().apply.size(), 2U);
    EXPECT_EQ(stream.counts().unfilled_gaps, 0U);
}

TEST(EventStream, UnfilledGapClearsAllBlocks) {
    EventStream stream;
    (void)stream.on_published(0, batch_at(1));
    (void)stream.on_published(5, batch_at(6));
    const auto late = stream.on_replayed(3, batch_at(4));  // the engine can replay batches from 3 on only
    EXPECT_TRUE(late.clear);
    EXPECT_EQ(late.apply.size(), 1U);
    const auto end = stream.on_replay_ended();
    EXPECT_TRUE(end.clear);  // batch 4 is missing too
    EXPECT_EQ(end.apply.size(), 1U);
    EXPECT_EQ(stream.counts().unfilled_gaps, 2U);
    EXPECT_EQ(stream.next_sequence(), 6U);
}

TEST(EventStream, FirstBatchWithLaterNumberRequestsFullReplay) {
    EventStream stream;
    EXPECT_EQ(stream.on_published(7, batch_at(8)).replay_from, 0U);
    EXPECT_FALSE(stream.on_replayed(5, batch_at(6)).clear);  // no blocks were recorded
    EXPECT_EQ(stream.on_replayed(6, batch_at(7)).apply.size(), 2U);
    (void)stream.on_replay_ended();
    EXPECT_EQ(stream.state(), EventStream::State::live);
}

TEST(EventStream, NewProcessClearsBlocksOfOldProcess) {
    EventStream stream;
    for (std::uint64_t i = 0; i < 9; ++i) (void)stream.on_published(i, batch_at(static_cast<double>(i)));
    const auto restarted = stream.on_published(0, batch_at(100));
    EXPECT_TRUE(restarted.clear);
    EXPECT_EQ(restarted.apply.size(), 1U);
    EXPECT_EQ(stream.counts().restarts, 1U);
    const auto again = stream.on_published(1, batch_at(101));
    EXPECT_FALSE(again.clear);
    EXPECT_EQ(again.apply.size(), 1U);
    const auto third = stream.on_published(0, batch_at(0.5));  // late batch of the first process
    EXPECT_TRUE(third.apply.empty());
    EXPECT_FALSE(third.clear);
}

// The engine restarts while batches of its old process are pending, so their replay never arrives.
TEST(EventStream, NewProcessDuringReplay) {
    EventStream stream;
    EXPECT_EQ(stream.on_published(7, batch_at(8)).replay_from, 0U);
    const auto restarted = stream.on_published(0, batch_at(100));
    EXPECT_TRUE(restarted.clear);
    EXPECT_EQ(restarted.apply.size(), 1U);
    EXPECT_EQ(stream.state(), EventStream::State::live);
    EXPECT_EQ(stream.next_sequence(), 1U);
}

TEST(EventStream, PendingBatchesAreBounded) {
    EventStream stream(10);
    (void)stream.on_published(0, batch_at(1));
    bool cleared = false;
    for (std::uint64_t i = 2; i < 40; ++i) {
        const auto update = stream.on_published(i, batch_at(static_cast<double>(i)));
        cleared = cleared || update.clear;
    }
    EXPECT_TRUE(cleared);
    EXPECT_EQ(stream.state(), EventStream::State::live);
    EXPECT_EQ(stream.next_sequence(), 40U);
}

TEST(EventStream, RestartInEndpointListClearsAllBlocks) {
    EventStream stream;
    (void)stream.on_published(0, batch_at(1));
    EXPECT_TRUE(stream.on_restart().clear);
    EXPECT_EQ(stream.on_published(5, batch_at(9)).replay_from, 0U);
}

// Simulates an engine with a set of cached blocks, a limited number of replayable batches, a lossy connection
// and restarts. Whenever the stream is live and up to date, the index must contain no block that the engine
// does not cache; if every batch can be replayed, it must contain all cached blocks.
void random_runs(std::size_t max_replayable, bool expect_all_blocks) {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&](std::uint64_t n) { return random() % n; };
        PrefixIndex index(four_bytes);
        const auto id = index.add("m");
        EventStream stream;
        std::map<std::string, EngineHash> cached;
        std::deque<std::pair<std::uint64_t, Batch>> replayable;
        std::uint64_t sequence = 0;
        double clock = 1;
        std::size_t checked = 0;
        const auto apply = [&](EventStream::Update update) {
            if (update.clear) index.clear(id);
            for (const auto& b : update.apply)
                for (const auto& e : b.events) index.apply(id, e);
            return update.replay_from;
        };
        const auto replay = [&](std::uint64_t from) {
            for (const auto& [s, b] : replayable)
                if (s >= from && (expect_all_blocks || below(20) != 0))
                    (void)apply(stream.on_replayed(s, b));  // the replay loses batches too
            (void)apply(stream.on_replay_ended());
        };
        const auto text = [&] {
            std::string out;
            for (int i = 0; i < 3; ++i) {
                std::string one = "b" + std::to_string(below(3));
                one.resize(kBlock, ' ');
                out += one;
            }
            return out;
        };
        for (int step = 0; step < 400; ++step) {
            if (below(60) == 0) {  // the engine restarts
                cached.clear();
                replayable.clear();
                sequence = 0;
                clock += 5;
                if (below(2) == 0) (void)apply(stream.on_restart());  // otherwise the stream must detect it
            }
            Batch batch;
            batch.timestamp = clock += 0.1;
            if (below(3) != 0 || cached.empty()) {
                const auto t = text();
                const auto event = stored(t, 1);
                batch.events.emplace_back(event);
                for (std::size_t i = 0; i < event.blocks.size(); ++i)
                    cached[t.substr(0, (i + 1) * kBlock)] = event.blocks[i];
            } else {
                const auto it = std::next(cached.begin(), static_cast<std::ptrdiff_t>(below(cached.size())));
                batch.events.emplace_back(BlockRemoved{{it->second}});
                cached.erase(it);
            }
            const auto number = sequence++;
            replayable.emplace_back(number, batch);
            if (replayable.size() > max_replayable) replayable.pop_front();
            if (below(10) == 0) continue;  // lost
            auto wanted = apply(stream.on_published(number, batch));
            if (below(10) == 0) (void)apply(stream.on_published(number, batch));  // duplicate
            for (int tries = 0; wanted && tries < 1; ++tries) replay(*wanted);
            if (stream.state() != EventStream::State::live || stream.next_sequence() != sequence) continue;
            // If the first batch received from a new process has the sequence number that the old process
            // would use next, only the endpoint list can show the restart. Here the sequence restarts at 0.
            ++checked;
            const auto query = text();
            std::uint32_t blocks = 0;
            while (blocks < 3 && cached.contains(query.substr(0, (blocks + 1) * kBlock))) ++blocks;
            const auto known = tokens_cached(index, id, query);
            ASSERT_LE(known, blocks * kTokens) << "seed " << seed << " step " << step;
            if (expect_all_blocks) {
                ASSERT_EQ(known, blocks * kTokens) << "seed " << seed << " step " << step;
            }
        }
        EXPECT_GT(checked, 100U);
    }
}
TEST(EventStream, RandomRunsRecordNoUncachedBlock) { random_runs(16, false); }
TEST(EventStream, RandomRunsRecordAllBlocksIfEveryGapIsFilled) { random_runs(1000, true); }

}  // namespace
}  // namespace chalksail::prefix::testing
