// Compares engine sets with std::set while they change from inline ids to a bitmap and back.
#include "prefix/engine_set.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace chalksail::prefix {
namespace {

constexpr EngineId kEngines = 200;

EngineBitmap all_engines() { return EngineBitmap(kEngines / kEnginesPerWord + 1, ~std::uint64_t{0}); }

std::set<EngineId> members(const EngineSetPool& pool, const EngineSet& set) {
    EngineBitmap engines = all_engines();
    pool.intersect(engines, set);
    std::set<EngineId> found;
    for (EngineId id = 0; id < kEngines; ++id)
        if ((engines[id / kEnginesPerWord] >> (id % kEnginesPerWord) & 1U) != 0) found.insert(id);
    return found;
}

TEST(EngineSet, MatchesStdSetInRandomRun) {
    std::mt19937_64 random(1);
    EngineSetPool pool;
    EngineSet set;
    std::set<EngineId> expected;
    for (int step = 0; step < 5000; ++step) {
        const bool grow = step % 1000 < 500;  // grows far above the inline capacity, then shrinks to empty
        const auto id = static_cast<EngineId>(random() % kEngines);
        if (grow || random() % 10 == 0) {
            ASSERT_EQ(pool.insert(set, id), expected.insert(id).second);
        } else {
            ASSERT_EQ(pool.erase(set, id), expected.erase(id) == 1);
        }
        ASSERT_EQ(set.size, expected.size());
        if (step % 50 == 0) {
            ASSERT_EQ(members(pool, set), expected) << step;
        }
    }
}

TEST(EngineSet, ReusesFreedBitmaps) {
    EngineSetPool pool;
    EngineSet first;
    for (EngineId id = 0; id < 10; ++id) pool.insert(first, id);
    const auto bitmap = first.bitmap;
    EXPECT_NE(bitmap, EngineSet::kNoBitmap);
    for (EngineId id = 0; id < 10; ++id) pool.erase(first, id);
    EXPECT_EQ(first.bitmap, EngineSet::kNoBitmap);
    EngineSet second;
    for (EngineId id = 100; id < 110; ++id) pool.insert(second, id);
    EXPECT_EQ(second.bitmap, bitmap);
    EXPECT_EQ(members(pool, second).size(), 10U);
    EXPECT_TRUE(members(pool, first).empty());
}

}  // namespace
}  // namespace chalksail::prefix
