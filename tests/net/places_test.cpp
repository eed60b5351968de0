#include "net/places.hpp"

#include <gtest/gtest.h>

namespace chalksail::net {
namespace {

using namespace std::chrono_literals;
using Kind = Places::Kind;
const Places::Unread kNothing = [](auto) { return false; };

TEST(Places, WhoIsMissedLeastMakesRoom) {
    Places p({.connections = 8});
    const Time now{1000s};
    EXPECT_EQ(p.make_room(now, kNothing), std::nullopt);  // all are in use
    p.rest(1, Kind::kept, now - 9s);
    p.rest(2, Kind::kept, now - 3s);
    p.rest(3, Kind::silent, now - 1ms);  // it may be about to ask
    EXPECT_EQ(p.make_room(now, kNothing), 1U);
    EXPECT_EQ(p.make_room(now, [](auto id) { return id == 1; }), 2U);  // a request of 1 has come
    EXPECT_EQ(p.make_room(now + 1s, kNothing), 3U);                    // it was not
    p.rest(5, Kind::leaving, now);
    EXPECT_EQ(p.make_room(now, [](auto) { return true; }), 5U);
    for (const Places::Id id : {1, 2, 5}) p.stir(id);
    EXPECT_EQ(p.make_room(now, kNothing), 3U);  // nobody else is there
}

TEST(Places, TimesEndByKindAndSoonerUnderPressure) {
    Places p({.connections = 8, .first = 2s, .idle = 60s, .pressed = 3s, .linger = 1s});
    const Time now{1000s};
    const auto due = [&](std::size_t all, bool draining = false) {
        return p.overdue(now, all, draining, kNothing);
    };
    p.rest(1, Kind::kept, now - 50s);
    p.rest(2, Kind::silent, now - 3s);
    p.rest(3, Kind::leaving, now - 2s);
    p.rest(4, Kind::kept, now - 1s);
    EXPECT_EQ(due(5), (std::vector<Places::Id>{2, 3}));
    EXPECT_EQ(due(7), (std::vector<Places::Id>{2, 1, 3}));
    EXPECT_EQ(due(5, true), (std::vector<Places::Id>{2, 1, 4, 3}));
    EXPECT_EQ(p.overdue(now, 7, false, [](auto) { return true; }), (std::vector<Places::Id>{3}));
}

}  // namespace
}  // namespace chalksail::net
