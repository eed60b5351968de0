// Bad days in virtual time: the real core, the stand-ins' models, and the checker of the rules. The same on
// each run.
#include "simulation/simulation.hpp"

#include <gtest/gtest.h>

#include "lab/scenarios.hpp"

namespace chalksail::lab {
namespace {

std::string breach_list(const RuleReport& v) {
    std::string out;
    for (std::size_t i = 0; i < v.breaches.size() && i < 5; ++i) out += format(v.breaches[i]) + "\n";
    return out;
}

struct Kind {
    const char* name;
    const char* faults;
};
class BadDay : public ::testing::TestWithParam<std::tuple<Kind, std::uint64_t>> {};

TEST_P(BadDay, KeepsTheRulesAndLeavesNothingOpen) {
    Simulation day(scenario(std::string("troubles {\n") + std::get<0>(GetParam()).faults + "\n}",
                            std::get<1>(GetParam())));
    const auto v = day.run();
    EXPECT_EQ(v.breaches.size(), 0U) << breach_list(v);
    EXPECT_EQ(v.unanswered, 0U);
    EXPECT_EQ(v.late, 0U);
    EXPECT_EQ(v.garbled, 0U);
    EXPECT_GT(v.requests, 300U);
    EXPECT_GT(v.served, v.requests / 3);
    EXPECT_EQ(v.requests, v.served + v.refused + v.failed + v.disconnected + v.rejected);
    EXPECT_EQ(day.figures().guards, 0U);
    EXPECT_EQ(day.figures().open_at_end, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    FaultInjector, BadDay,
    ::testing::Combine(
        ::testing::Values(
            Kind{"quiet", ""}, Kind{"writers_crash", R"(crash at="5s" for="6s" engines="decode" share=0.4)"},
            Kind{"readers_crash", R"(crash at="5s" for="6s" engines="prefill" share=0.5)"},
            Kind{"vanish", R"(vanish at="5s" for="8s" engines="prefill" share=0.25
                              vanish at="15s" for="6s" engines="decode" share=0.2)"},
            Kind{"hang", R"(hang at="5s" for="3s" share=0.3)"},
            Kind{"slow", R"(slow at="5s" for="10s" engines="decode" share=0.4 factor=5)"},
            Kind{"fast_errors", R"(fast_errors at="5s" for="8s" engines="decode" share=0.4 part=0.7)"},
            Kind{"answer_lost", R"(answer_lost at="5s" for="8s" share=0.3 part=0.5)"},
            Kind{"origin_slow", R"(origin_slow at="5s" for="10s" factor=20)"},
            Kind{"preempt", R"(preempt at="5s" for="6s" engines="decode" share=0.4 notice="2s")"},
            Kind{"stale_list", R"(discovery_stale at="2s" for="20s" lag="6s"
                                  crash at="5s" for="3s" share=0.3)"},
            Kind{"zone_loss", R"(zone_loss at="6s" for="8s" zone="apapa")"},
            Kind{"burst", R"(burst at="5s" for="8s" factor=4)"},
            Kind{"heavy_tail", R"(heavy_tail at="5s" for="10s" part=0.1 factor=20)"},
            Kind{"give_up", R"(give_up at="1s" for="28s" part=0.5)"},
            Kind{"zone_cut_off", R"(partition at="5s" for="4s" zone="apapa")"},
            Kind{"writers_cut_off", R"(partition at="5s" for="6s" engines="decode" share=0.5 part=0.5)"},
            Kind{"readers_cut_off", R"(partition at="5s" for="6s" engines="prefill" share=0.5 part=0.5)"},
            Kind{"half_open", R"(half_open at="5s" for="8s" share=0.5 part=0.4)"},
            Kind{"resets", R"(resets at="5s" for="8s" share=0.7 part=0.5)"},
            Kind{"all_zones", R"(zone_loss at="4s" for="5s" zone="apapa"
                                 zone_loss at="6s" for="5s" zone="lekki"
                                 zone_loss at="8s" for="5s" zone="ikeja"
                                 give_up at="1s" for="28s" part=0.2)"}),
        ::testing::Values(1, 2, 3)),
    [](const auto& info) {
        return std::get<0>(info.param).name + std::string("_") + std::to_string(std::get<1>(info.param));
    });

// Twenty engines come back cold at once, into a full load: none is pushed over by gateways that have been
// told.
TEST(Simulation, TwentyEnginesRestartAtOnce) {
    constexpr const char* large = R"(
        edges 4
        clients 200
        length "30s"
        list-lag "500ms"
        zone "ikeja"
        zone "lekki"
        edge {
            class "chat" { aim "1.2s"; aim-per-1000-tokens "40ms"; deadline "5s"; }
            kind "prefill" { role "prefill"; memory-tokens 220000; }
            kind "decode" { role "decode"; memory-tokens 150000; }
        }
        engines "prefill" kind="prefill" count=12 { slots 7; queue 30; read-pace 20000; }
        engines "decode" kind="decode" count=16 { slots 40; queue 20; token-interval "20ms"; read-pace 6000; }
        traffic "chat" { model "chat"; system-bytes 6000; turn-bytes 1500; max-tokens 60; }
        troubles {
            crash at="6s" for="3s" engines="prefill" share=0.66
            crash at="6s" for="3s" engines="decode" share=0.75
        }
    )";
    for (const int seed : {1, 2}) {
        auto s = parse_scenario(std::string(large) + "\nseed " + std::to_string(seed), "cold");
        ASSERT_TRUE(s) << format(s.error().front());
        Simulation day(std::move(*s));
        const auto v = day.run();
        EXPECT_EQ(v.breaches.size(), 0U) << breach_list(v);
        EXPECT_EQ(day.figures().overloads, 0U);
        EXPECT_EQ(day.figures().open_at_end, 0U);
        EXPECT_GT(v.served, v.requests / 2);
    }
}

TEST(Simulation, SameSeedSameBytes) {
    const auto play = [](std::uint64_t seed) {
        Simulation day(scenario(
            R"(troubles { crash at="3s" for="4s" share=0.3; give_up at="1s" for="9s" part=0.3; })", seed));
        day.run();
        std::string out;
        for (const auto& r : day.records()) out += format(r) + "\n";
        return out;
    };
    const auto first = play(5);
    EXPECT_EQ(first, play(5));
    EXPECT_NE(first, play(6));
}

}  // namespace
}  // namespace chalksail::lab
