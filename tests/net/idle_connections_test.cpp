#include "net/idle_connections.hpp"

#include <gtest/gtest.h>

namespace chalksail::net {
namespace {

using namespace std::chrono_literals;
using Kind = IdleConnections::Kind;
const IdleConnections::Unread kNothing = [](auto) { return false; };

TEST(IdleConnections, EvictsInOrderOfKindAndIdleTime) {
    IdleConnections idle({.connections = 8});
    const Time now{1000s};
    EXPECT_EQ(idle.choose_evicted(now, kNothing), std::nullopt);  // none is idle
    idle.add(1, Kind::reusable, now - 9s);
    idle.add(2, Kind::reusable, now - 3s);
    idle.add(3, Kind::silent, now - 1ms);  // within the grace of new connections
    EXPECT_EQ(idle.choose_evicted(now, kNothing), 1U);
    EXPECT_EQ(idle.choose_evicted(now, [](auto id) { return id == 1; }), 2U);  // 1 has unread input
    EXPECT_EQ(idle.choose_evicted(now + 1s, kNothing), 3U);                    // no request within the grace
    idle.add(5, Kind::closing, now);
    EXPECT_EQ(idle.choose_evicted(now, [](auto) { return true; }), 5U);
    for (const IdleConnections::Id id : {1, 2, 5}) idle.remove(id);
    EXPECT_EQ(idle.choose_evicted(now, kNothing), 3U);  // the only idle one
}

TEST(IdleConnections, TimeOutsDependOnKindAndAreShorterUnderPressure) {
    IdleConnections idle({.connections = 8, .first = 2s, .idle = 60s, .pressed = 3s, .linger = 1s});
    const Time now{1000s};
    const auto due = [&](std::size_t all, bool draining = false) {
        return idle.overdue(now, all, draining, kNothing);
    };
    idle.add(1, Kind::reusable, now - 50s);
    idle.add(2, Kind::silent, now - 3s);
    idle.add(3, Kind::closing, now - 2s);
    idle.add(4, Kind::reusable, now - 1s);
    EXPECT_EQ(due(5), (std::vector<IdleConnections::Id>{2, 3}));
    EXPECT_EQ(due(7), (std::vector<IdleConnections::Id>{2, 1, 3}));
    EXPECT_EQ(due(5, true), (std::vector<IdleConnections::Id>{2, 1, 4, 3}));
    EXPECT_EQ(idle.overdue(now, 7, false, [](auto) { return true; }), (std::vector<IdleConnections::Id>{3}));
}

}  // namespace
}  // namespace chalksail::net
