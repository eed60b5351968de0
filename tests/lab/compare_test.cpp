// Arms of a comparison: baselines keep the rules on bad days, cache events do in virtual time what they are
// for, and intervals are Student's.
#include "simulation/compare.hpp"

#include <gtest/gtest.h>

#include <array>
#include <cmath>

#include "lab/scenarios.hpp"
#include "simulation/simulation.hpp"

namespace chalksail::lab {
namespace {

TEST(Estimate, StudentsInterval) {
    // 1..5: mean 3, deviation sqrt(2.5), t with 4 degrees of freedom 2.776.
    const auto e = estimate({1, 2, 3, 4, 5});
    EXPECT_DOUBLE_EQ(e.mean, 3);
    EXPECT_NEAR(e.half_width, 2.776 * std::sqrt(2.5 / 5), 1e-9);
    EXPECT_EQ(estimate({7}).half_width, 0);
    EXPECT_EQ(estimate({}).mean, 0);
}

class BaselineDay : public ::testing::TestWithParam<PlacementPolicy> {};

TEST_P(BaselineDay, KeepsTheRules) {
    Simulation day(scenario(R"(clients 24
        troubles {
            crash at="4s" for="6s" engines="decode" share=0.4
            preempt at="8s" for="6s" engines="prefill" share=0.3 notice="2s"
            fast_errors at="12s" for="5s" engines="decode" share=0.4 part=0.6
            give_up at="1s" for="25s" part=0.2
        })",
                            3),
                   GetParam());
    const auto v = day.run();
    EXPECT_EQ(v.breaches.size(), 0U) << (v.breaches.empty() ? "" : format(v.breaches.front()));
    EXPECT_EQ(v.unanswered, 0U);
    EXPECT_EQ(v.late, 0U);
    EXPECT_EQ(v.garbled, 0U);
    EXPECT_EQ(day.figures().open_at_end, 0U);
    EXPECT_EQ(day.figures().guards, 0U);
    EXPECT_GT(v.served, v.requests / 2);
}
std::string name_of(const ::testing::TestParamInfo<PlacementPolicy>& info) {
    static const std::array names{"Random", "RoundRobin", "LeastOutstanding", "TwoChoices", "PrefixHash"};
    return names[static_cast<std::size_t>(info.param)];
}
INSTANTIATE_TEST_SUITE_P(All, BaselineDay,
                         ::testing::Values(PlacementPolicy::random, PlacementPolicy::round_robin,
                                           PlacementPolicy::least_outstanding, PlacementPolicy::two_choices,
                                           PlacementPolicy::prefix_hash),
                         name_of);

// Twelve readers, forty shared beginnings: more than one reader keeps.
Scenario with_events(const std::string& more, std::uint64_t seed) {
    auto out = parse_scenario(R"(
        edges 3
        length "12s"
        clients 30
        zone "ikeja"
        edge {
            class "chat" { aim "1.5s"; deadline "6s"; }
            kind "prefill" { role "prefill"; memory-tokens 220000; cache-events #true; }
            kind "decode" { role "decode"; memory-tokens 150000; }
        }
        engines "prefill" kind="prefill" count=12 { slots 8; queue 40; read-pace 8000; kept-tokens 20000; }
        engines "decode" kind="decode" count=6 { slots 60; queue 40; token-interval "8ms"; read-pace 8000; }
        traffic "chat" { model "chat"; turns 4; prefixes 40; system-bytes 5000; max-tokens 40; think "250ms"; }
    )" + more + "\nseed " + std::to_string(seed),
                              "events");
    if (!out) throw std::runtime_error(format(out.error().front()));
    return std::move(*out);
}

TEST(CacheEvents, LostOnesAreReplayedAndTheIndexEndsWhole) {
    Simulation day(with_events(R"(caches { lost 0.1; past 200; })", 1));
    const auto v = day.run();
    EXPECT_EQ(v.breaches.size(), 0U);
    const auto& f = day.figures();
    EXPECT_GT(f.cache_lost, 100U);
    EXPECT_GT(f.prefixes.gaps, 50U);
    EXPECT_EQ(f.prefixes.unfilled_gaps, 0U);
    EXPECT_EQ(f.prefixes.trusted, 3U * 12U);
}

TEST(CacheEvents, GapsThatNobodyFillsCostSpeedOnly) {
    Simulation day(with_events(R"(caches { lost 0.2; past 0; }
                                  troubles { crash at="5s" for="2s" server="prefill-3"; })",
                               1));
    const auto v = day.run();
    EXPECT_EQ(v.breaches.size(), 0U);
    EXPECT_EQ(v.requests, v.served + v.refused + v.failed + v.disconnected);
    EXPECT_GT(v.served, v.requests * 9 / 10);
    EXPECT_GT(day.figures().prefixes.unfilled_gaps, 50U);
}

TEST(CacheEvents, ReadLessAnewThanTheGuessAndThanRandom) {
    const auto arms = compare_arms(with_events(R"(caches { lost 0.1; }
        arm "random" { policy "random"; cache-events #false; }
        arm "guess" { cache-events #false; }
        arm "index" {})",
                                               1),
                                   2);
    ASSERT_EQ(arms.size(), 3U);
    const auto anew = [&](std::size_t arm) {
        return estimate(arms[arm].by_measure[static_cast<std::size_t>(Measure::anew)]).mean;
    };
    EXPECT_LT(anew(2), anew(1));
    EXPECT_LT(anew(1), anew(0));
    for (const auto& arm : arms) EXPECT_EQ(arm.rules_broken, 0U);
    EXPECT_EQ(arms[0].cache_batches, 0U);
    EXPECT_THROW(compare_arms(with_events("", 1), 1), std::invalid_argument);
}

}  // namespace
}  // namespace chalksail::lab
