// Random fleets and troubles: nothing that must hold fails, and a core that is broken on purpose is caught.
#include "swarm/swarm.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>

namespace chalksail::lab {
namespace {

class Swarm : public ::testing::TestWithParam<std::uint64_t> {};

// Eight seeds each, so that the machine's cores share them.
TEST_P(Swarm, AllHolds) {
    for (std::uint64_t seed = 8 * GetParam() + 1; seed <= 8 * GetParam() + 8; ++seed) {
        const auto found = try_seed(seed);
        EXPECT_FALSE(found) << "seed " << seed << ": " << found->what << "\n"
                            << found->trace << "\n"
                            << found->scenario;
    }
}
INSTANTIATE_TEST_SUITE_P(Seeds, Swarm, ::testing::Range<std::uint64_t>(0, 8));

// What it has found is kept, each with the reason in its first line.
class FoundBefore : public ::testing::TestWithParam<std::string> {};
TEST_P(FoundBefore, HoldsNow) {
    std::ifstream in(std::string(FOUND_FOLDER) + "/" + GetParam() + ".kdl", std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    const auto scenario = parse_scenario(text, GetParam());
    ASSERT_TRUE(scenario) << format(scenario.error().front());
    const auto found = try_scenario(text, scenario->seed);
    EXPECT_FALSE(found) << found->what << "\n" << found->trace;
}
INSTANTIATE_TEST_SUITE_P(Swarm, FoundBefore, ::testing::Values("cold-after-full-499", "cold-after-full-646"),
                         [](const auto& info) {
                             std::string out = info.param;
                             std::replace(out.begin(), out.end(), '-', '_');
                             return out;
                         });

struct Broken {
    Mutation mutation;
    int rule;
};
class Mutants : public ::testing::TestWithParam<Broken> {};

// A checker that can't fail is a defect: each is caught within eight seeds, by the rule that it breaks.
TEST_P(Mutants, AreCaughtWithinEightSeeds) {
    const auto wanted = "rule " + std::to_string(GetParam().rule);
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        const auto found = try_seed(seed, GetParam().mutation);
        if (!found || !found->what.starts_with(wanted)) continue;
        EXPECT_FALSE(found->trace.empty());
        // What was found can be had again from the scenario alone.
        const auto again = try_scenario(found->scenario, found->seed, GetParam().mutation);
        ASSERT_TRUE(again);
        EXPECT_EQ(again->what, found->what);
        EXPECT_EQ(again->trace, found->trace);
        return;
    }
    ADD_FAILURE() << name(GetParam().mutation) << " was not caught";
}
INSTANTIATE_TEST_SUITE_P(All, Mutants,
                         ::testing::Values(Broken{Mutation::lost_release, 5},
                                           Broken{Mutation::second_attempt, 2},
                                           Broken{Mutation::ignored_drain, 3},
                                           Broken{Mutation::slow_start_flood, 4},
                                           Broken{Mutation::double_answer, 1},
                                           Broken{Mutation::once_again, 2}, Broken{Mutation::lost_answer, 1}),
                         [](const auto& info) {
                             std::string out(name(info.param.mutation));
                             std::replace(out.begin(), out.end(), '-', '_');
                             return out;
                         });

}  // namespace
}  // namespace chalksail::lab
