// A gateway among many, with sparse observations: it decides by the endpoint list and by totals over all
// servers.
#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "fixture.hpp"

namespace chalksail::testing {
namespace {

Settings one_of_many() {
    auto s = plain_settings();
    s.gateways = 100;
    return s;
}
std::vector<Endpoint> fleet(int readers, int writers, const std::string& zone = "north", int cell = 0) {
    std::vector<Endpoint> out;
    const auto name = [&](const char* kind, int i) {
        return kind + zone + std::to_string(cell) + std::to_string(i);
    };
    for (int i = 0; i < readers; ++i) out.push_back(server(name("r", i), "reader", zone, cell));
    for (int i = 0; i < writers; ++i) out.push_back(server(name("w", i), "writer", zone, cell));
    return out;
}
std::vector<Endpoint> operator+(std::vector<Endpoint> a, const std::vector<Endpoint>& b) {
    a.insert(a.end(), b.begin(), b.end());
    return a;
}
// Serves one request to its end. Returns its prefill server and its decode server.
std::pair<std::string, std::string> serve(Gateway& g, std::uint64_t id) {
    g.advance(1s);
    g.arrive(id);
    const auto reader = g.sent_to();
    g.end(id, 0, reader, AttemptOutcome::prefilled);
    const auto writer = g.sent_to();
    g.begin_stream(id, 1, writer);
    g.end(id, 1, writer, AttemptOutcome::ok, true);
    return {reader, writer};
}

TEST(Fleet, WarmingServerDoesNotGetOneRequestFromEveryGateway) {
    int sent = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        Gateway g(one_of_many(), seed);
        auto warming = server("r", "reader");
        warming.started_at = g.now - 1s;
        g.list({warming, server("w", "writer")});
        g.advance(2s);
        g.arrive(1);
        sent += g.sent_to().empty() ? 0 : 1;
    }
    EXPECT_LE(sent, 8);
}

// Rule 4 over the whole fleet: the requests that gateways independently send to a warming server add up. The
// parameters are the number of gateways and the requests per second over all of them; at 10 per second the
// share of each of 300 gateways is far less than one request per window.
struct WarmingFleet : ::testing::TestWithParam<std::pair<int, double>> {
    static constexpr Duration kStep = 4ms;
    struct Due {
        std::size_t gateway;
        AttemptEnded ended;
    };
    std::vector<Gateway> gateways;
    std::multimap<Time, Due> due;
    std::multimap<Time, std::size_t> timers;
    std::map<std::string, std::vector<Time>> sent;
    Time now{10s};

