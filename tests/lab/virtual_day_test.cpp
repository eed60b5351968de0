// Bad days in virtual time: the real core, the stand-ins' models, and the checker of the rules. The same on each run.
#include <gtest/gtest.h>

#include "virtual/day.hpp"

namespace chalksail::lab {
namespace {

constexpr const char* kFleet = R"(
edges 2
clients 60
length "30s"
list-lag "700ms"
zone "ikeja"
zone "lekki"
zone "apapa"
edge {
    class "once" { when model="once"; aim "2s"; deadline "8s"; effect "once"; worth 3; }
    class "keyed" { when model="keyed"; aim "1.5s"; deadline "6s"; effect "by-key"; group "zone"; window "5s"; }
    class "chat" { aim "1.2s"; aim-per-1000-tokens "40ms"; deadline "5s"; }
    kind "prefill" { role "prefill"; memory-tokens 220000; }
    kind "decode" { role "decode"; memory-tokens 150000; }
    rules { cold-for "8s"; }
}
engines "prefill" kind="prefill" count=4 { slots 7; queue 30; read-pace 20000; }
engines "decode" kind="decode" count=5 { slots 40; queue 20; token-interval "20ms"; read-pace 6000; }
traffic "chat" { model "chat"; share 70; system-bytes 6000; turn-bytes 1500; max-tokens 60; }
traffic "once" { model "once"; share 20; system-bytes 3000; turn-bytes 1500; max-tokens 40; }
traffic "keyed" { model "keyed"; share 10; system-bytes 3000; turn-bytes 1500; max-tokens 40; }
)";

Scenario scenario(const std::string& more, std::uint64_t seed) {
    auto out = parse_scenario(std::string(kFleet) + more + "\nseed " + std::to_string(seed), "day");
    if (!out) throw std::runtime_error(format(out.error().front()));
    return std::move(*out);
}

std::string told(const Verdict5& v) {
    std::string out;
    for (std::size_t i = 0; i < v.breaches.size() && i < 5; ++i) out += format(v.breaches[i]) + "\n";
    return out;
}

class BadDay : public ::testing::TestWithParam<std::tuple<const char*, std::uint64_t>> {};

TEST_P(BadDay, KeepsTheRulesAndLeavesNothingOpen) {
    VirtualDay day(scenario(std::string("troubles {\n") + std::get<0>(GetParam()) + "\n}", std::get<1>(GetParam())));
    const auto v = day.run();
    EXPECT_EQ(v.breaches.size(), 0U) << told(v);
    EXPECT_EQ(v.unanswered, 0U);
    EXPECT_EQ(v.late, 0U);
    EXPECT_EQ(v.garbled, 0U);
    EXPECT_GT(v.asked, 300U);
    EXPECT_GT(v.served, v.asked / 3);
    EXPECT_EQ(v.asked, v.served + v.refused + v.failed + v.gone + v.rejected);
    EXPECT_EQ(day.figures().guards, 0U);
    EXPECT_EQ(day.figures().open_at_end, 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Troubles, BadDay,
    ::testing::Combine(
        ::testing::Values(
            "", R"(crash at="5s" for="6s" engines="decode" share=0.4)", R"(crash at="5s" for="6s" engines="prefill" share=0.5)",
            R"(vanish at="5s" for="8s" engines="prefill" share=0.25
               vanish at="15s" for="6s" engines="decode" share=0.2)",
            R"(hang at="5s" for="3s" share=0.3)", R"(slow at="5s" for="10s" engines="decode" share=0.4 factor=5)",
            R"(fast_errors at="5s" for="8s" engines="decode" share=0.4 part=0.7)", R"(answer_lost at="5s" for="8s" share=0.3 part=0.5)",
            R"(origin_slow at="5s" for="10s" factor=20)", R"(preempt at="5s" for="6s" engines="decode" share=0.4 notice="2s")",
            R"(discovery_stale at="2s" for="20s" lag="6s"
               crash at="5s" for="3s" share=0.3)",
            R"(zone_loss at="6s" for="8s" zone="apapa")", R"(burst at="5s" for="8s" factor=4)",
            R"(heavy_tail at="5s" for="10s" part=0.1 factor=20)", R"(give_up at="1s" for="28s" part=0.5)",
            R"(zone_loss at="4s" for="5s" zone="apapa"
               zone_loss at="6s" for="5s" zone="lekki"
               zone_loss at="8s" for="5s" zone="ikeja"
               give_up at="1s" for="28s" part=0.2)"),
        ::testing::Values(1, 2, 3)));

TEST(VirtualDay, SameSeedSameBytes) {
    const auto play = [](std::uint64_t seed) {
        VirtualDay day(scenario(R"(troubles { crash at="3s" for="4s" share=0.3; give_up at="1s" for="9s" part=0.3; })", seed));
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
