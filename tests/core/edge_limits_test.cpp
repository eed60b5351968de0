// Tests how deadlines, changes of the endpoint list and local resource limits end or delay requests.
#include <gtest/gtest.h>

#include "core/driver.hpp"

namespace chalksail::core::testing {
namespace {

// ---- time ----

TEST(Edge, DeadlineAbortsTheAttemptAndIsAnsweredInTime) {
    Driver d;
    d.list_default_servers();
    const Time arrived = d.now;
    const auto decode = d.advance_to_decode("once");
    d.step({CallSent{decode}});
    while (d.responses.empty() && d.now < arrived + 6s) d.advance_time(1ms);
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 504);
    EXPECT_LE(d.now, arrived + 4s);
    EXPECT_TRUE(d.was_aborted(decode));
    d.advance_time(5s);
    EXPECT_EQ(d.sent().size(), 2U);
    expect_no_open_work(d);
}

TEST(Edge, QueuedRequestIsRejectedWithRetryAfterBeforeItsDeadline) {
    Driver d;
    const Time arrived = d.now;
    http::Headers headers;
    headers.add("X-Request-Timeout-Ms", "500");
    d.send_request("m", "", headers);
    while (d.responses.empty() && d.now < arrived + 2s) d.advance_time(1ms);
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_LE(d.now, arrived + 500ms);
    EXPECT_EQ(d.responses[0].status, 503);
    EXPECT_FALSE(d.responses[0].headers.get("retry-after").empty());
    EXPECT_EQ(d.responses[0].headers.get("x-should-retry"), "true");
    expect_no_open_work(d);
}

// Guards against a collected response that is completed after the client's deadline. Such a client waits for
// the whole response, not for the first token.
TEST(Edge, CollectedResponseKeepsItsDeadlineAfterTheFirstChunk) {
    Driver d;
    d.list_default_servers();
    const Time arrived = d.now;
    const auto decode = d.advance_to_decode("m", "");
    d.head(decode);
    while (d.responses.empty() && d.now < arrived + 6s) {
        d.body(decode, chunk("more"));
        d.advance_time(100ms);
    }
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 504);
    EXPECT_LE(d.now, arrived + 4s + 100ms);
    expect_no_open_work(d);
}

TEST(Edge, ToleratesClockJumps) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode();
    d.head(decode);
    d.body(decode, chunk("a"));
    const Time then = d.now;
    d.now = then - 100s;  // backwards: the core's time stands still
    d.body(decode, chunk("b"));
    d.now = then + 10ms;
    d.body(decode, chunk("c"));
    EXPECT_EQ(d.streamed, chunk("a") + chunk("b") + chunk("c"));
    d.send_request("m", "", {}, 2);
    d.now = then + 3600s;  // an hour ahead: all open requests are overdue and answered
    d.step({});
    d.advance_time(1s);
    EXPECT_EQ(d.requests.size(), 2U);
    expect_no_open_work(d);
}

TEST(Edge, SilentStreamIsAborted) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode();
    d.head(decode);
    d.body(decode, chunk("a"));
    d.advance_time(4s);
    d.body(decode, chunk("b"));
    d.advance_time(4s);
    EXPECT_EQ(d.streams_ended, 0);
    d.advance_time(2s);
    EXPECT_EQ(d.streams_ended, 1);
    EXPECT_NE(d.streamed.find("\"error\""), std::string::npos);
    expect_no_open_work(d);
}

TEST(Edge, SlowClientPausesTheStreamWithoutAnIdleTimeout) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode();
    d.head(decode);
    d.body(decode, chunk("a"));
    d.step({ClientBacklog{{1}, true}});
    ASSERT_EQ(d.pauses.size(), 1U);
    EXPECT_TRUE(d.pauses[0].paused);
    d.advance_time(20s);
    EXPECT_EQ(d.streams_ended, 0);
    d.step({ClientBacklog{{1}, false}});
    EXPECT_FALSE(d.pauses.back().paused);
    d.body(decode, chat::format_event("[DONE]"));
    EXPECT_EQ(d.requests.back().termination, observe::Termination::served);
}

