// Which handshakes may begin: limits, priority and order, and that no slot is leaked.
#include "net/tls/handshake_limiter.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace chalksail::net::tls {
namespace {

std::vector<HandshakeLimiter::Id> all_next(HandshakeLimiter& limiter) {
    std::vector<HandshakeLimiter::Id> out;
    while (const auto id = limiter.next()) out.push_back(*id);
    return out;
}
using Ids = std::vector<HandshakeLimiter::Id>;

TEST(HandshakeLimiterTest, HighestPriorityFirstThenFirstInFirstOut) {
    HandshakeLimiter limiter({2, 2});
    limiter.enter(1, "a", 1);
    limiter.enter(2, "b", 5);
    limiter.enter(3, "a", 5);
    limiter.enter(4, "b", 1);
    EXPECT_EQ(all_next(limiter), (Ids{2, 3}));
    limiter.leave(2);
    EXPECT_EQ(all_next(limiter), (Ids{1}));
    limiter.leave(3);
    EXPECT_EQ(all_next(limiter), (Ids{4}));
}

TEST(HandshakeLimiterTest, OneServersHandshakesStayWithinItsLimit) {
    HandshakeLimiter limiter({8, 3});
    for (HandshakeLimiter::Id id = 1; id <= 20; ++id) limiter.enter(id, "back", 9);
    limiter.enter(21, "other", 0);
    EXPECT_EQ(all_next(limiter), (Ids{1, 2, 3, 21}));  // the other server's is not blocked by them
    EXPECT_FALSE(limiter.waits_for_total_limit(4));    // its server's limit is reached
    limiter.leave(5);                                  // abandoned while waiting
    limiter.leave(1);
    EXPECT_EQ(all_next(limiter), (Ids{4}));
    limiter.leave(2);
    EXPECT_EQ(all_next(limiter), (Ids{6}));
    EXPECT_EQ(limiter.under_way(), 4U);
    EXPECT_EQ(limiter.waiting(), 14U);
}

TEST(HandshakeLimiterTest, ReportsWhichLimitDelaysAHandshake) {
    HandshakeLimiter limiter({1, 1});
    limiter.enter(1, "a", 1);
    limiter.enter(2, "b", 1);
    limiter.enter(3, "a", 1);
    EXPECT_EQ(all_next(limiter), (Ids{1}));
    EXPECT_TRUE(limiter.waits_for_total_limit(2));
    EXPECT_FALSE(limiter.waits_for_total_limit(3));
    EXPECT_FALSE(limiter.waits_for_total_limit(1));
    EXPECT_EQ(limiter.first_waiting("a"), 3U);
    EXPECT_EQ(limiter.first_waiting("c"), std::nullopt);
}

// Compares with a simple model of the same rules that searches one list of entries each time.
TEST(HandshakeLimiterTest, AgreesWithASimpleModelOnRandomOperations) {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        std::mt19937_64 random(seed);
        const HandshakeLimiter::Limits limits{1 + random() % 6, 1 + random() % 3};
        HandshakeLimiter limiter(limits);
        struct ModelEntry {
            HandshakeLimiter::Id id;
            std::string server;
            double priority;
            bool begun;
        };
        std::vector<ModelEntry> model;
        HandshakeLimiter::Id last = 0;
        for (int step = 0; step < 400; ++step) {
            const auto what = random() % 3;
            if (what == 0) {
                ModelEntry entry{++last, std::string(1, static_cast<char>('a' + random() % 4)),
                                 static_cast<double>(random() % 3), false};
                limiter.enter(entry.id, entry.server, entry.priority);
                model.push_back(entry);
            } else if (what == 1 && !model.empty()) {
                const auto at = static_cast<std::ptrdiff_t>(random() % model.size());
                limiter.leave(model[static_cast<std::size_t>(at)].id);
                model.erase(model.begin() + at);
            } else {
                const auto count_under_way = [&](const std::string& server) {
                    return static_cast<std::size_t>(
                        std::count_if(model.begin(), model.end(), [&](const ModelEntry& o) {
                            return o.begun && (server.empty() || o.server == server);
                        }));
                };
                ModelEntry* best = nullptr;
                if (count_under_way("") < limits.total)
                    for (auto& o : model)
                        if (!o.begun && count_under_way(o.server) < limits.per_server &&
                            (best == nullptr || o.priority > best->priority))
                            best = &o;
                const auto got = limiter.next();
                ASSERT_EQ(got.has_value(), best != nullptr) << "seed " << seed;
                if (best == nullptr) continue;
                ASSERT_EQ(*got, best->id) << "seed " << seed;
                best->begun = true;
            }
            ASSERT_EQ(limiter.under_way() + limiter.waiting(), model.size());
        }
    }
}

}  // namespace
}  // namespace chalksail::net::tls
