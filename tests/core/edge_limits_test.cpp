// What ends or holds back a request from outside it: time, the endpoint list, and this machine's limits.
#include <gtest/gtest.h>

#include "core/driver.hpp"

namespace chalksail::core::testing {
namespace {

// ---- time ----

TEST(Edge, DeadlineEndsAnAttemptAndIsAnsweredInTime) {
    Driver d;
    d.usual_list();
    const Time arrived = d.now;
    const auto write = d.to_decode("once");
    d.give({CallSent{write}});
    while (d.replies.empty() && d.now < arrived + 6s) d.pass(1ms);
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 504);
    EXPECT_LE(d.now, arrived + 4s);
    EXPECT_TRUE(d.was_aborted(write));
    d.pass(5s);
    EXPECT_EQ(d.sent().size(), 2U);
    expect_empty(d);
}

TEST(Edge, QueuedRequestIsRejectedWithRetryAfterBeforeItsDeadline) {
    Driver d;
    const Time arrived = d.now;
    http::Headers headers;
    headers.add("X-Request-Timeout-Ms", "500");
    d.send_request("m", "", headers);
    while (d.replies.empty() && d.now < arrived + 2s) d.pass(1ms);
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_LE(d.now, arrived + 500ms);
    EXPECT_EQ(d.replies[0].status, 503);
    EXPECT_FALSE(d.replies[0].headers.get("retry-after").empty());
    EXPECT_EQ(d.replies[0].headers.get("x-should-retry"), "true");
    expect_empty(d);
}

// Guards against an answer put together past the client's time: it waits for the whole, not for a first
// token.
TEST(Edge, WholeAnswerKeepsItsDeadlineAfterTheFirstChunk) {
    Driver d;
    d.usual_list();
    const Time arrived = d.now;
    const auto write = d.to_decode("m", "");
    d.head(write);
    while (d.replies.empty() && d.now < arrived + 6s) {
        d.body(write, chunk("more"));
        d.pass(100ms);
    }
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 504);
    EXPECT_LE(d.now, arrived + 4s + 100ms);
    expect_empty(d);
}

TEST(Edge, ClockJumpsAreSurvived) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode();
    d.head(write);
    d.body(write, chunk("a"));
    const Time then = d.now;
    d.now = then - 100s;  // back: time stands still
    d.body(write, chunk("b"));
    d.now = then + 10ms;
    d.body(write, chunk("c"));
    EXPECT_EQ(d.streamed, chunk("a") + chunk("b") + chunk("c"));
    d.send_request("m", "", {}, 2);
    d.now = then + 3600s;  // an hour ahead: all that was open is overdue, and is answered
    d.give({});
    d.pass(1s);
    EXPECT_EQ(d.requests.size(), 2U);
    expect_empty(d);
}

TEST(Edge, SilentStreamIsAborted) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode();
    d.head(write);
    d.body(write, chunk("a"));
    d.pass(4s);
    d.body(write, chunk("b"));
    d.pass(4s);
    EXPECT_EQ(d.streams_ended, 0);
    d.pass(2s);
    EXPECT_EQ(d.streams_ended, 1);
    EXPECT_NE(d.streamed.find("\"error\""), std::string::npos);
    expect_empty(d);
}

TEST(Edge, SlowClientPausesItsEnginesStreamAndIsNotCalledSilent) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode();
    d.head(write);
    d.body(write, chunk("a"));
    d.give({ClientBacklog{{1}, true}});
    ASSERT_EQ(d.flows.size(), 1U);
    EXPECT_TRUE(d.flows[0].paused);
    d.pass(20s);
    EXPECT_EQ(d.streams_ended, 0);
    d.give({ClientBacklog{{1}, false}});
    EXPECT_FALSE(d.flows.back().paused);
    d.body(write, chat::format_event("[DONE]"));
    EXPECT_EQ(d.requests.back().termination, observe::Termination::served);
}

// ---- the list ----

TEST(Edge, QueuedAttemptIsWithheldWhenItsServerDrains) {
    Driver d;
    d.usual_list();
    d.send_request();
    const Call read = d.sent()[0];
    d.list({listed(read.server, "reader", EndpointState::draining)}, EndpointUpdateKind::delta);
    EXPECT_TRUE(d.was_aborted(read.call));
    ASSERT_EQ(d.sent().size(), 2U);
    EXPECT_NE(d.sent()[1].server, read.server);
    EXPECT_EQ(d.attempts[0].outcome, "connect_failed");  // proved not to have run
}

TEST(Edge, SentAttemptGoesOnWhenItsServerDrains) {
    Driver d;
    d.usual_list();
    d.send_request();
    const Call read = d.sent()[0];
    d.give({CallSent{read.call}});
    d.list({listed(read.server, "reader", EndpointState::draining)}, EndpointUpdateKind::delta);
    EXPECT_FALSE(d.was_aborted(read.call));
    d.answer_prefill(read.call);
    EXPECT_EQ(d.sent().size(), 2U);
}

// Guards against a list and the word that bytes went out coming in one turn, in that order: the attempt may
// have run.
TEST(Edge, AttemptSentInTheSameTurnAsTheListMayHaveRun) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode("once");
    const std::string server = d.sent().back().server;
    d.give({membership::EndpointList{EndpointUpdateKind::delta,
                                     {listed(server, "writer", EndpointState::draining)}},
            CallSent{write}});
    EXPECT_FALSE(d.was_aborted(write));
    d.give({CallFailed{write, engine::ExchangeEnd::connection_closed, ""}});
    d.pass(5s);
    EXPECT_EQ(d.sent().size(), 2U);
    EXPECT_EQ(d.replies.at(0).status, 502);
}

TEST(Edge, QueuedAttemptIsWithheldWhenItsServerRestarts) {
    Driver d;
    d.usual_list();
    d.send_request();
    const Call read = d.sent()[0];
    auto again = listed(read.server, "reader");
    again.endpoint.started_at = d.now;
    d.list({again}, EndpointUpdateKind::delta);
    EXPECT_TRUE(d.was_aborted(read.call));
}

// ---- this machine's own faults ----

TEST(Edge, NoFileDescriptorsIsRejectedAndNoServersFault) {
    Driver d;
    d.usual_list();
    d.send_request("once");
    d.give({CallFailed{d.sent()[0].call, engine::ExchangeEnd::no_resources, "EMFILE"}});
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 503);
    EXPECT_EQ(d.attempts[0].outcome, "moot");
    d.send_request("m", "", {}, 2);  // the server is in good standing
    EXPECT_EQ(d.sent().size(), 2U);
}

TEST(Edge, OverTheLimitOfOpenRequestsIsRejectedAtOnce) {
    Driver d;
    for (std::uint64_t i = 1; i <= 51; ++i) d.send_request("m", "", {}, i);
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 503);
    EXPECT_EQ(d.edge.gauges().open_requests, 50U);
}

TEST(Edge, DrainingRejectsNewAndCompletesOld) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode();
    d.give({DrainStarted{}});
    d.send_request("m", "", {}, 2);
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 503);
    EXPECT_EQ(d.replies[0].headers.get("connection"), "close");
    d.head(write);
    d.body(write, chunk("a") + chat::format_event("[DONE]"));
    EXPECT_EQ(d.requests.back().termination, observe::Termination::served);
}

}  // namespace
}  // namespace chalksail::core::testing
