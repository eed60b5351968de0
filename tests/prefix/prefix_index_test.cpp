// Tests the prefix index with hand-written cases, and compares it with a model that stores complete prefix
// texts.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "prefix/cache_fixture.hpp"

namespace chalksail::prefix::testing {
namespace {

std::string blocks_text(std::initializer_list<int> blocks) {
    std::string out;
    for (const int b : blocks) {
        std::string one = "block " + std::to_string(b);
        one.resize(kBlock, '.');
        out += one;
    }
    return out;
}

TEST(PrefixIndex, FindsTheLongestPrefixOfEachEngine) {
    PrefixIndex index(four_bytes);
    const auto a = index.add("m"), b = index.add("m"), c = index.add("m");
    index.apply(a, stored(blocks_text({1, 2, 3}), 1));
    index.apply(b, stored(blocks_text({1, 2}), 2));  // same text under different hashes
    index.apply(c, stored(blocks_text({7}), 3));
    const auto text = blocks_text({1, 2, 3, 4}) + "and more";
    EXPECT_EQ(tokens_cached(index, a, text), 3 * kTokens);
    EXPECT_EQ(tokens_cached(index, b, text), 2 * kTokens);
    EXPECT_EQ(tokens_cached(index, c, text), 0U);
    EXPECT_EQ(index.find("other", text).size(), 0U);
    EXPECT_EQ(index.nodes(), 4U);   // blocks with the same text share a node
    EXPECT_EQ(index.blocks(), 6U);  // counted for each engine
}

TEST(PrefixIndex, RemovedBlockEndsThePrefix) {
    PrefixIndex index(four_bytes);
    const auto a = index.add("m");
    const auto event = stored(blocks_text({1, 2, 3}), 1);
    index.apply(a, event);
    index.apply(a, BlockRemoved{{event.blocks[1]}});
    EXPECT_EQ(tokens_cached(index, a, blocks_text({1, 2, 3})), kTokens);
    index.apply(a, BlockRemoved{{event.blocks[1], 99}});  // one already removed, one never stored
    index.apply(a, stored(blocks_text({1, 2}), 1, kBlock));
    EXPECT_EQ(tokens_cached(index, a, blocks_text({1, 2, 3})), 3 * kTokens);
    index.apply(a, AllBlocksCleared{});
    EXPECT_EQ(index.nodes(), 0U);
    EXPECT_EQ(index.blocks(), 0U);
}

TEST(PrefixIndex, SkipsOrphanAndUnreadableBlocks) {
    PrefixIndex index(four_bytes);
    const auto a = index.add("m");
    index.apply(a, stored(blocks_text({1, 2}), 1, kBlock));  // its parent was never stored
    EXPECT_EQ(index.counts().orphans, 1U);
    auto unreadable = stored(blocks_text({1, 2, 3}), 1);
    unreadable.tokens[kTokens + 1] = 0;
    index.apply(a, unreadable);
    EXPECT_EQ(index.counts().unreadable, 2U);
    EXPECT_EQ(tokens_cached(index, a, blocks_text({1, 2, 3})), kTokens);
    auto adapted = stored(blocks_text({5}), 1);
    adapted.uses_adapter = true;
    index.apply(a, adapted);
    EXPECT_EQ(tokens_cached(index, a, blocks_text({5})), 0U);
    auto short_of_tokens = stored(blocks_text({6}), 1);
    short_of_tokens.tokens.pop_back();
    index.apply(a, short_of_tokens);
    EXPECT_EQ(tokens_cached(index, a, blocks_text({6})), 0U);
}

// Two engines split the same text into blocks of different lengths, and both match.
TEST(PrefixIndex, MatchesBlocksOfSeveralLengths) {
    PrefixIndex index(four_bytes);
    const auto a = index.add("m"), b = index.add("m");
    const std::string text = blocks_text({1, 2, 3, 4});
    index.apply(a, stored(text, 1));
    BlockStored large;
    large.block_size = 2 * kTokens;
    large.blocks = {11, 12};
    large.tokens = tokens_of(text);
    index.apply(b, large);
    EXPECT_EQ(tokens_cached(index, a, text), 4 * kTokens);
    EXPECT_EQ(tokens_cached(index, b, text), 4 * kTokens);
    index.clear(a);
    EXPECT_EQ(tokens_cached(index, b, text), 4 * kTokens);
    index.clear(b);
    EXPECT_EQ(index.nodes(), 0U);
}

TEST(PrefixIndex, DropsTheOldestBlocksAboveTheLimit) {
    PrefixIndex index(four_bytes, {10, 8, 4096, 65'536});
    const auto a = index.add("m");
    for (int i = 0; i < 100; ++i) index.apply(a, stored(blocks_text({i, 1000 + i}), 1));
    EXPECT_EQ(index.blocks(), 8U);
    EXPECT_EQ(index.counts().dropped, 192U);
    EXPECT_EQ(tokens_cached(index, a, blocks_text({99, 1099})), 2 * kTokens);
    EXPECT_EQ(tokens_cached(index, a, blocks_text({0, 1000})), 0U);
}

TEST(PrefixIndex, LimitsEnginesAndReusesTheirIds) {
    PrefixIndex index(four_bytes, {2, 8, 4096, 65'536});
    const auto a = index.add("m");
    (void)index.add("m");
    EXPECT_THROW((void)index.add("m"), std::length_error);
    index.apply(a, stored(blocks_text({1}), 1));
    index.remove(a);
    EXPECT_EQ(index.add("m"), a);
    EXPECT_EQ(tokens_cached(index, a, blocks_text({1})), 0U);
}

// A search visits at most Limits::max_visits blocks, even if the match is longer.
TEST(PrefixIndex, LimitsVisitedBlocks) {
    PrefixIndex index(four_bytes, {4, 20'000, 4096, 64});
    const auto a = index.add("m");
    index.apply(a, stored(std::string(kBlock * 1000, 'x'), 1));
    EXPECT_EQ(tokens_cached(index, a, std::string(kBlock * 1000, 'x')), 64 * kTokens);
}

// Random stores, removals and clears with more engines than an EngineSet stores inline.
TEST(PrefixIndex, MatchesModelInRandomRuns) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&](std::uint64_t n) { return static_cast<int>(random() % n); };
        PrefixIndex index(four_bytes);
        constexpr int kEngines = 80;
        struct Model {
            std::map<std::string, EngineHash> cached;  // by the complete prefix text
        };
        std::vector<Model> models(kEngines);
        std::vector<EngineId> ids;
        for (int i = 0; i < kEngines; ++i) ids.push_back(index.add(i % 2 == 0 ? "even" : "odd"));
        const auto text = [&] { return blocks_text({below(3), below(3), below(3), below(3)}); };
        for (int step = 0; step < 1500; ++step) {
            const auto e = static_cast<std::size_t>(below(kEngines));
            auto& model = models[e];
            const int action = below(20);
            if (action < 12) {
                const auto t = text().substr(0, kBlock * static_cast<std::size_t>(1 + below(4)));
                const auto event = stored(t, e);
                index.apply(ids[e], event);
                for (std::size_t i = 0; i < event.blocks.size(); ++i)
                    model.cached[t.substr(0, (i + 1) * kBlock)] = event.blocks[i];
            } else if (action < 19 && !model.cached.empty()) {
                auto it = std::next(model.cached.begin(), below(model.cached.size()));
                index.apply(ids[e], BlockRemoved{{it->second}});
                model.cached.erase(it);
            } else if (action == 19) {
                index.apply(ids[e], AllBlocksCleared{});
                model.cached.clear();
            }
            if (step % 10 != 0) continue;
            const auto query = text() + "more";
            std::map<EngineId, std::uint32_t> want;
            for (std::size_t i = 0; i < kEngines; i += 2) {
                std::uint32_t blocks = 0;
                while ((blocks + 1) * kBlock <= query.size() &&
                       models[i].cached.contains(query.substr(0, (blocks + 1) * kBlock)))
                    ++blocks;
                if (blocks > 0) want[ids[i]] = blocks * kTokens;
            }
            std::map<EngineId, std::uint32_t> got;
            for (const auto& h : index.find("even", query)) got[h.engine] = h.tokens;
            ASSERT_EQ(got, want) << "seed " << seed << " step " << step;
        }
        for (const auto id : ids) index.remove(id);
        ASSERT_EQ(index.nodes(), 0U);
        ASSERT_EQ(index.blocks(), 0U);
    }
}

}  // namespace
}  // namespace chalksail::prefix::testing
