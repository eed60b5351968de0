// The simulated network as TCP shows it, the order of acts, and draws that are the same everywhere.
#include <gtest/gtest.h>

#include "sim/network.hpp"
#include "sim/random.hpp"
#include "sim/timeline.hpp"

namespace chalksail::lab::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
constexpr Time kStart{seconds(10)};

Network network(NetworkSpec spec = {}) { return {spec, {0, 1}, {0, 1, 1}, Stream(1, "network")}; }

TEST(Stream, AConcernsDrawsDependOnNothingElse) {
    Stream a(7, "clients", 3), b(7, "clients", 3);
    Stream other_seed(8, "clients", 3), other_concern(7, "engines", 3), other_index(7, "clients", 4);
    for (int i = 0; i < 100; ++i) {
        const auto value = a();
        EXPECT_EQ(value, b());
        EXPECT_NE(value, other_seed());
        EXPECT_NE(value, other_concern());
        EXPECT_NE(value, other_index());
    }
}

// Written down from one machine: another one draws the same.
TEST(Stream, TheSameOnEachMachine) {
    Stream s(16, "clients");
    EXPECT_EQ(s(), 8841446135259857411U);
    EXPECT_EQ(Stream(16, "engine", 5)(), 11870656022011326313U);
}

TEST(Timeline, ActionsOfOneTimeInTheOrderOfTheirScheduling) {
    Timeline t(kStart);
    std::string out;
    t.after(milliseconds(2), [&] { out += 'c'; });
    t.after(milliseconds(1), [&] {
        out += 'a';
        t.at(kStart, [&] { out += 'b'; });  // the past is now
    });
    t.after(milliseconds(2), [&] { out += 'd'; });
    t.after(milliseconds(9), [&] { out += 'e'; });
    while (t.play_one(kStart + milliseconds(5))) {
    }
    EXPECT_EQ(out, "abcd");
    EXPECT_EQ(t.now(), kStart + milliseconds(2));
}

TEST(Network, OneConnectionKeepsItsOrderTwoDoNot) {
    NetworkSpec spec;
    spec.jitter = milliseconds(5);
    auto n = network(spec);
    const auto a = n.dial(0, 0, kStart, seconds(1))->connection;
    const auto b = n.dial(0, 0, kStart, seconds(1))->connection;
    bool overtaken = false;
    Time last{};
    for (int i = 0; i < 200; ++i) {
        const Time now = kStart + milliseconds(i);
        const Time on_a = *n.arrival(a, Way::to_engine, now, 100);
        const Time on_b = *n.arrival(b, Way::to_engine, now, 100);
        EXPECT_GE(on_a, last);
        last = on_a;
        overtaken = overtaken || on_b < on_a;
    }
    EXPECT_TRUE(overtaken);
}

TEST(Network, ALineOfLimitedRateDelaysWhatComesBehind) {
    NetworkSpec spec;
    spec.same_zone = milliseconds(1);
    spec.bytes_per_second = 1000;
    auto n = network(spec);
    const auto c = n.dial(0, 0, kStart, seconds(1))->connection;
    EXPECT_EQ(*n.arrival(c, Way::to_engine, kStart, 500), kStart + milliseconds(501));
    EXPECT_EQ(*n.arrival(c, Way::to_engine, kStart, 500), kStart + milliseconds(1001));
    EXPECT_EQ(*n.arrival(c, Way::to_gateway, kStart, 500), kStart + milliseconds(501));
}

TEST(Network, WhatIsWrittenInACutArrivesAfterIt) {
    auto n = network();
    const auto c = n.dial(0, 1, kStart, seconds(1))->connection;
    n.cut({{true, false}, {true, false, false}, kStart + seconds(1), true});
    EXPECT_TRUE(n.blocked(0, 1, kStart));
    EXPECT_FALSE(n.blocked(0, 0, kStart));  // both in the place that is cut off
    EXPECT_FALSE(n.blocked(1, 2, kStart));  // both outside
    EXPECT_TRUE(n.apart(0, 1, kStart));
    EXPECT_FALSE(n.apart(1, 2, kStart));
    const Time arrives = *n.arrival(c, Way::to_engine, kStart, 100);
    EXPECT_GE(arrives, kStart + seconds(1));
    EXPECT_LT(arrives, kStart + seconds(3));
    // Written right after the cut, it is not overtaken by what was written before.
    EXPECT_GE(*n.arrival(c, Way::to_engine, kStart + seconds(1), 100), arrives);
    EXPECT_FALSE(n.dial(0, 1, kStart, milliseconds(250)));
    EXPECT_TRUE(n.dial(0, 1, kStart, seconds(5)));
    EXPECT_TRUE(n.dial(0, 1, kStart + seconds(1), milliseconds(250)));
    EXPECT_FALSE(n.apart(0, 1, kStart + seconds(1)));
}

TEST(Network, ACutOfSomeGatewaysFromSomeEnginesLeavesTheOthersAlone) {
    auto n = network();
    n.cut({{true, false}, {false, true, false}, kStart + seconds(1), false});
    EXPECT_TRUE(n.blocked(0, 1, kStart));
    EXPECT_FALSE(n.blocked(0, 2, kStart));
    EXPECT_FALSE(n.blocked(1, 1, kStart));
    EXPECT_FALSE(n.apart(0, 1, kStart));
}

TEST(Network, ASilentConnectionBringsNothingAndTellsNobody) {
    auto n = network();
    const auto c = n.dial(0, 0, kStart, seconds(1))->connection;
    const auto other = n.dial(0, 0, kStart, seconds(1))->connection;
    n.silence(c);
    EXPECT_FALSE(n.arrival(c, Way::to_engine, kStart, 1));
    EXPECT_FALSE(n.arrival(c, Way::to_gateway, kStart, 1));
    EXPECT_TRUE(n.arrival(other, Way::to_engine, kStart, 1));
    EXPECT_EQ(n.connections_of(0), (std::vector<Connection>{c, other}));
}

}  // namespace
}  // namespace chalksail::lab::sim
