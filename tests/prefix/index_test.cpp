// Which engine holds which beginnings: by hand, and against a model that keeps whole texts in sets.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "prefix/world.hpp"

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

TEST(Index, LongestBeginningOfEachEngine) {
    Index index(four_bytes);
    const auto a = index.add("m"), b = index.add("m"), c = index.add("m");
    index.apply(a, stored(blocks_text({1, 2, 3}), 1));
    index.apply(b, stored(blocks_text({1, 2}), 2));  // its own hashes, the same text
    index.apply(c, stored(blocks_text({7}), 3));
    const auto text = blocks_text({1, 2, 3, 4}) + "and a rest";
    EXPECT_EQ(tokens_held(index, a, text), 3 * kTokens);
    EXPECT_EQ(tokens_held(index, b, text), 2 * kTokens);
    EXPECT_EQ(tokens_held(index, c, text), 0U);
    EXPECT_EQ(index.held("other", text).size(), 0U);
    EXPECT_EQ(index.nodes(), 4U);   // shared
    EXPECT_EQ(index.blocks(), 6U);  // held
}

TEST(Index, RemovedInTheMiddleEndsTheBeginning) {
    Index index(four_bytes);
    const auto a = index.add("m");
    const auto event = stored(blocks_text({1, 2, 3}), 1);
    index.apply(a, event);
    index.apply(a, BlockRemoved{{event.blocks[1]}});
    EXPECT_EQ(tokens_held(index, a, blocks_text({1, 2, 3})), kTokens);
    index.apply(a, BlockRemoved{{event.blocks[1], 99}});  // twice, and one never known
    index.apply(a, stored(blocks_text({1, 2}), 1, kBlock));
    EXPECT_EQ(tokens_held(index, a, blocks_text({1, 2, 3})), 3 * kTokens);
    index.apply(a, AllBlocksCleared{});
    EXPECT_EQ(index.nodes(), 0U);
    EXPECT_EQ(index.blocks(), 0U);
}

TEST(Index, WhatCanNotBePlacedIsLeftOut) {
    Index index(four_bytes);
    const auto a = index.add("m");
    index.apply(a, stored(blocks_text({1, 2}), 1, kBlock));  // its parent was never told
    EXPECT_EQ(index.counts().orphans, 1U);
    auto unreadable = stored(blocks_text({1, 2, 3}), 1);
    unreadable.tokens[kTokens + 1] = 0;
    index.apply(a, unreadable);
    EXPECT_EQ(index.counts().unreadable, 2U);
    EXPECT_EQ(tokens_held(index, a, blocks_text({1, 2, 3})), kTokens);
    auto adapted = stored(blocks_text({5}), 1);
    adapted.adapted = true;
    index.apply(a, adapted);
    EXPECT_EQ(tokens_held(index, a, blocks_text({5})), 0U);
    auto short_of_tokens = stored(blocks_text({6}), 1);
    short_of_tokens.tokens.pop_back();
    index.apply(a, short_of_tokens);
    EXPECT_EQ(tokens_held(index, a, blocks_text({6})), 0U);
}

// Engines that cut the same text into blocks of other lengths, one fitting where the other does too.
TEST(Index, BlocksOfSeveralLengthsFitOneText) {
    Index index(four_bytes);
    const auto a = index.add("m"), b = index.add("m");
    const std::string text = blocks_text({1, 2, 3, 4});
    index.apply(a, stored(text, 1));
    BlockStored large;
    large.block_size = 2 * kTokens;
    large.blocks = {11, 12};
    large.tokens = tokens_of(text);
    index.apply(b, large);
    EXPECT_EQ(tokens_held(index, a, text), 4 * kTokens);
    EXPECT_EQ(tokens_held(index, b, text), 4 * kTokens);
    index.forget(a);
    EXPECT_EQ(tokens_held(index, b, text), 4 * kTokens);
    index.forget(b);
    EXPECT_EQ(index.nodes(), 0U);
}

