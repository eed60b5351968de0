#include <map>
#include <random>
#include <set>

#include "fixture.hpp"

namespace chalksail::testing {
namespace {

TEST(RequestLifecycle, PrefillsThenDecodesThenIsNoLongerTracked) {
    Gateway g;
    g.list({server("r", "reader"), server("w", "writer")});
    g.arrive(1);
    EXPECT_EQ(g.sent_to(), "r");
    g.end(1, 0, "r", AttemptOutcome::prefilled);
    EXPECT_EQ(g.sent_to(), "w");
    g.begin_stream(1, 1, "w");
    EXPECT_EQ(g.router.tracked_requests(), 1U);
    g.end(1, 1, "w", AttemptOutcome::ok, true);
    EXPECT_EQ(g.router.tracked_requests(), 0U);
}

TEST(Settings, InconsistentSettingsThrow) {
    auto s = plain_settings();
    s.classes.clear();
    EXPECT_THROW(Router(s, 1), std::invalid_argument);
    s = plain_settings();
    s.tick = 0ms;
    EXPECT_THROW(Router(s, 1), std::invalid_argument);
    s = plain_settings();
    s.classes[0].deadline = 1ms;
    EXPECT_THROW(Router(s, 1), std::invalid_argument);
}

TEST(Rules, DrainingServerReceivesNoRequests) {
    Gateway g;
    auto draining = server("r", "reader");
    draining.state = EndpointState::draining;
    g.list({server("r", "reader"), server("w", "writer")});
    g.list({draining}, EndpointUpdateKind::delta);
    g.arrive(1);
    EXPECT_EQ(g.sent_to(), "");
}

TEST(Rules, NonIdempotentRequestIsNeitherRetriedNorRejectedAfterItMayHaveRun) {
    for (const auto outcome :
         {AttemptOutcome::error, AttemptOutcome::timeout, AttemptOutcome::reset, AttemptOutcome::cancelled}) {
        Gateway g;
        g.list({server("r", "reader"), server("v", "writer"), server("w", "writer")});
        g.arrive(1, "order");
        g.end(1, 0, "r", AttemptOutcome::prefilled);
        const auto at = g.sent_to();
        g.end(1, 1, at, outcome);
        EXPECT_EQ(g.all<Send>().size(), 0U);
        EXPECT_EQ(g.all<Reject>().size(), 0U);
        EXPECT_EQ(g.all<Fail>().size(), 1U);
        EXPECT_EQ(g.all<ReleaseKvState>().size(), 1U);
    }
}

TEST(Rules, NonIdempotentRequestIsRetriedWhenProvedNotToHaveRun) {
    for (const auto outcome : {AttemptOutcome::at_capacity, AttemptOutcome::connect_failed}) {
        Gateway g;
        g.list({server("r", "reader"), server("v", "writer"), server("w", "writer")});
        g.arrive(1, "order");
        g.end(1, 0, "r", AttemptOutcome::prefilled);
        const auto first = g.sent_to();
        g.end(1, 1, first, outcome);
        EXPECT_EQ(g.all<Send>().size(), 1U);
        EXPECT_NE(g.sent_to(), first);
    }
}

TEST(Rules, KeyedRequestStaysInItsDeduplicationScope) {
    Gateway g;
    g.list({server("r", "reader"), server("w", "writer", "north"), server("far", "writer", "south", 1)});
    g.arrive(1, "keyed");
    g.end(1, 0, "r", AttemptOutcome::prefilled);
    ASSERT_EQ(g.sent_to(), "w");
    g.end(1, 1, "w", AttemptOutcome::error);
    EXPECT_NE(g.sent_to(), "far");
    EXPECT_EQ(g.all<Reject>().size(), 0U);
}

TEST(Rules, KvStateIsReleasedWhenTheClientDisconnects) {
    Gateway g;
    g.list({server("r", "reader"), server("w", "writer")});
    g.arrive(1);
    g.step({ClientDisconnected{{1}}});
    EXPECT_EQ(g.all<CancelAttempt>().size(), 1U);
    g.end(1, 0, "r", AttemptOutcome::prefilled);  // the prefill had ended before the cancellation arrived
    EXPECT_EQ(g.all<ReleaseKvState>().size(), 1U);
    EXPECT_EQ(g.router.tracked_requests(), 0U);
}

// Guards against the ejection of healthy servers when clients disconnect while a connection is being
// established.
TEST(Health, AClientThatDisconnectsDuringConnectDoesNotEjectTheServer) {
    Gateway g;
    g.list({server("r", "reader"), server("w", "writer")});
    g.arrive(1);
    g.step({ClientDisconnected{{1}},
            AttemptEnded{{1}, {0}, {"r"}, AttemptOutcome::connect_failed, 20ms, true, false, 0, {}}});
    g.arrive(2);
    EXPECT_EQ(g.sent_to(), "r");
}

TEST(Rules, WaitingKvStateIsForwardedOrReleasedInTime) {
    Gateway g;
    g.list({server("r", "reader"), server("w", "writer")});
    g.arrive(1);
    auto removed = server("w", "writer");
    removed.state = EndpointState::removed;
    g.list({removed}, EndpointUpdateKind::delta);
    g.end(1, 0, "r", AttemptOutcome::prefilled);
    EXPECT_EQ(g.all<ReleaseKvState>().size(), 0U);
    const Time ended = g.now;
    while (g.all<ReleaseKvState>().empty() && g.now < ended + 1s) {
        g.advance(4ms);
        g.step();
    }
    EXPECT_LT(g.now - ended, 400ms);
}

// Guards against a KV state that is not released in time while one decode server after another is
// unreachable: an attempt that never reached a server does not restart the release time.
TEST(Rules, ReleaseTimeIsNotRestartedByFailedConnections) {
    Gateway g;
    g.list({server("r", "reader"), server("u", "writer"), server("v", "writer"), server("w", "writer")});
    g.arrive(1);
    g.end(1, 0, "r", AttemptOutcome::prefilled);
    for (int attempt = 1; attempt <= 2; ++attempt) {  // a third would be allowed
        EXPECT_EQ(g.all<ReleaseKvState>().size(), 0U);
        const auto at = g.sent_to();
        g.advance(250ms);
        g.end(1, attempt, at, AttemptOutcome::connect_failed);
    }
    EXPECT_EQ(g.all<ReleaseKvState>().size(), 1U);
}

// The same holds for an attempt that is reset, times out or is cancelled without an answer: the server may
// not have read it.
TEST(Rules, ReleaseTimeIsNotRestartedByAttemptsWithoutAnAnswer) {
    for (const auto outcome : {AttemptOutcome::reset, AttemptOutcome::timeout, AttemptOutcome::cancelled,
                               AttemptOutcome::at_capacity}) {
        Gateway g;
        g.list({server("r", "reader"), server("w", "writer")});
        g.arrive(1);
        g.end(1, 0, "r", AttemptOutcome::prefilled);
        ASSERT_EQ(g.sent_to(), "w");
        auto removed = server("w", "writer");
        removed.state = EndpointState::removed;
        g.list({removed}, EndpointUpdateKind::delta);  // no decode server is left
        const Time held = g.now;
        g.advance(300ms);
        g.end(1, 1, "w", outcome);
        while (g.all<ReleaseKvState>().empty() && g.now < held + 2s) {
            g.advance(4ms);
            g.step();
        }
        // An answer proves that the attempt reached the server, which restarts the release time.
        EXPECT_LT(g.now - held, outcome == AttemptOutcome::at_capacity ? 700ms : 400ms)
            << static_cast<int>(outcome);
        EXPECT_GE(g.now - held, outcome == AttemptOutcome::at_capacity ? 600ms : 300ms)
            << static_cast<int>(outcome);
    }
}

TEST(Rules, HeldRequestIsAnsweredBeforeItsDeadline) {
    Gateway g;
    g.list({server("w", "writer")});  // no prefill server
    g.arrive(1);
    const Time start = g.now;
    while (g.all<Reject>().empty() && g.now < start + 5s) {
        g.advance(4ms);
        g.step();
    }
    EXPECT_LT(g.now - start, 4s);
    EXPECT_EQ(g.router.tracked_requests(), 0U);
}

// Guards against a step that runs one tick late and finds the deadline passed: a request that was never sent
// is rejected two ticks earlier.
TEST(Rules, HeldRequestIsRejectedTwoTicksBeforeItsDeadline) {
    Gateway g;
    g.list({server("w", "writer")});  // no prefill server, and it may not prefill
    g.arrive(1);
    g.advance(4s - 6ms);
    g.step();
    EXPECT_EQ(g.all<Reject>().size(), 1U);
    EXPECT_EQ(g.all<Fail>().size(), 0U);
}

// Without a decode server, a request is rejected at its objective instead of being held until its deadline.
TEST(Holding, EndsAtTheObjectiveWithoutADecodeServer) {
    Gateway g;
    g.list({server("r", "reader")});
    g.arrive(1);
    const Time start = g.now;
    while (g.all<Reject>().empty() && g.now < start + 5s) {
        g.advance(4ms);
        g.step();
    }
    EXPECT_LE(g.now - start, plain_settings().classes[0].first_token_objective + 8ms);
}

TEST(Rules, WarmingServerReceivesOneRequestPerWindowWithoutObservations) {
    Gateway g;
    auto warming = server("w", "writer");
    warming.started_at = g.now - 1s;
    g.list({server("r", "reader"), warming});
    for (std::uint64_t id = 1; id <= 4; ++id) {
        g.arrive(id);
        if (g.sent_to() == "r") g.end(id, 0, "r", AttemptOutcome::prefilled);
        EXPECT_EQ(g.sent_to(), id == 1 ? "w" : "") << id;
    }
}

TEST(Holding, PrefillsInFlightCountAgainstDecodeCapacity) {
    Gateway g;
    g.list({server("r", "reader"), server("w", "writer")});
    int sent = 0;
    for (std::uint64_t id = 1; id <= 200; ++id) {
        g.arrive(id);
        sent += static_cast<int>(g.all<Send>().size());
    }
    EXPECT_GT(sent, 50);
    EXPECT_LE(sent, 100'000 / 1200 + 1);
}

TEST(Holding, AtCapacityLowersADecodeServersLimit) {
    const auto admitted = [](int rejections_at_capacity) {
        Gateway g;
        g.list({server("r", "reader"), server("w", "writer")});
        std::uint64_t id = 1;
        for (; rejections_at_capacity > 0; --rejections_at_capacity, ++id) {
            g.advance(1s);
            g.arrive(id);
            g.end(id, 0, "r", AttemptOutcome::prefilled);
            g.end(id, 1, "w", AttemptOutcome::at_capacity);
            g.step({ClientDisconnected{{id}}});
        }
        int sent = 0;
        for (const auto last = id + 200; id < last; ++id) {
            g.arrive(id);
            sent += static_cast<int>(g.all<Send>().size());
        }
        return sent;
    };
    EXPECT_LT(admitted(3), admitted(0));
}

TEST(Holding, LateFirstTokenAfterATransferWithinTheCellLowersTheLimit) {
    const auto admitted = [](Duration first_token) {
        Gateway g;
        g.list({server("r", "reader"), server("w", "writer")});
        std::uint64_t id = 1;
        for (; id <= 3; ++id) {
            g.advance(2s);
            g.arrive(id);
            g.end(id, 0, "r", AttemptOutcome::prefilled);
            g.advance(first_token);
            g.step({StreamStarted{{id}, {1}, {"w"}, first_token}});
            g.end(id, 1, "w", AttemptOutcome::ok, true);
        }
        int sent = 0;
        for (const auto last = id + 200; id < last; ++id) {
            g.arrive(id);
            if (g.sent_to() != "r") continue;
            ++sent;
            g.end(id, 0, "r", AttemptOutcome::prefilled);
        }
        return sent;
    };
    EXPECT_LT(admitted(900ms), admitted(50ms));
}

TEST(Holding, ReportOfFullMemoryClosesADecodeServerTemporarily) {
    auto settings = plain_settings();
    settings.report_fields = {ReportField::active, ReportField::memory_share};
    Gateway g(settings);
    g.list({server("r", "reader"), server("w", "writer")});
    g.arrive(1);
    g.end(1, 0, "r", AttemptOutcome::prefilled);
    g.end(1, 1, "w", AttemptOutcome::ok, true, 0, {40, 0.99});
    g.arrive(2);
    EXPECT_EQ(g.sent_to(), "");  // held before its prefill
    g.advance(3500ms);
    g.step();  // no request was sent there, so there is no newer report
    g.arrive(3);
    EXPECT_EQ(g.sent_to(), "r");
}

TEST(Holding, PrefillQueueIsBoundedByTheObservedSpeed) {
    Gateway g;
    g.list({server("r", "reader"), server("v", "writer"), server("w", "writer")});
    g.arrive(1);
    g.step({AttemptEnded{
        {1}, {0}, {"r"}, AttemptOutcome::prefilled, 300ms, false, false, 0, {}}});  // 0.2 ms per token
    int sent = 0;
    for (std::uint64_t id = 10; id < 30; ++id) {
        auto a = Gateway::request(id);
        a.prefix.clear();
        g.step({a});
        sent += static_cast<int>(g.all<Send>().size());
    }
    EXPECT_GE(sent, 1);
    EXPECT_LE(sent, 2);
}

TEST(Health, AttemptsAtASilentPrefillServerAreCancelledButNotAtABusyOne) {
    for (const bool busy : {false, true}) {
        Gateway g;
        g.list({server("r", "reader"), server("w", "writer")});
        g.arrive(1);
        g.arrive(2);
        std::size_t cancelled = 0;
        for (int i = 0; i < 10; ++i) {
            g.advance(100ms);
            if (busy) {
                g.arrive(static_cast<std::uint64_t>(100 + i));
                g.end(static_cast<std::uint64_t>(100 + i), 0, "r", AttemptOutcome::prefilled);
            } else {
                g.step();
            }
            cancelled += g.all<CancelAttempt>().size();
        }
        EXPECT_EQ(cancelled, busy ? 0U : 2U);
    }
}

TEST(Health, WhenAllDecodeServersFailAttemptsAreSpreadOverTime) {
    Gateway g;
    g.list({server("r", "reader"), server("v", "writer"), server("w", "writer")});
    g.arrive(1);
    g.end(1, 0, "r", AttemptOutcome::prefilled);
    for (int attempt = 1; attempt <= 3 && !g.sent_to().empty(); ++attempt) {
        g.end(1, attempt, g.sent_to(), AttemptOutcome::connect_failed);
        g.advance(4ms);
    }
    EXPECT_TRUE(g.all<Reject>().empty());  // one attempt is left, to be sent later
    g.advance(250ms);
    g.step();
    EXPECT_FALSE(g.sent_to().empty());
}

TEST(Health, OneErrorMakesNonIdempotentRequestsAvoidAServer) {
    Gateway g;
    g.list({server("r", "reader"), server("v", "writer"), server("w", "writer")});
    g.arrive(1);
    g.end(1, 0, "r", AttemptOutcome::prefilled);
    const auto failing = g.sent_to();
    g.end(1, 1, failing, AttemptOutcome::error);
    const auto other = g.sent_to();
    g.arrive(2, "order");  // the other decode server is now busier
    g.end(2, 0, "r", AttemptOutcome::prefilled);
    EXPECT_EQ(g.sent_to(), other);
}

TEST(DecodeSelection, SlowTransfersKeepKvStatesInTheirCell) {
    const auto chosen = [](Duration transfer_time) {
        Gateway g;
        auto lone = server("r", "reader", "north", 0);
        g.list({lone, server("far", "writer", "north", 1)});
        g.arrive(1);
        g.end(1, 0, "r", AttemptOutcome::prefilled);
        g.step({StreamStarted{{1}, {1}, {"far"}, transfer_time}});
        g.end(1, 1, "far", AttemptOutcome::ok, true);
        g.list({server("near", "writer", "north", 0)}, EndpointUpdateKind::delta);
        for (std::uint64_t id = 2; id < 8; ++id) {  // the near decode server already has some streams
            g.arrive(id);
            g.end(id, 0, "r", AttemptOutcome::prefilled);
            if (g.sent_to() != "near") return g.sent_to();
        }
        return std::string("near");
    };
    EXPECT_EQ(chosen(20ms), "far");
    EXPECT_EQ(chosen(900ms), "near");
}

TEST(PrefillSelection, SessionReturnsToTheServerWithItsCachedText) {
    Gateway g;
    g.list({server("q", "reader"), server("r", "reader"), server("w", "writer")});
    auto first = Gateway::request(1);
    g.step({first});
    const auto home = g.sent_to();
    auto next = Gateway::request(2);
    next.session = first.session;
    next.prefix = "another";
    g.step({next});
    EXPECT_EQ(g.sent_to(), home);
}

// A server's report of its cached text replaces the estimate: a request follows the text to the server that
// has it, not to a server that has evicted it, and the text counts only for the prefill time that it saves.
TEST(PrefillSelection, ReportedCacheCountsInPlaceOfTheEstimate) {
    for (const std::string& holder : {std::string("q"), std::string("r")}) {
        Gateway g;
        g.list({server("q", "reader"), server("r", "reader"), server("w", "writer")});
        g.step({CacheReportingChanged{{"q"}, true}, CacheReportingChanged{{"r"}, true}});
        for (std::uint64_t id = 1; id <= 6; ++id) {
            auto a = Gateway::request(id, "talk", 10'000);
            a.session = "s" + std::to_string(id % 3);
            a.cached_prefixes = {{{holder}, 9000}};
            g.step({a});
            EXPECT_EQ(g.sent_to(), holder);
            g.end(id, 0, holder, AttemptOutcome::prefilled, true);
        }
    }
}
TEST(PrefillSelection, EvictedTextIsNotExpectedWhereTheCacheIsReported) {
    Gateway g;
    g.list({server("q", "reader"), server("r", "reader"), server("w", "writer")});
    auto first = Gateway::request(1, "talk", 10'000);
    g.step({first});
    const auto home = g.sent_to();
    const std::string other = home == "q" ? "r" : "q";
    g.end(1, 0, home, AttemptOutcome::prefilled, true);
    g.step({CacheReportingChanged{{home}, true}});  // it reports none of the next request's text
    auto next = Gateway::request(2, "talk", 10'000);
    next.session = first.session;
    next.cached_prefixes = {{{other}, 5000}};  // ignored, as this server is not known to report
    g.step({next});
    EXPECT_EQ(g.sent_to(), home);  // both caches count as empty, so the tie is broken as before
    g.end(2, 0, home, AttemptOutcome::prefilled, true);
    g.step({CacheReportingChanged{{other}, true}});
    next.id = {3};
    g.step({next});
    EXPECT_EQ(g.sent_to(), other);
}
TEST(PrefillSelection, PopularTextSpreadsWhereTheCacheIsReported) {
    Gateway g;
    g.list({server("q", "reader"), server("r", "reader"), server("w", "writer")});
    g.step({CacheReportingChanged{{"q"}, true}, CacheReportingChanged{{"r"}, true}});
    std::set<std::string> readers;
    for (std::uint64_t id = 1; id <= 8; ++id) {  // none has been prefilled yet
        auto a = Gateway::request(id, "talk", 10'000);
        a.cached_prefixes = {{{"q"}, 6000}};
        g.step({a});
        readers.insert(g.sent_to());
    }
    EXPECT_TRUE(readers.contains("r"));
}
// A request waits for a prefill server that has its text cached but no queue space, up to a fraction of the
// objective. It does not wait for a draining server.
TEST(PrefillSelection, RequestWaitsForABusyServerWithItsTextCached) {
    for (const bool drains : {false, true}) {
        Gateway g;
        g.list({server("q", "reader"), server("r", "reader"), server("w", "writer")});
        g.step({CacheReportingChanged{{"q"}, true}, CacheReportingChanged{{"r"}, true}});
        // Prefills are slow: a second one at the same server would take too much of the objective.
        for (std::uint64_t id = 1; id <= 4; ++id) {
            g.step({Gateway::request(id, "talk", 3000)});
            const auto at = g.sent_to();
            g.advance(900ms);
            g.step({AttemptEnded{{id}, {0}, {at}, AttemptOutcome::prefilled, 900ms, true, false, 0, {}}});
        }
        auto a = Gateway::request(10, "talk", 3000);
        g.step({a});
        const std::string holder = g.sent_to();
        const std::string other = holder == "q" ? "r" : "q";
        if (drains) {
            auto q = server(holder, "reader");
            q.state = EndpointState::draining;
            g.list({q}, EndpointUpdateKind::delta);
        }
        a.cached_prefixes = {{{holder}, 3000}};
        a.id = {11};
        a.prompt_tokens = 4000;
        g.step({a});
        EXPECT_EQ(g.sent_to(), drains ? other : "");
        if (drains) continue;
        const Time from = g.now;
        while (g.sent_to().empty() && g.now < from + 3s) {
            g.advance(4ms);
            g.step();
        }
        EXPECT_EQ(g.sent_to(), other);  // the maximum wait is over
        EXPECT_GT(g.now - from, 400ms);
        EXPECT_LT(g.now - from, 1s);
    }
}
TEST(PrefillSelection, ReportingEndsWhenAServerRestarts) {
    Gateway g;
    auto q = server("q", "reader");
    g.list({q, server("r", "reader"), server("w", "writer")});
    g.step({CacheReportingChanged{{"q"}, true}, CacheReportingChanged{{"nobody"}, true}});
    q.started_at = g.now;
    g.list({q, server("r", "reader"), server("w", "writer")});
    auto a = Gateway::request(1, "talk", 10'000);
    a.cached_prefixes = {{{"q"}, 10'000}};
    g.advance(30s);
    Gateway plain;
    plain.list({q, server("r", "reader"), server("w", "writer")});
    plain.advance(30s);
    g.step({a});
    a.cached_prefixes.clear();
    plain.step({a});
    EXPECT_EQ(g.sent_to(), plain.sent_to());
}

TEST(Holding, PredictedOutputsAreBucketsCappedByTheClient) {
    const auto admitted = [](Duration hint, double cap) {
        Gateway g;
        g.list({server("r", "reader"), server("w", "writer")});
        int sent = 0;
        for (std::uint64_t id = 1; id <= 400; ++id) {
            auto a = Gateway::request(id, "talk", 100);
            a.output_duration_hint = hint;  // at 50 ms per token
            a.max_output = cap;
            g.step({a});
            sent += static_cast<int>(g.all<Send>().size());
        }
        return sent;
    };
    EXPECT_EQ(admitted(50ms * 100, 9000), admitted(50ms * 240, 9000));   // one bucket: up to 250
    EXPECT_GT(admitted(50ms * 240, 9000), admitted(50ms * 260, 9000));   // the next: up to 1000
    EXPECT_GT(admitted(50ms * 900, 9000), admitted(50ms * 1100, 9000));  // and up to 4000
    EXPECT_EQ(admitted(50ms * 1100, 200), admitted(50ms * 260, 200));    // capped
}

TEST(PrefillSelection, TiesAreBrokenByPrefixHashConsistently) {
    std::set<std::string> homes;
    for (int prefix = 0; prefix < 20; ++prefix) {
        std::string home;
        for (std::uint64_t id = 1; id <= 3; ++id) {
            Gateway g;
            g.list({server("q", "reader"), server("r", "reader"), server("w", "writer")});
            auto a = Gateway::request(id);
            a.prefix = "prefix-" + std::to_string(prefix);
            g.step({a});
            EXPECT_TRUE(home.empty() || home == g.sent_to());
            home = g.sent_to();
        }
        homes.insert(home);
    }
    EXPECT_EQ(homes.size(), 2U);
}

TEST(DecodeSelection, MissingKvStateIsPrefilledAgain) {
    Gateway g;
    g.list({server("r", "reader"), server("w", "writer")});
    g.arrive(1);
    g.end(1, 0, "r", AttemptOutcome::prefilled);
    g.end(1, 1, "w", AttemptOutcome::at_capacity, false, true);
    EXPECT_EQ(g.sent_to(), "r");
}

TEST(Health, ConnectFailureEjectsAServerAndAHealthCheckReadmitsIt) {
    Gateway g;
    g.list({server("r", "reader"), server("q", "reader"), server("w", "writer")});
    g.arrive(1);
    const auto bad = g.sent_to();
    g.end(1, 0, bad, AttemptOutcome::connect_failed);
    const auto good = g.sent_to();
    ASSERT_NE(good, bad);
    g.arrive(2);
    EXPECT_EQ(g.sent_to(), good);
    g.advance(1100ms);
    g.step();
    ASSERT_EQ(g.all<HealthCheck>().size(), 1U);
    EXPECT_EQ(g.all<HealthCheck>()[0].server.value, bad);
    g.step({HealthCheckEnded{{bad}, AttemptOutcome::ok, 1ms, {}}});
    g.arrive(3);
    EXPECT_EQ(g.sent_to(), bad);
}

// Generates random but legal event sequences from fixed seeds, and checks the rules independently of the
// router.
class RandomGateway {
public:
    RandomGateway(const Settings& settings, unsigned seed)
        : settings_(settings), random_(seed), gateway_(settings, seed) {
        for (const char* id : {"r1", "r2", "w1", "w2", "m1"}) {
            auto entry = server(id,
                                id[0] == 'r'   ? "reader"
                                : id[0] == 'w' ? "writer"
                                               : "both",
                                id[1] == '1' ? "north" : "south", id[1] == '1' ? 0 : 1);
            entries_[id] = entry;
        }
        publish();
    }
    void run() {
        for (int tick = 0; tick < 3000; ++tick) one_tick(tick < 2000);
        EXPECT_EQ(gateway_.router.tracked_requests(), 0U);
        EXPECT_TRUE(open_.empty());
        EXPECT_GT(last_id_, 500U);
    }

private:
    struct Open {
        Idempotency idempotency{};
        Time deadline{};
        std::string attempt_at;  // server of the attempt in flight; empty: none
        Time sent{};
        bool streaming = false;
        bool answered = false;
        bool may_have_run = false;
        std::string ran_zone;
        Time ran_sent{};
        bool state = false;
        Time state_waiting_since{};
        int sends = 0;
    };
    int roll(int n) { return std::uniform_int_distribution<int>(0, n - 1)(random_); }
    void publish() {
        std::vector<Endpoint> list;
        for (const auto& [id, e] : entries_) list.push_back(e);
        check(gateway_.list(list));
    }
    void one_tick(bool arrivals) {
        gateway_.advance(settings_.tick);
        std::vector<Event> events;
        if (arrivals && roll(3) == 0) {
            const auto cls = static_cast<std::size_t>(roll(3));
            auto a = Gateway::request(++last_id_, settings_.classes[cls].name, 100 + roll(5000));
            a.time_remaining = std::chrono::milliseconds(200 + roll(3800));
            if (roll(4) == 0) a.prefix.clear();
            open_[last_id_].idempotency = settings_.classes[cls].idempotency;
            open_[last_id_].deadline = gateway_.now + a.time_remaining;
            events.emplace_back(a);
        }
        for (auto& [id, o] : open_) {
            if (o.attempt_at.empty()) {
                if (!o.answered && roll(400) == 0) disconnect(id, o, events);
                continue;
            }
            if (!o.streaming && gateway_.now >= o.deadline) end(id, o, AttemptOutcome::timeout, events);
            else if (o.streaming ? roll(20) == 0 : roll(15) == 0) progress(id, o, events);
        }
        if (roll(100) == 0) {
            auto it = entries_.begin();
            std::advance(it, roll(static_cast<int>(entries_.size())));
            it->second.state = roll(2) == 0 ? EndpointState::up : EndpointState::draining;
            if (roll(3) == 0) it->second.started_at = gateway_.now;
            events.emplace_back(EndpointUpdate{EndpointUpdateKind::delta, {it->second}});
        }
        check(gateway_.step(events));
        std::erase_if(open_, [](const auto& p) {
            return p.second.answered && p.second.attempt_at.empty() && !p.second.state;
        });
    }
    void disconnect(std::uint64_t id, Open& o, std::vector<Event>& events) {
        o.answered = true;
        events.emplace_back(ClientDisconnected{{id}});
    }
    void progress(std::uint64_t id, Open& o, std::vector<Event>& events) {
        const bool reader = o.attempt_at[0] == 'r';
        static constexpr AttemptOutcome kBad[] = {AttemptOutcome::error, AttemptOutcome::at_capacity,
                                                  AttemptOutcome::connect_failed, AttemptOutcome::reset};
        if (!o.streaming && roll(4) == 0) return end(id, o, kBad[roll(4)], events);
        if (reader) return end(id, o, AttemptOutcome::prefilled, events);
        if (o.streaming) return end(id, o, AttemptOutcome::ok, events);
        if (o.attempt_at[0] == 'w' && !o.state) return end(id, o, AttemptOutcome::at_capacity, events, true);
        o.streaming = true;
        o.state = false;
        events.emplace_back(StreamStarted{{id}, {o.sends - 1}, {o.attempt_at}, gateway_.now - o.sent});
    }
    void end(std::uint64_t id, Open& o, AttemptOutcome outcome, std::vector<Event>& events,
             bool kv_state_missing = false) {
        const bool writer = o.attempt_at[0] != 'r';
        if (writer && outcome != AttemptOutcome::at_capacity && outcome != AttemptOutcome::connect_failed &&
            !o.may_have_run) {
            o.may_have_run = true;
            o.ran_zone = entries_[o.attempt_at].zone;
            o.ran_sent = o.sent;
        }
        if (outcome == AttemptOutcome::prefilled) o.state = true;
        if (kv_state_missing) o.state = false;
        if (o.streaming) o.answered = true;
        events.emplace_back(AttemptEnded{{id},
                                         {o.sends - 1},
                                         {o.attempt_at},
                                         outcome,
                                         gateway_.now - o.sent,
                                         o.answered,
                                         kv_state_missing,
                                         0,
                                         {}});
        o.attempt_at.clear();
        o.streaming = false;
        o.state_waiting_since = gateway_.now;
    }
    void check(const std::vector<Action>& actions) {
        std::vector<std::uint64_t> cancelled;
        for (const auto& action : actions) {
            if (const auto* send = std::get_if<Send>(&action)) {
                auto& o = open_.at(send->id.value);
                EXPECT_FALSE(o.answered) << "sent after the final response";
                EXPECT_TRUE(o.attempt_at.empty()) << "two attempts in flight";
                EXPECT_EQ(entries_.at(send->server.value).state, EndpointState::up)
                    << "sent to a draining server";
                EXPECT_LT(o.sends, settings_.max_attempts);
                if (send->server.value[0] != 'r' && o.may_have_run) {
                    EXPECT_NE(o.idempotency, Idempotency::non_idempotent);
                    if (o.idempotency == Idempotency::idempotent_by_key) {
                        EXPECT_EQ(entries_.at(send->server.value).zone, o.ran_zone);
                        EXPECT_LE(gateway_.now, o.ran_sent + settings_.classes[2].deduplication_window);
                    }
                }
                o.attempt_at = send->server.value;
                o.sent = gateway_.now;
                ++o.sends;
            } else if (const auto* reject = std::get_if<Reject>(&action)) {
                const auto& o = open_.at(reject->id.value);
                EXPECT_TRUE(!o.may_have_run || o.idempotency == Idempotency::idempotent)
                    << "rejected although it may have run";
                answer(reject->id.value);
            } else if (const auto* fail = std::get_if<Fail>(&action)) {
                answer(fail->id.value);
            } else if (const auto* release = std::get_if<ReleaseKvState>(&action)) {
                if (auto it = open_.find(release->id.value); it != open_.end()) it->second.state = false;
            } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
                cancelled.push_back(cancel->id.value);
            }
        }
        for (const auto& [id, o] : open_) {
            const bool waits = !o.answered && !o.streaming;  // a stream has no deadline
            EXPECT_TRUE(!waits || gateway_.now <= o.deadline + settings_.answer_slack) << "answered too late";
            const bool state_waits = o.state && o.attempt_at.empty();
            EXPECT_TRUE(!state_waits || gateway_.now <= o.state_waiting_since + settings_.release_within)
                << "KV state not released in time";
        }
        for (const auto id : cancelled) {
            auto& o = open_.at(id);
            std::vector<Event> events;
            if (!o.attempt_at.empty()) end(id, o, AttemptOutcome::cancelled, events);
            check(gateway_.step(events));
        }
    }
    void answer(std::uint64_t id) {
        auto& o = open_.at(id);
        EXPECT_FALSE(o.answered) << "two final responses";
        EXPECT_TRUE(o.attempt_at.empty()) << "final response with an attempt in flight";
        o.answered = true;
    }

    Settings settings_;
    std::mt19937 random_;
    Gateway gateway_;
    std::map<std::string, Endpoint> entries_;
    std::map<std::uint64_t, Open> open_;
    std::uint64_t last_id_ = 0;
};

TEST(Property, RulesHoldOnRandomLegalSequences) {
    for (unsigned seed = 1; seed <= 16; ++seed) {
        auto settings = plain_settings();
        if (seed % 2 == 0) settings.health_checks_enabled = false;
        if (seed % 3 == 0) settings.cancellation_enabled = false;
        if (seed % 4 == 0) settings.endpoint_watch_required = true;
        if (seed % 5 == 0) settings.max_attempts = 2;
        if (seed % 6 == 0) settings.prefill_on_decode_enabled = true;
        if (seed > 12) settings.gateways = 100;
        SCOPED_TRACE(seed);
        RandomGateway(settings, seed).run();
    }
}

TEST(Property, SameEventsProduceTheSameActions) {
    const auto run = [] {
        std::string trace;
        Gateway g;
        g.list({server("r", "reader"), server("q", "reader"), server("v", "writer"), server("w", "writer")});
        for (std::uint64_t id = 1; id < 40; ++id) {
            g.arrive(id);
            const auto at = g.sent_to();
            g.end(id, 0, at, AttemptOutcome::prefilled);
            trace += at + g.sent_to();
        }
        return trace;
    };
    EXPECT_EQ(run(), run());
}

TEST(Robustness, UnknownAndRepeatedEventsHaveNoEffect) {
    Gateway g;
    g.list({});
    g.end(9, 0, "x", AttemptOutcome::ok);
    g.begin_stream(9, 0, "x");
    g.step({ClientDisconnected{{9}}, TimerFired{{77}},
            HealthCheckEnded{{"x"}, AttemptOutcome::error, 1ms, {}}, PeerMessage{1, "00"}});
    EXPECT_TRUE(g.last.empty());
}

// Guards against a prefill outside the deduplication scope: once an attempt of a keyed request may have run,
// all further attempts stay within the scope, including prefills.
TEST(Retries, PrefillsStayWithinTheDeduplicationScope) {
    auto s = plain_settings();
    s.max_attempts = 6;
    Gateway g(s);
    g.list({server("r1", "reader", "south"), server("w1", "writer", "north")});
    g.arrive(1, "keyed");
    EXPECT_EQ(g.sent_to(), "r1");
    g.end(1, 0, "r1", AttemptOutcome::prefilled);
    EXPECT_EQ(g.sent_to(), "w1");
    g.end(1, 1, "w1", AttemptOutcome::reset);
    g.list({server("w2", "writer", "north")}, EndpointUpdateKind::delta);
    EXPECT_EQ(g.sent_to(), "w2");
    g.end(1, 2, "w2", AttemptOutcome::at_capacity, false,
          true);  // the KV state is missing, so another prefill is needed
    EXPECT_EQ(g.sent_to(), "");
    g.list({server("r2", "reader", "north")}, EndpointUpdateKind::delta);
    EXPECT_EQ(g.sent_to(), "r2");
}

// Each request counts against the quota of its own tenant, by exact name. A name without a quota is over
// quota.
TEST(Tenants, AreDistinguishedByTheirExactNames) {
    auto s = plain_settings();
    s.tenants = {{"north", 1}, {"North", 1}};
    s.over_quota_weight_factor = 0.1;
    Gateway g(s);
    std::uint64_t id = 0;
    for (const auto* tenant : {"north", "north", "North", "NORTH", ""}) {
        auto request = Gateway::request(++id);
        request.tenant = tenant;
        g.step({request});  // held: no server is listed
    }
    g.list({server("r1", "reader"), server("w1", "writer")});
    std::vector<std::uint64_t> order;
    for (const auto& send : g.all<Send>()) order.push_back(send.id.value);
    EXPECT_EQ(order, (std::vector<std::uint64_t>{1, 3, 2, 4, 5}));
}

// A gateway whose event loop lags behind rejects new requests at once, with Retry-After, and continues to
// serve the requests that it holds.
TEST(EventLoopLag, RejectsNewRequests) {
    for (const bool late : {false, true}) {
        Gateway g;
        g.arrive(1);  // held: no server is listed
        ASSERT_EQ(g.all<SetTimer>().size(), 1U);
        g.now = g.all<SetTimer>()[0].at + (late ? 300ms : 100ms);
        g.step({Gateway::request(2), TimerFired{g.all<SetTimer>()[0].id}});
        ASSERT_EQ(g.all<Reject>().size(), late ? 1U : 0U);
        if (!late) continue;
        EXPECT_EQ(g.all<Reject>()[0].id.value, 2U);
        EXPECT_GT(g.all<Reject>()[0].retry_after, Duration::zero());
        ASSERT_EQ(g.all<SetTimer>().size(), 1U);
        g.now = g.all<SetTimer>()[0].at;
        g.step({TimerFired{g.all<SetTimer>()[0].id}, Gateway::request(3)});
        EXPECT_TRUE(g.all<Reject>().empty());  // the event loop has caught up
        g.list({server("r1", "reader"), server("w1", "writer")});
        EXPECT_EQ(g.all<Send>().size(), 2U);
    }
}

}  // namespace
}  // namespace chalksail::testing
