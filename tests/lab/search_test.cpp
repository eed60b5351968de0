// The search for the worst day: what it finds can be had again from the file that it writes.
#include "swarm/search.hpp"

#include <gtest/gtest.h>

#include "lab/scenarios.hpp"
#include "swarm/swarm.hpp"

namespace chalksail::lab {
namespace {

constexpr const char* kShort = "length \"6s\"\nclients 12\n";

Scenario base() {
    std::string fleet = kFleet;
    fleet.replace(fleet.find("length \"30s\"\n"), 13, "");
    auto out = parse_scenario(fleet + kShort, "base");
    if (!out) throw std::runtime_error(format(out.error().front()));
    return std::move(*out);
}

TEST(Search, RetainsTheWorstAndEndsOnRequest) {
    double worst = -1;
    int played = 0;
    const auto found = search_worst(base(), 1, 5, [&](const Case& c) {
        worst = std::max(worst, c.regret());
        return ++played < 3;
    });
    ASSERT_TRUE(found);
    EXPECT_EQ(played, 3);
    EXPECT_EQ(found->regret(), worst);
    EXPECT_FALSE(found->scenario.faults.empty());
}

// A case that counts as bad enough is made smaller, and the file of it is the same day.
TEST(Search, WhatIsShrunkIsSmallerAndCanBeReadBack) {
    const Scenario b = base();
    Case bad;
    bad.scenario = b;
    bad.scenario.seed = 3;
    sim::Stream draws(3, "search");
    for (int i = 0; i < 3; ++i) bad.scenario.faults.push_back(draw_fault(draws, b.zones, b.length));
    // Said to be a little worse than it is, so that something can be left out.
    bad = play_case(bad.scenario);
    bad.best = bad.module + 0.011;
    std::size_t cases = 0;
    const auto shrunk = shrink(b, bad, [&](const Case&) {
        ++cases;
        return true;
    });
    EXPECT_EQ(cases, shrunk.played);
    EXPECT_GT(shrunk.played, 0U);
    const auto text = to_kdl(shrunk, "base.kdl");
    EXPECT_EQ(base_of(text), "base.kdl");
    const auto again = parse_scenario(text, "again", &b);
    ASSERT_TRUE(again) << config::format(again.error().front()) << "\n" << text;
    const auto& s = shrunk.what.scenario;
    EXPECT_EQ(again->engines.size(), s.engines.size());
    EXPECT_EQ(again->edges, s.edges);
    EXPECT_EQ(again->clients, s.clients);
    EXPECT_EQ(again->faults.size(), s.faults.size());
    EXPECT_EQ(play_case(*again).module, play_case(s).module);
}

TEST(Search, NoRegretIsNoFinding) {
    Case good;
    good.scenario = base();
    good.module = good.best = 0.9;
    EXPECT_EQ(shrink(base(), good, [](const Case&) { return true; }).played, 0U);
}

// A smaller fleet of a base whose troubles name an engine: an error where they stay, none where they are
// replaced.
TEST(Scenario, FaultsOfTheBaseMustFindTheirEngines) {
    const auto b = scenario(R"(troubles { crash at="1s" for="1s" server="decode-5"; })", 1);
    EXPECT_FALSE(parse_scenario("engines-part 0.3", "t", &b));
    const auto other = parse_scenario("engines-part 0.3\ntroubles { burst at=\"1s\" for=\"1s\"; }", "t", &b);
    ASSERT_TRUE(other) << config::format(other.error().front());
    EXPECT_LT(other->engines.size(), b.engines.size());
}

TEST(Scenario, FaultsAreParsedAsFormatted) {
    sim::Stream draws(1, "test");
    const auto b = base();
    for (int i = 0; i < 60; ++i) {
        const auto t = draw_fault(draws, b.zones, b.length);
        const auto back = parse_scenario("troubles {\n" + to_kdl(t) + "\n}", "t", &b);
        ASSERT_TRUE(back) << config::format(back.error().front()) << to_kdl(t);
        ASSERT_EQ(back->faults.size(), 1U);
        EXPECT_EQ(to_kdl(back->faults.front()), to_kdl(t));
    }
}

}  // namespace
}  // namespace chalksail::lab