    void deliver(std::size_t at, std::vector<Event> events) {
        Gateway& g = gateways[at];
        g.now = now;
        g.step(std::move(events));
        for (const auto& timer : g.all<SetTimer>()) timers.emplace(timer.at, at);
        for (const auto& send : g.all<Send>()) {
            sent[send.server.value].push_back(now);
            const bool prefill = send.server.value.front() == 'r';
            due.emplace(now + (prefill ? 20ms : 200ms),
                        Due{at, AttemptEnded{send.id,
                                             {prefill ? 0 : 1},
                                             send.server,
                                             prefill ? AttemptOutcome::prefilled : AttemptOutcome::ok,
                                             20ms,
                                             !prefill,
                                             false,
                                             0,
                                             {}}});
        }
    }
    // Requests arrive at a constant rate; some gateways receive several times as many as others.
    void run(Duration length, double rate) {
        const Time until = now + length;
        double pending_arrivals = 0;
        for (; now < until; now += kStep) {
            while (!due.empty() && due.begin()->first <= now) {
                auto d = due.extract(due.begin());
                deliver(d.mapped().gateway, {d.mapped().ended});
            }
            while (!timers.empty() && timers.begin()->first <= now) {
                const auto at = timers.begin()->second;
                timers.erase(timers.begin());
                deliver(at, {});
            }
            for (pending_arrivals += rate * std::chrono::duration<double>(kStep).count();
                 pending_arrivals >= 1; pending_arrivals -= 1) {
                const double place = unit_draw(++requests);
                deliver(static_cast<std::size_t>(place * place * static_cast<double>(gateways.size())),
                        {request_of(requests)});
            }
        }
    }
    static RequestArrived request_of(std::uint64_t id) {
        RequestArrived out = Gateway::request(id);
        out.prefix.clear();  // no prefill server is preferred
        return out;
    }
    static double unit_draw(std::uint64_t i) {
        return static_cast<double>((i * 0x9E3779B97F4A7C15ULL) >> 11U) * 0x1p-53;
    }
    [[nodiscard]] double max_requests_in(const std::string& server, Duration window) const {
        const auto it = sent.find(server);
        if (it == sent.end()) return 0;
        std::size_t most = 0, first = 0;
        for (std::size_t last = 0; last < it->second.size(); ++last) {
            while (it->second[first] + window < it->second[last]) ++first;
            most = std::max(most, last - first + 1);
        }
        return static_cast<double>(most);
    }
    std::uint64_t requests = 0;
};

TEST_P(WarmingFleet, StaysWithinTheCapacityOfAStartedServer) {
    const auto [count, rate] = GetParam();
    auto settings = plain_settings();
    settings.gateways = count;
    for (int i = 0; i < count; ++i) gateways.emplace_back(settings, static_cast<std::uint64_t>(i + 1));
    const auto warm = fleet(4, 4);
    for (std::size_t i = 0; i < gateways.size(); ++i)
        deliver(i, {EndpointUpdate{EndpointUpdateKind::snapshot, warm}});
    run(20s, rate);
    auto reader = server("r-cold", "reader"), writer = server("w-cold", "writer");
    reader.started_at = writer.started_at = now;
    for (std::size_t i = 0; i < gateways.size(); ++i)
        deliver(i, {EndpointUpdate{EndpointUpdateKind::delta, {reader, writer}}});
    run(6s, 1.5 * rate);
    const double capacity = settings.slow_start_overload_factor * settings.slow_start_initial_capacity *
                            rate / 4 *
                            std::chrono::duration<double>(settings.slow_start_overload_window).count();
    for (const auto* warming : {"r-cold", "w-cold"}) {
        const double max_sent = max_requests_in(warming, settings.slow_start_overload_window);
        EXPECT_LE(max_sent, capacity + 2 * std::sqrt(capacity) + 2) << warming;
        if (capacity > 10) {  // with less capacity, receiving no request is correct
            EXPECT_GT(max_sent, 0) << warming;
        }
    }
}
INSTANTIATE_TEST_SUITE_P(Sizes, WarmingFleet,
                         ::testing::Values(std::pair{1, 200.0}, std::pair{5, 200.0}, std::pair{25, 200.0},
                                           std::pair{300, 200.0}, std::pair{300, 10.0}, std::pair{25, 3.0}));

// The capacity of all decode servers is computed once per step, and requests sent in that step reduce it.
TEST(Fleet, RequestsOfOneStepDoNotExceedTheCapacity) {
    const auto sent = [](bool one_step) {
        Gateway g(one_of_many());
        g.list(fleet(8, 8));
        std::vector<Event> arrivals;
        std::size_t out = 0;
        for (std::uint64_t id = 1; id <= 60; ++id) {
            arrivals.emplace_back(Gateway::request(id));
            if (one_step) continue;
            g.step(std::exchange(arrivals, {}));
            out += g.all<Send>().size();
        }
        g.step(arrivals);
        return out + g.all<Send>().size();
    };
    EXPECT_EQ(sent(true), sent(false));
    EXPECT_GT(sent(true), 5U);
    EXPECT_LT(sent(true), 20U);  // 1.5 times 1/100 of 800,000 tokens, at 1,200 per request
}

TEST(Fleet, APopularPrefixIsPrefilledAtSeveralServers) {
    Gateway g(one_of_many());
    g.list(fleet(8, 4));
    std::set<std::string> readers;
    for (std::uint64_t id = 1; id <= 60; ++id) readers.insert(serve(g, id).first);
    EXPECT_GE(readers.size(), 5U);
}

// Guards against a few very long prompts that raise the typical request size, so that gateways with enough
// observations behave as if these were sparse.
TEST(Fleet, SparseObservationsDependOnTheTypicalSizeNotOnAFewLongPrompts) {
    auto settings = plain_settings();
    settings.gateways = 8;
    Gateway g(settings);
    g.list(fleet(8, 4));
    std::uint64_t id = 0;
    const auto prefill_servers_of_typical_prompts = [&](double typical, double every_tenth) {
        std::set<std::string> readers;
        for (int i = 0; i < 300; ++i) {
            g.advance(2s);
            g.arrive(++id, "talk", i % 10 == 9 ? every_tenth : typical);
            const auto reader = g.sent_to();
            g.end(id, 0, reader, AttemptOutcome::prefilled, true);
            if (i >= 200 && i % 10 != 9) readers.insert(reader);
        }
        return readers.size();
    };
    EXPECT_EQ(prefill_servers_of_typical_prompts(1000, 60'000), 1U);  // by prefix: enough observations
    EXPECT_GE(prefill_servers_of_typical_prompts(8000, 8000), 4U);    // by session: sparse observations
    EXPECT_EQ(prefill_servers_of_typical_prompts(1000, 1000), 1U);    // and back
}

TEST(Fleet, AZoneWithFewPrefillServersSharesItsPrefills) {
    Gateway g(one_of_many());
    g.list(fleet(1, 2) + fleet(7, 2, "south", 1));
    int elsewhere = 0;
    for (std::uint64_t id = 1; id <= 60; ++id) elsewhere += serve(g, id).first.starts_with("rsouth") ? 1 : 0;
    EXPECT_GE(elsewhere, 20);
    EXPECT_LE(elsewhere, 58);
}

TEST(Fleet, KvStatesLeaveACellShortOfDecodeServers) {
    Gateway g(one_of_many());
    g.list(fleet(6, 1) + fleet(1, 6, "north", 1));
    int crowded = 0;
    for (std::uint64_t id = 1; id <= 60; ++id) crowded += serve(g, id).second == "wnorth00" ? 1 : 0;
    EXPECT_LE(crowded, 25);
}

// Lfcc8ee: the turns of a session may reach any gateway, and must be sent to the server that has their text
// cached, whatever each gateway has observed.
TEST(Fleet, GatewaysOfAZonePrefillASessionAtTheSameServer) {
    const auto list = fleet(6, 8) + fleet(6, 8, "south", 1);
    const auto gateway_with_observations = [&](int seed) {
        Gateway g(one_of_many(), static_cast<std::uint64_t>(seed));
        g.list(list);
        for (int i = 0; i < 30; ++i) {
            const auto id = static_cast<std::uint64_t>(1000 * seed + i);
            g.advance(1s);
            g.arrive(id);
            const auto reader = g.sent_to();
            g.step({AttemptEnded{{id},
                                 {0},
                                 {reader},
                                 AttemptOutcome::prefilled,
                                 (i * seed) % 4 == 1 ? 110ms : 30ms,
                                 false,
                                 false,
                                 0,
                                 {}}});
            g.end(id, 1, g.sent_to(), AttemptOutcome::at_capacity, true);
        }
        return g;
    };
    Gateway a = gateway_with_observations(1), b = gateway_with_observations(3);
    int same = 0;
    for (std::uint64_t session = 1; session <= 50; ++session) {
        same += serve(a, session).first == serve(b, session).first ? 1 : 0;
    }
    EXPECT_GE(same, 45);
}

// Lfcc8ee: the few cells with spare decode servers in a busy zone received all KV states that left other
// cells, 60 streams each, while decode servers of other zones had eight.
TEST(Fleet, KvStatesLeavingTheirCellGoToSpareDecodeServers) {
    Gateway g(one_of_many());
    g.list(fleet(12, 2) + fleet(4, 7, "north", 1) + fleet(0, 9, "south", 2));
    int near = 0, south = 0;
    for (std::uint64_t id = 1; id <= 120; ++id) {
        const auto [reader, writer] = serve(g, id);
        if (!reader.starts_with("rnorth0") || writer.starts_with("wnorth0")) continue;
        near += writer.starts_with("wnorth1") ? 1 : 0;
        south += writer.starts_with("wsouth") ? 1 : 0;
    }
    EXPECT_GT(near, 0);
    EXPECT_GT(south, 2 * near);
}

TEST(Fleet, AHealthCheckIsMadeBeforeAnAttemptIsCancelled) {
    for (const bool answered : {true, false}) {
        Gateway g(one_of_many());
        g.list({server("r", "reader"), server("w", "writer")});
        g.arrive(1);
        g.advance(150ms);
        g.step();
        ASSERT_EQ(g.all<HealthCheck>().size(), 1U);
        EXPECT_TRUE(g.all<CancelAttempt>().empty());
        g.advance(10ms);
        g.step({HealthCheckEnded{{"r"}, answered ? AttemptOutcome::ok : AttemptOutcome::timeout, 2ms, {}}});
        EXPECT_EQ(g.all<CancelAttempt>().empty(), answered);
        g.advance(600ms);
        g.step();
        EXPECT_TRUE(g.all<CancelAttempt>().empty());  // busy: the timeout is longer
        g.advance(1200ms);
        g.step();
        EXPECT_EQ(g.all<CancelAttempt>().empty(), !answered);  // but not unlimited
    }
}

TEST(Fleet, AFailedHealthCheckIsIgnoredWhereHealthChecksQueue) {
    Gateway g(one_of_many());
    g.list({server("r", "reader"), server("w", "writer")});
    g.step({HealthCheckEnded{{"w"}, AttemptOutcome::ok, 200ms, {}}});
    g.arrive(1);
    g.advance(150ms);
    g.step();
    g.step({HealthCheckEnded{{"r"}, AttemptOutcome::timeout, 250ms, {}}});
    EXPECT_TRUE(g.all<CancelAttempt>().empty());
}

TEST(Fleet, SlowPrefillsMakeTheGatewayAdmitAPartAndRejectTheRestAtOnce) {
    Gateway g(one_of_many());
    g.list(fleet(8, 8));
    for (std::uint64_t id = 1; id <= 20; ++id) {
        g.advance(1s);
        g.arrive(id);
        const auto reader = g.sent_to();
        if (reader.empty()) continue;
        g.step({AttemptEnded{{id}, {0}, {reader}, AttemptOutcome::prefilled, 3s, false, false, 0, {}}});
        const auto writer = g.sent_to();
        if (writer.empty()) continue;
        g.begin_stream(id, 1, writer);
        g.end(id, 1, writer, AttemptOutcome::ok, true);
    }
    std::size_t admitted = 0, rejected = 0;
    for (std::uint64_t id = 100; id < 160; ++id) {
        g.advance(2s);
        g.arrive(id);
        admitted += g.all<Send>().size();
        rejected += g.all<Reject>().size();
        if (!g.sent_to().empty())
            g.step({AttemptEnded{{id}, {0}, {g.sent_to()}, AttemptOutcome::error, 3s, true, false, 0, {}}});
    }
    EXPECT_GT(rejected, 20U);
    EXPECT_GT(admitted, 2U);
}

// In an overload rejections are drawn independently for each request, so that neither long prompts nor
// certain sessions are rejected more often.
TEST(Fleet, RejectionsInAnOverloadFollowNeitherPromptLengthNorSession) {
    constexpr int kSessions = 40;
    constexpr int kRounds = 50;
    constexpr int kSizes = 10;
    auto s = one_of_many();
    for (auto& c : s.classes) c.first_token_objective_per_1000_tokens = 60ms;
    Gateway g(s);
    g.list(fleet(8, 8));
    std::uint64_t id = 0;
    const auto offer = [&](const std::string& session, double prompt) {
        g.advance(200ms);
        auto request = Gateway::request(++id, "talk", prompt);
        request.session = session;
        g.step({request});
        const auto reader = g.sent_to();
        if (reader.empty()) return false;
        // Half of the objective: the prefill servers are overloaded.
        g.step({AttemptEnded{{id}, {0}, {reader}, AttemptOutcome::prefilled, 500ms, false, false, 0, {}}});
        const auto writer = g.sent_to();
        g.begin_stream(id, 1, writer);
        g.end(id, 1, writer, AttemptOutcome::ok, true);
        return true;
    };
    for (int n = 0; n < 40; ++n) offer("warm" + std::to_string(n), 2000);
    std::map<int, int> admitted_by_size;
    std::map<int, int> admitted_by_session;
    int admitted = 0;
    for (int round = 0; round < kRounds; ++round)
        for (int session = 0; session < kSessions; ++session) {
            const int size = (round + session) % kSizes;  // each session has all sizes
            if (!offer("s" + std::to_string(session), 1000 + 200.0 * size)) continue;
            ++admitted;
            ++admitted_by_size[size];
            ++admitted_by_session[session];
        }
    const double all = kSessions * kRounds;
    const double share = admitted / all;
    EXPECT_LT(share, 0.95) << "no overload, so the test shows nothing";
    EXPECT_GT(share, 0.2);
    EXPECT_GT(admitted_by_size[kSizes - 1] / (all / kSizes), share * 2 / 3);  // of the longest tenth
    for (int session = 0; session < kSessions; ++session)
        EXPECT_GT(admitted_by_session[session], share * kRounds / 3) << session;
}

// Lfcc8ee: prefill servers were filled with prefills that could no longer meet their objective, which made
// all others late, too.
TEST(Fleet, InAnOverloadAPrefillPastItsObjectiveIsCancelledAndRejected) {
    for (const Duration prefill_time : {Duration{1500ms}, Duration{20ms}}) {
        Gateway g(one_of_many());
        g.list(fleet(1, 1));
        std::uint64_t id = 1;
        for (int i = 0; i < 40; ++i, ++id) {
            g.advance(1s);
            g.arrive(id);
            const auto reader = g.sent_to();
            if (reader.empty()) continue;
            g.step({AttemptEnded{
                {id}, {0}, {reader}, AttemptOutcome::prefilled, prefill_time, false, false, 0, {}}});
            g.end(id, 1, g.sent_to(), AttemptOutcome::at_capacity, true);
        }
        for (; g.sent_to().empty(); g.arrive(++id)) g.advance(1s);
        g.advance(200ms);
        g.step();
        g.step({HealthCheckEnded{{"rnorth00"}, AttemptOutcome::ok, 2ms, {}}});
        g.advance(850ms);
        g.step();
        ASSERT_EQ(g.all<CancelAttempt>().empty(), prefill_time == Duration{20ms});
        if (prefill_time == Duration{20ms}) continue;
        g.end(id, 0, "rnorth00", AttemptOutcome::cancelled);
        EXPECT_EQ(g.all<Reject>().size(), 1U);
        EXPECT_TRUE(g.all<Send>().empty());
    }
}

TEST(Fleet, DecodeServersAtCapacityLowerTheCommonLimit) {
    const auto admitted = [](int rejections_at_capacity) {
        Gateway g(one_of_many());
        g.list(fleet(12, 12));
        std::uint64_t id = 1;
        for (int i = 0; i < rejections_at_capacity; ++i, ++id) {
            g.advance(10ms);
            g.arrive(id);
            g.end(id, 0, g.sent_to(), AttemptOutcome::prefilled);
            g.advance(10ms);
            g.end(id, 1, g.sent_to(), AttemptOutcome::at_capacity, true);
        }
        std::size_t sent = 0;
        for (int i = 0; i < 40; ++i) {
            g.arrive(++id);
            sent += g.all<Send>().size();
        }
        return sent;
    };
    EXPECT_LT(admitted(5), admitted(0));
}

}  // namespace
}  // namespace chalksail::testing
