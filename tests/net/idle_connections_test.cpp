#include "net/idle_connections.hpp"

#include <gtest/gtest.h>

namespace chalksail::net {
namespace {

using namespace std::chrono_literals;
using Kind = IdleConnections::Kind;
const IdleConnections::Unread kNothing = [](auto) { return false; };

TEST(IdleConnections, WhoIsMissedLeastMakesRoom) {
    IdleConnections p({.connections = 8});
    const Time now{1000s};
    EXPECT_EQ(p.choose_evicted(now, kNothing), std::nullopt);  // all are in use
    p.add(1, Kind::reusable, now - 9s);
    p.add(2, Kind::reusable, now - 3s);
    p.add(3, Kind::silent, now - 1ms);  // it may be about to ask
    EXPECT_EQ(p.choose_evicted(now, kNothing), 1U);
    EXPECT_EQ(p.choose_evicted(now, [](auto id) { return id == 1; }), 2U);  // a request of 1 has come
    EXPECT_EQ(p.choose_evicted(now + 1s, kNothing), 3U);                    // it was not
    p.add(5, Kind::closing, now);
    EXPECT_EQ(p.choose_evicted(now, [](auto) { return true; }), 5U);
    for (const IdleConnections::Id id : {1, 2, 5}) p.remove(id);
    EXPECT_EQ(p.choose_evicted(now, kNothing), 3U);  // nobody else is there
}

TEST(IdleConnections, TimesEndByKindAndSoonerUnderPressure) {
    IdleConnections p({.connections = 8, .first = 2s, .idle = 60s, .pressed = 3s, .linger = 1s});
    const Time now{1000s};
    const auto due = [&](std::size_t all, bool draining = false) {
        return p.overdue(now, all, draining, kNothing);
    };
    p.add(1, Kind::reusable, now - 50s);
    p.add(2, Kind::silent, now - 3s);
    p.add(3, Kind::closing, now - 2s);
    p.add(4, Kind::reusable, now - 1s);
    EXPECT_EQ(due(5), (std::vector<IdleConnections::Id>{2, 3}));
    EXPECT_EQ(due(7), (std::vector<IdleConnections::Id>{2, 1, 3}));
    EXPECT_EQ(due(5, true), (std::vector<IdleConnections::Id>{2, 1, 4, 3}));
    EXPECT_EQ(p.overdue(now, 7, false, [](auto) { return true; }), (std::vector<IdleConnections::Id>{3}));
}

}  // namespace
}  // namespace chalksail::net