// ---- the list ----

TEST(Edge, QueuedAttemptIsWithdrawnWhenItsServerDrains) {
    Driver d;
    d.list_default_servers();
    d.send_request();
    const Call prefill = d.sent()[0];
    d.list({listed(prefill.server, "reader", EndpointState::draining)}, EndpointUpdateKind::delta);
    EXPECT_TRUE(d.was_aborted(prefill.call));
    ASSERT_EQ(d.sent().size(), 2U);
    EXPECT_NE(d.sent()[1].server, prefill.server);
    EXPECT_EQ(d.attempts[0].outcome, "connect_failed");  // proved not to have run
}

TEST(Edge, SentAttemptContinuesWhenItsServerDrains) {
    Driver d;
    d.list_default_servers();
    d.send_request();
    const Call prefill = d.sent()[0];
    d.step({CallSent{prefill.call}});
    d.list({listed(prefill.server, "reader", EndpointState::draining)}, EndpointUpdateKind::delta);
    EXPECT_FALSE(d.was_aborted(prefill.call));
    d.complete_prefill(prefill.call);
    EXPECT_EQ(d.sent().size(), 2U);
}

// Guards against an attempt that is classified as unsent because the endpoint list precedes the report of
// sent bytes in the same step: the attempt may have run.
TEST(Edge, AttemptSentInTheSameStepAsTheListMayHaveRun) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode("once");
    const std::string server = d.sent().back().server;
    d.step({membership::EndpointList{EndpointUpdateKind::delta,
                                     {listed(server, "writer", EndpointState::draining)}},
            CallSent{decode}});
    EXPECT_FALSE(d.was_aborted(decode));
    d.step({CallFailed{decode, engine::ExchangeEnd::connection_closed, ""}});
    d.advance_time(5s);
    EXPECT_EQ(d.sent().size(), 2U);
    EXPECT_EQ(d.responses.at(0).status, 502);
}

TEST(Edge, QueuedAttemptIsWithdrawnWhenItsServerRestarts) {
    Driver d;
    d.list_default_servers();
    d.send_request();
    const Call prefill = d.sent()[0];
    auto again = listed(prefill.server, "reader");
    again.endpoint.started_at = d.now;
    d.list({again}, EndpointUpdateKind::delta);
    EXPECT_TRUE(d.was_aborted(prefill.call));
}

// ---- local resource limits ----

TEST(Edge, LackOfFileDescriptorsIsRejectedWithoutBlamingTheServer) {
    Driver d;
    d.list_default_servers();
    d.send_request("once");
    d.step({CallFailed{d.sent()[0].call, engine::ExchangeEnd::no_resources, "EMFILE"}});
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 503);
    EXPECT_EQ(d.attempts[0].outcome, "moot");
    d.send_request("m", "", {}, 2);  // the server is still used
    EXPECT_EQ(d.sent().size(), 2U);
}

TEST(Edge, RequestOverTheLimitIsRejectedAtOnce) {
    Driver d;
    for (std::uint64_t i = 1; i <= 51; ++i) d.send_request("m", "", {}, i);
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 503);
    EXPECT_EQ(d.edge.gauges().open_requests, 50U);
}

TEST(Edge, DrainingRejectsNewRequestsAndCompletesOpenOnes) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode();
    d.step({DrainStarted{}});
    d.send_request("m", "", {}, 2);
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 503);
    EXPECT_EQ(d.responses[0].headers.get("connection"), "close");
    d.head(decode);
    d.body(decode, chunk("a") + chat::format_event("[DONE]"));
    EXPECT_EQ(d.requests.back().termination, observe::Termination::served);
}

}  // namespace
}  // namespace chalksail::core::testing
