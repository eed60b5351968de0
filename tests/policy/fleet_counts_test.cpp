#include "policy/fleet_counts.hpp"

#include <gtest/gtest.h>

namespace chalksail {
namespace {

using namespace std::chrono_literals;

constexpr Time kNow{1000s};

Server server(Role role, double memory = 100) {
    Server out;
    out.role = role;
    out.memory = memory;
    return out;
}

TEST(FleetCounts, WarmHealthyAndMemoryAreOfServersInService) {
    std::map<ServerId, Server> servers = {{{"r"}, server(Role::prefill)},
                                          {{"w"}, server(Role::decode)},
                                          {{"cold"}, server(Role::decode)},
                                          {{"ejected"}, server(Role::decode)},
                                          {{"drains"}, server(Role::decode)}};
    servers.at({"cold"}).entry.started_at = kNow - 4s;
    servers.at({"ejected"}).ejection = 1s;
    servers.at({"drains"}).entry.state = EndpointState::draining;
    FleetCounts counts(10s, 0.4);
    counts.refresh(servers, kNow);
    EXPECT_EQ(counts.warm(Role::prefill), 1);
    EXPECT_EQ(counts.warm(Role::decode), 2);
    EXPECT_TRUE(counts.has_healthy(Role::decode));
    EXPECT_FALSE(counts.has_healthy(Role::mixed));
    EXPECT_TRUE(counts.has_writer());
    EXPECT_DOUBLE_EQ(counts.writer_memory(), 100 + 40);
}

TEST(FleetCounts, AreTakenAnewBehindAChangeAndAsServersWarmUp) {
    std::map<ServerId, Server> servers = {{{"a"}, server(Role::decode)}, {{"b"}, server(Role::decode)}};
    servers.at({"b"}).entry.started_at = kNow - 4s;
    FleetCounts counts(10s, 0.4);
    counts.refresh(servers, kNow);
    servers.at({"a"}).ejection = 1s;
    counts.refresh(servers, kNow);
    EXPECT_DOUBLE_EQ(counts.writer_memory(), 140);  // nobody has said so
    counts.changed();
    counts.refresh(servers, kNow);
    EXPECT_DOUBLE_EQ(counts.writer_memory(), 40);
    EXPECT_EQ(counts.warm(Role::decode), 1);
    counts.refresh(servers, kNow + 6s);
    EXPECT_DOUBLE_EQ(counts.writer_memory(), 100);
    EXPECT_EQ(counts.warm(Role::decode), 2);
}

// One of a mixed role does both kinds of work.
TEST(FleetCounts, MixedServersAreHealthyForEachRole) {
    FleetCounts counts(10s, 0.4);
    counts.refresh({{{"m"}, server(Role::mixed)}}, kNow);
    EXPECT_TRUE(counts.has_healthy(Role::prefill));
    EXPECT_TRUE(counts.has_healthy(Role::decode));
    EXPECT_TRUE(counts.has_healthy(Role::mixed));
    EXPECT_EQ(counts.warm(Role::decode), 0);
}

}  // namespace
}  // namespace chalksail