TEST(Index, OldestBlocksGoWhereAnEngineHasTooMany) {
    Index index(four_bytes, {10, 8, 4096, 65'536});
    const auto a = index.add("m");
    for (int i = 0; i < 100; ++i) index.apply(a, stored(blocks_text({i, 1000 + i}), 1));
    EXPECT_EQ(index.blocks(), 8U);
    EXPECT_EQ(index.counts().dropped, 192U);
    EXPECT_EQ(tokens_held(index, a, blocks_text({99, 1099})), 2 * kTokens);
    EXPECT_EQ(tokens_held(index, a, blocks_text({0, 1000})), 0U);
}

TEST(Index, EnginesAreBoundedAndTheirNumbersUsedAgain) {
    Index index(four_bytes, {2, 8, 4096, 65'536});
    const auto a = index.add("m");
    (void)index.add("m");
    EXPECT_THROW((void)index.add("m"), std::length_error);
    index.apply(a, stored(blocks_text({1}), 1));
    index.remove(a);
    EXPECT_EQ(index.add("m"), a);
    EXPECT_EQ(tokens_held(index, a, blocks_text({1})), 0U);
}

// A text that fits in many ways is looked at so often and no more.
TEST(Index, VisitsAreBounded) {
    Index index(four_bytes, {4, 20'000, 4096, 64});
    const auto a = index.add("m");
    index.apply(a, stored(std::string(kBlock * 1000, 'x'), 1));
    EXPECT_EQ(tokens_held(index, a, std::string(kBlock * 1000, 'x')), 64 * kTokens);
}

// Random days: stores, removals, clears, many engines (past the few that a node holds by number).
TEST(Index, AgreesWithThePlainModelOverRandomDays) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&](std::uint64_t n) { return static_cast<int>(random() % n); };
        Index index(four_bytes);
        constexpr int kEngines = 80;
        struct Plain {
            std::map<std::string, EngineHash> holds;  // whole beginnings
        };
        std::vector<Plain> plain(kEngines);
        std::vector<Index::Engine> ids;
        for (int i = 0; i < kEngines; ++i) ids.push_back(index.add(i % 2 == 0 ? "even" : "odd"));
        const auto text = [&] { return blocks_text({below(3), below(3), below(3), below(3)}); };
        for (int step = 0; step < 1500; ++step) {
            const auto e = static_cast<std::size_t>(below(kEngines));
            auto& p = plain[e];
            const int what = below(20);
            if (what < 12) {
                const auto t = text().substr(0, kBlock * static_cast<std::size_t>(1 + below(4)));
                const auto event = stored(t, e);
                index.apply(ids[e], event);
                for (std::size_t i = 0; i < event.blocks.size(); ++i)
                    p.holds[t.substr(0, (i + 1) * kBlock)] = event.blocks[i];
            } else if (what < 19 && !p.holds.empty()) {
                auto it = std::next(p.holds.begin(), below(p.holds.size()));
                index.apply(ids[e], BlockRemoved{{it->second}});
                p.holds.erase(it);
            } else if (what == 19) {
                index.apply(ids[e], AllBlocksCleared{});
                p.holds.clear();
            }
            if (step % 10 != 0) continue;
            const auto asked = text() + "rest";
            std::map<Index::Engine, std::uint32_t> want;
            for (std::size_t i = 0; i < kEngines; i += 2) {
                std::uint32_t blocks = 0;
                while ((blocks + 1) * kBlock <= asked.size() &&
                       plain[i].holds.contains(asked.substr(0, (blocks + 1) * kBlock)))
                    ++blocks;
                if (blocks > 0) want[ids[i]] = blocks * kTokens;
            }
            std::map<Index::Engine, std::uint32_t> got;
            for (const auto& h : index.held("even", asked)) got[h.engine] = h.tokens;
            ASSERT_EQ(got, want) << "seed " << seed << " step " << step;
        }
        for (const auto id : ids) index.remove(id);
        ASSERT_EQ(index.nodes(), 0U);
        ASSERT_EQ(index.blocks(), 0U);
    }
}

}  // namespace
}  // namespace chalksail::prefix::testing
