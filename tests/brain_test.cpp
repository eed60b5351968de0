#include "fixture.hpp"

namespace chalksail::testing {
namespace {

TEST(Life, ReadsThenWritesThenForgets) {
    Gateway g;
    g.list({server("r", "reader"), server("w", "writer")});
    g.arrive(1);
    EXPECT_EQ(g.sent_to(), "r");
    g.end(1, 0, "r", Outcome::read);
    EXPECT_EQ(g.sent_to(), "w");
    g.begin_stream(1, 1, "w");
    EXPECT_EQ(g.brain.tracked_requests(), 1U);
    g.end(1, 1, "w", Outcome::ok, true);
    EXPECT_EQ(g.brain.tracked_requests(), 0U);
}

TEST(Settings, NonsenseIsRefusedWithAReason) {
    auto s = plain_settings();
    s.classes.clear();
    EXPECT_THROW(Brain(s, 1), std::invalid_argument);
    s = plain_settings();
    s.tick = 0ms;
    EXPECT_THROW(Brain(s, 1), std::invalid_argument);
    s = plain_settings();
    s.classes[0].deadline = 1ms;
    EXPECT_THROW(Brain(s, 1), std::invalid_argument);
}

TEST(Rules, DrainingServerGetsNothing) {
    Gateway g;
    auto draining = server("r", "reader");
    draining.state = ServerState::draining;
    g.list({server("r", "reader"), server("w", "writer")});
    g.list({draining}, ListScope::changes);
    g.arrive(1);
    EXPECT_EQ(g.sent_to(), "");
}

TEST(Rules, OnceIsNotRepeatedNorRefusedAfterItMayHaveRun) {
    for (const auto outcome : {Outcome::error, Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
        Gateway g;
        g.list({server("r", "reader"), server("v", "writer"), server("w", "writer")});
        g.arrive(1, "order");
        g.end(1, 0, "r", Outcome::read);
        const auto at = g.sent_to();
        g.end(1, 1, at, outcome);
        EXPECT_EQ(g.all<Send>().size(), 0U);
        EXPECT_EQ(g.all<Refuse>().size(), 0U);
        EXPECT_EQ(g.all<Fail>().size(), 1U);
        EXPECT_EQ(g.all<Release>().size(), 1U);
    }
}

TEST(Rules, OnceGoesAgainWhenProvedNotToHaveRun) {
    for (const auto outcome : {Outcome::full, Outcome::connect_failed}) {
        Gateway g;
        g.list({server("r", "reader"), server("v", "writer"), server("w", "writer")});
        g.arrive(1, "order");
        g.end(1, 0, "r", Outcome::read);
        const auto first = g.sent_to();
        g.end(1, 1, first, outcome);
        EXPECT_EQ(g.all<Send>().size(), 1U);
        EXPECT_NE(g.sent_to(), first);
    }
}

TEST(Rules, KeyedStaysInItsGroup) {
    Gateway g;
    g.list({server("r", "reader"), server("w", "writer", "north"), server("far", "writer", "south", 1)});
    g.arrive(1, "keyed");
    g.end(1, 0, "r", Outcome::read);
    ASSERT_EQ(g.sent_to(), "w");
    g.end(1, 1, "w", Outcome::error);
    EXPECT_NE(g.sent_to(), "far");
    EXPECT_EQ(g.all<Refuse>().size(), 0U);
}

TEST(Rules, StateIsReleasedWhenTheClientGoes) {
    Gateway g;
    g.list({server("r", "reader"), server("w", "writer")});
    g.arrive(1);
    g.step({ClientGone{{1}}});
    EXPECT_EQ(g.all<CancelAttempt>().size(), 1U);
    g.end(1, 0, "r", Outcome::read);  // the read had ended all the same
    EXPECT_EQ(g.all<Release>().size(), 1U);
    EXPECT_EQ(g.brain.tracked_requests(), 0U);
}

TEST(Rules, WaitingStateIsSentOnOrReleasedInTime) {
    Gateway g;
    g.list({server("r", "reader"), server("w", "writer")});
    g.arrive(1);
    auto gone = server("w", "writer");
    gone.state = ServerState::removed;
    g.list({gone}, ListScope::changes);
    g.end(1, 0, "r", Outcome::read);
    EXPECT_EQ(g.all<Release>().size(), 0U);
    const Time ended = g.now;
    while (g.all<Release>().empty() && g.now < ended + 1s) {
        g.pass(4ms);
        g.step();
    }
    EXPECT_LT(g.now - ended, 400ms);
}

TEST(Rules, HeldRequestIsAnsweredBeforeItsDeadline) {
    Gateway g;
    g.list({server("r", "reader")});
    g.arrive(1);
    const Time start = g.now;
    while (g.all<Refuse>().empty() && g.now < start + 5s) {
        g.pass(4ms);
        g.step();
    }
    EXPECT_LT(g.now - start, 4s);
    EXPECT_EQ(g.brain.tracked_requests(), 0U);
}

TEST(Rules, ColdServerGetsOneRequestAWindowWhileNothingIsKnown) {
    Gateway g;
    auto cold = server("w", "writer");
    cold.born = g.now - 1s;
    g.list({server("r", "reader"), cold});
    for (std::uint64_t id = 1; id <= 4; ++id) {
        g.arrive(id);
        if (g.sent_to() == "r") g.end(id, 0, "r", Outcome::read);
        EXPECT_EQ(g.sent_to(), id == 1 ? "w" : "") << id;
    }
}

TEST(Hold, CountsReadsUnderWayAgainstTheRoom) {
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

TEST(Hold, FullLowersAWritersLimit) {
    const auto admitted = [](int fulls) {
        Gateway g;
        g.list({server("r", "reader"), server("w", "writer")});
        std::uint64_t id = 1;
        for (; fulls > 0; --fulls, ++id) {
            g.pass(1s);
            g.arrive(id);
            g.end(id, 0, "r", Outcome::read);
            g.end(id, 1, "w", Outcome::full);
            g.step({ClientGone{{id}}});
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

TEST(Hold, LateFirstTokenAfterANearMoveLowersTheLimit) {
    const auto admitted = [](Duration first_token) {
        Gateway g;
        g.list({server("r", "reader"), server("w", "writer")});
        std::uint64_t id = 1;
        for (; id <= 3; ++id) {
            g.pass(2s);
            g.arrive(id);
            g.end(id, 0, "r", Outcome::read);
            g.pass(first_token);
            g.step({StreamStarted{{id}, {1}, {"w"}, first_token}});
            g.end(id, 1, "w", Outcome::ok, true);
        }
        int sent = 0;
        for (const auto last = id + 200; id < last; ++id) {
            g.arrive(id);
            if (g.sent_to() != "r") continue;
            ++sent;
            g.end(id, 0, "r", Outcome::read);
        }
        return sent;
    };
    EXPECT_LT(admitted(900ms), admitted(50ms));
}

TEST(Hold, FullMemoryReportClosesAWriterButNotForGood) {
    auto settings = plain_settings();
    settings.report_fields = {ReportField::active, ReportField::memory_share};
    Gateway g(settings);
    g.list({server("r", "reader"), server("w", "writer")});
    g.arrive(1);
    g.end(1, 0, "r", Outcome::read);
    g.end(1, 1, "w", Outcome::ok, true, 0, {40, 0.99});
    g.arrive(2);
    EXPECT_EQ(g.sent_to(), "");  // held before its read
    g.pass(3500ms);
    g.step();  // nothing has been sent there, so no newer report came
    g.arrive(3);
    EXPECT_EQ(g.sent_to(), "r");
}

TEST(Hold, ReadersQueueIsBoundedByTheSeenPace) {
    Gateway g;
    g.list({server("r", "reader"), server("v", "writer"), server("w", "writer")});
    g.arrive(1);
    g.step({AttemptEnded{{1}, {0}, {"r"}, Outcome::read, 300ms, false, 0, {}}});  // 0.2 ms a token
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

TEST(Health, SilentReaderIsLeftButABusyOneIsWaitedFor) {
    for (const bool busy : {false, true}) {
        Gateway g;
        g.list({server("r", "reader"), server("w", "writer")});
        g.arrive(1);
        g.arrive(2);
        std::size_t cancelled = 0;
        for (int i = 0; i < 10; ++i) {
            g.pass(100ms);
            if (busy) {
                g.arrive(static_cast<std::uint64_t>(100 + i));
                g.end(static_cast<std::uint64_t>(100 + i), 0, "r", Outcome::read);
            } else {
                g.step();
            }
            cancelled += g.all<CancelAttempt>().size();
        }
        EXPECT_EQ(cancelled, busy ? 0U : 2U);
    }
}

TEST(Health, OneErrorKeepsOnceRequestsAway) {
    Gateway g;
    g.list({server("r", "reader"), server("v", "writer"), server("w", "writer")});
    g.arrive(1);
    g.end(1, 0, "r", Outcome::read);
    const auto erring = g.sent_to();
    g.end(1, 1, erring, Outcome::error);
    const auto other = g.sent_to();
    g.arrive(2, "order");  // the other writer is the busier one now
    g.end(2, 0, "r", Outcome::read);
    EXPECT_EQ(g.sent_to(), other);
}

TEST(Writer, AJammedLinkKeepsStatesInTheirCell) {
    const auto chosen = [](Duration far_pull) {
        Gateway g;
        auto lone = server("r", "reader", "north", 0);
        g.list({lone, server("far", "writer", "north", 1)});
        g.arrive(1);
        g.end(1, 0, "r", Outcome::read);
        g.step({StreamStarted{{1}, {1}, {"far"}, far_pull}});
        g.end(1, 1, "far", Outcome::ok, true);
        g.list({server("near", "writer", "north", 0)}, ListScope::changes);
        for (std::uint64_t id = 2; id < 8; ++id) {  // the near writer carries some streams already
            g.arrive(id);
            g.end(id, 0, "r", Outcome::read);
            if (g.sent_to() != "near") return g.sent_to();
        }
        return std::string("near");
    };
    EXPECT_EQ(chosen(20ms), "far");
    EXPECT_EQ(chosen(900ms), "near");
}

TEST(Reader, SessionGoesBackToItsKeptText) {
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

TEST(Health, ConnectFailureEjectsAndAProbeLeadsBack) {
    Gateway g;
    g.list({server("r", "reader"), server("q", "reader"), server("w", "writer")});
    g.arrive(1);
    const auto bad = g.sent_to();
    g.end(1, 0, bad, Outcome::connect_failed);
    const auto good = g.sent_to();
    ASSERT_NE(good, bad);
    g.arrive(2);
    EXPECT_EQ(g.sent_to(), good);
    g.pass(1100ms);
    g.step();
    ASSERT_EQ(g.all<Probe>().size(), 1U);
    EXPECT_EQ(g.all<Probe>()[0].server.value, bad);
    g.step({ProbeEnded{{bad}, Outcome::ok, 1ms, {}}});
    g.arrive(3);
    EXPECT_EQ(g.sent_to(), bad);
}

TEST(Robust, UnknownAndRepeatedEventsPassWithoutEffect) {
    Gateway g;
    g.list({});
    g.end(9, 0, "x", Outcome::ok);
    g.begin_stream(9, 0, "x");
    g.step({ClientGone{{9}}, TimerFired{{77}}, ProbeEnded{{"x"}, Outcome::error, 1ms, {}},
            PeerMessage{1, "00"}});
    EXPECT_TRUE(g.last.empty());
}

}  // namespace
}  // namespace chalksail::testing
