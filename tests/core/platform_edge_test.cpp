// A request's life on the users' platform: the same core as with vLLM's protocol, another protocol.
#include <gtest/gtest.h>

#include <set>

#include "core/platform_driver.hpp"

namespace chalksail::core::testing {
namespace {

TEST(PlatformEdge, PrefillsThenForwardsAStreamUnchanged) {
    Platform d;
    const auto write = d.to_decode();
    const auto sent = d.sent();
    EXPECT_EQ(sent[0].server[0], 'r');
    EXPECT_EQ(sent[1].server[0], 'w');
    for (const auto& call : sent) {
        EXPECT_EQ(call.target, "/v1/chat/completions?a=b");
        EXPECT_EQ(call.body, R"({"model":"chat","stream":true,"messages":[]})");
        EXPECT_EQ(call.headers.get("x-correlation-id"), "9b1f");
        EXPECT_FALSE(call.headers.get("x-time-left").empty());
    }
    d.written(write);
    d.give({CallHead{write, 200, {}}});
    d.body(write, kEvent.substr(0, 9));
    EXPECT_EQ(d.streams_begun, 0);  // no event of it is whole
    d.body(write, kEvent.substr(9) + kDoneEvent);
    EXPECT_EQ(d.streams_ended, 0);  // it may still be spoilt
    d.give({CallDone{write}});
    EXPECT_EQ(d.streamed, kEvent + kDoneEvent);
    EXPECT_EQ(d.streams_ended, 1);
    EXPECT_TRUE(d.releases().empty());
    expect_empty(d);
}

TEST(PlatformEdge, BrokenStreamIsAbortedWithoutItsEnd) {
    Platform d;
    const auto write = d.to_decode();
    d.written(write);
    d.give({CallHead{write, 200, {}}});
    d.body(write, kEvent);
    d.give({CallFailed{write, engine::ExchangeEnd::connection_closed, ""}});
    EXPECT_EQ(d.streamed, kEvent);
    EXPECT_EQ(d.streams_ended, 0);
    EXPECT_EQ(d.streams_aborted, 1);
    expect_empty(d);
}

// A second request of one id can't be told from the first at the servers: the first goes on.
TEST(PlatformEdge, IdOfAnOpenRequestIsRejectedUntilThatIsOver) {
    Platform d;
    const auto write = d.to_decode();
    d.get(platform_text::post("9b1f"), 2);
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 409);
    EXPECT_EQ(d.sent().size(), 2U);
    d.answer(write, 200, kEvent + kDoneEvent);
    d.get(platform_text::post("9b1f"), 3);
    EXPECT_EQ(d.sent().size(), 3U);
}

TEST(PlatformEdge, BadRequestsAreAnsweredAndNeverForwarded) {
    Platform d;
    for (const auto& bad : {platform_text::post(""), platform_text::post("a", "nobody"),
                            platform_text::post("a", "chat", "", "never")}) {
        d.get(bad);
        EXPECT_EQ(d.replies.back().status, 400);
    }
    EXPECT_TRUE(d.calls.empty());
    expect_empty(d);
}

// "once" goes again only if the last byte of no writer attempt went out, or the server says so.
TEST(PlatformEdge, NonIdempotentIsRetriedOnlyIfProvedNotToHaveRun) {
    for (const bool whole : {false, true}) {
        Platform d;
        const auto write = d.to_decode("order");
        d.give({CallSent{write}});
        if (whole) d.give({CallWritten{write}});
        d.give({CallFailed{write, engine::ExchangeEnd::connection_closed, ""}});
        EXPECT_EQ(d.sent().size(), whole ? 2U : 3U);
        EXPECT_EQ(d.replies.size(), whole ? 1U : 0U);
        if (whole) {
            EXPECT_EQ(d.replies[0].status, 502);
        }
    }
    Platform d;
    d.answer(d.to_decode("order"), 503, "", "1");
    EXPECT_EQ(d.sent().size(), 3U);
}

// What is held is let go of by one call for the whole request, at another server if the first does not
// answer.
TEST(PlatformEdge, UnwantedStateIsReleasedThroughAServerThatAnswers) {
    Platform d;
    const auto write = d.to_decode("order");
    d.written(write);
    d.give({CallFailed{write, engine::ExchangeEnd::connection_closed, ""}});
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].method, "DELETE");
    EXPECT_EQ(d.releases()[0].target, "/kv/leases/9b1f");
    d.pass(100ms);  // silence: two others are asked
    ASSERT_EQ(d.releases().size(), 3U);
    EXPECT_NE(d.releases()[1].server, d.releases()[0].server);
    EXPECT_NE(d.releases()[2].server, d.releases()[0].server);
    EXPECT_NE(d.releases()[2].server, d.releases()[1].server);
    EXPECT_TRUE(d.was_aborted(d.releases()[0].call));
    d.answer(d.releases()[1].call, 204);
    d.pass(2s);
    EXPECT_EQ(d.releases().size(), 3U);
}

// A read may have ended well at the moment at which it broke. While it is read anew nothing is let go of: the
// call would take the new state too.
TEST(PlatformEdge, BrokenPrefillIsReleasedOnlyOnceNoAttemptIsInFlight) {
    Platform d;
    d.get(platform_text::post("9b1f"));
    const auto read = d.sent().back().call;
    d.written(read);
    d.give({CallFailed{read, engine::ExchangeEnd::connection_closed, ""}});
    ASSERT_EQ(d.sent().size(), 2U);  // read anew
    EXPECT_TRUE(d.releases().empty());
    d.give({ClientClosed{{1}}});
    d.give({CallSent{d.sent()[1].call},
            CallFailed{d.sent()[1].call, engine::ExchangeEnd::connection_closed, ""}});
    EXPECT_EQ(d.releases().size(), 1U);
}

// The read has run, whatever its answer looks like.
TEST(PlatformEdge, PrefillWithMalformedAnswerIsReleased) {
    Platform d;
    d.get(platform_text::post("9b1f"));
    d.written(d.sent()[0].call);
    d.give({CallFailed{d.sent()[0].call, engine::ExchangeEnd::malformed_response, "noise"}});
    d.give({ClientClosed{{1}}});
    d.give({CallFailed{d.sent().back().call, engine::ExchangeEnd::dial_failed, ""}});
    EXPECT_EQ(d.releases().size(), 1U);
    expect_empty(d);
}

TEST(PlatformEdge, BodiesInSumAreBoundedAndFreed) {
    auto settings =
        platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value());
    settings.limits.request_bytes = 60;  // one body has 43
    Platform d(settings);
    for (int i = 0; i < 3; ++i) {
        const auto before = d.replies.size();
        const auto write = d.to_decode();
        d.get(platform_text::post("other"), 2);
        ASSERT_EQ(d.replies.size(), before + 1);
        EXPECT_EQ(d.replies.back().status, 503);
        d.answer(write, 200, kEvent + kDoneEvent);
        d.calls.clear();
    }
}

TEST(PlatformEdge, ServerIsForgottenOnceNoCallToItIsInFlight) {
    Platform d;
    const auto write = d.to_decode();
    auto removed = listed(d.sent().back().server, "writer", EndpointState::removed);
    d.written(write);
    d.list({removed}, EndpointUpdateKind::delta);
    EXPECT_TRUE(d.forgotten.empty());  // its stream may still come
    d.give({CallHead{write, 200, {}}, CallBody{write, kEvent + kDoneEvent}, CallDone{write}});
    EXPECT_EQ(d.streams_ended, 1);
    d.list({listed("r9", "reader")}, EndpointUpdateKind::delta);
    EXPECT_EQ(d.forgotten, std::vector{removed.endpoint.id.value});
}

TEST(PlatformEdge, ReadyUntilItDrains) {
    Platform d;
    d.get("GET /ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(d.replies.back().status, 200);
    d.give({DrainStarted{}});
    d.get("GET /ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(d.replies.back().status, 503);
    d.get(platform_text::post("9b1f"));
    EXPECT_EQ(d.replies.back().status, 503);
    EXPECT_EQ(d.replies.back().headers.get("connection"), "close");
}

// Guards against connections that are ended without a word at the shutdown's limit: who waits, for a read, a
// writer or room, gets an answer, and who reads a stream its cut. What is held is released.
TEST(PlatformEdge, EveryRequestIsAnsweredAtTheShutdownsLimit) {
    Platform d;
    const auto stream = d.to_decode();
    d.written(stream);
    d.give({CallHead{stream, 200, {}}});
    d.body(stream, kEvent);
    d.get(platform_text::post("9b20"), 2);  // is being read
    d.written(d.sent().back().call);
    d.get(platform_text::post("9b21", "order"), 3);  // is with a writer
    d.answer(d.sent().back().call, 202, R"({"cached_tokens":40})");
    d.written(d.sent().back().call);
    d.give({DrainStarted{}, DrainExpired{}});
    EXPECT_EQ(d.streams_aborted, 1);
    ASSERT_EQ(d.replies.size(), 2U);
    EXPECT_EQ(d.replies[0].client, ClientId{2});
    EXPECT_EQ(d.replies[1].client, ClientId{3});
    for (const auto& r : d.requests) EXPECT_EQ(r.reason, observe::TerminationReason::drain_expired);
    EXPECT_EQ(d.requests.size(), 3U);
    for (const auto& call : d.releases()) d.answer(call.call, 204);
    EXPECT_FALSE(d.releases().empty());
    expect_empty(d);
}

// What is taken shortly before the end must not be found unanswered by it.
TEST(PlatformEdge, AnswersBeforeItsEndWhatItStillAccepts) {
    Platform d;
    d.give({ShutdownAnnounced{d.now + 900ms}});
    d.get(platform_text::post("9b1f"));
    ASSERT_EQ(d.sent().size(), 1U);
    d.written(d.sent()[0].call);
    d.pass(1s);  // the reader says nothing
    EXPECT_EQ(d.replies.size(), 1U);
}

// The kill would find its stream unanswered, which loses it: its client asks another gateway for the rest.
TEST(PlatformEdge, MigratesAStreamAcceptedShortlyBeforeItsEnd) {
    Platform d;
    d.give({ShutdownAnnounced{d.now + 900ms}});
    const auto write = d.to_decode();
    d.written(write);
    d.give({CallHead{write, 200, {}}});
    d.body(write, kEvent);
    d.pass(1s);
    EXPECT_EQ(d.streams_aborted, 1);
    EXPECT_EQ(d.streams_ended, 0);
    EXPECT_TRUE(d.was_aborted(write));
    expect_empty(d);
}

TEST(PlatformEdge, RejectionSaysWhenToRetry) {
    Platform d;
    d.list({});  // nothing to send to: held until the aim, then refused
    d.get(platform_text::post("9b1f"));
    d.pass(4s);
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 503);
    EXPECT_EQ(d.replies[0].headers.get("retry-after"), "0.500");
}

// New servers with new ids replace the old ones all day.
TEST(PlatformEdge, NothingOfRemovedServersStays) {
    Platform d;
    std::vector<std::string> now = {"r1", "w1"};
    d.list({listed("r1", "reader"), listed("w1", "writer")});
    for (int i = 0; i < 200; ++i) {
        const std::vector<std::string> next = {"r-" + std::to_string(i), "w-" + std::to_string(i)};
        d.list({listed(now[0], "reader", EndpointState::removed),
                listed(now[1], "writer", EndpointState::removed), listed(next[0], "reader"),
                listed(next[1], "writer")},
               EndpointUpdateKind::delta);
        now = next;
        d.calls.clear();
        d.answer(d.to_decode(), 200, kEvent + kDoneEvent);
    }
    EXPECT_EQ(d.streams_ended, 200);
    EXPECT_EQ(d.edge.endpoints().size(), 2U);
    EXPECT_EQ(d.forgotten.size(), 402U);  // and the two of the usual list
    d.pass(10s);
    EXPECT_EQ(d.edge.gauges().calls, 0U);
    expect_empty(d);
}

// Back from nothing, with a list that may be old: what drains gets nothing, what has just started no crowd.
TEST(PlatformEdge, CachedListKeepsDrainsAndSlowStartBudgets) {
    for (const bool slow_start : {true, false}) {
        Platform d;
        auto writer = listed("w2", "writer");
        if (slow_start) writer.endpoint.started_at = d.now - 100ms;
        d.list({listed("r1", "reader"), listed("r2", "reader", EndpointState::draining),
                listed("w1", "writer", EndpointState::draining), writer},
               EndpointUpdateKind::cached_snapshot);
        for (std::uint64_t i = 0; i < 30; ++i) d.get(platform_text::post("id" + std::to_string(i)), i + 1);
        for (std::size_t i = 0; i < d.sent().size(); ++i)
            if (d.sent()[i].server == "r1") d.answer(d.sent()[i].call, 202);
        int writes = 0;
        for (const auto& call : d.sent()) {
            EXPECT_TRUE(call.server == "r1" || call.server == "w2") << call.server;
            writes += call.server == "w2" ? 1 : 0;
        }
        // Of what a warm one bears nothing is known yet: one at most.
        EXPECT_TRUE(slow_start ? writes <= 1 : writes == 30) << writes;
    }
}

// Guards against a state that waits while its attempt's connection does not come up, or its bytes queue: the
// time to release goes on, so the attempt is called off and the state released within the settings' time.
TEST(PlatformEdge, StateIsReleasedWhileNoConnectionIsEstablished) {
    auto settings =
        platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value());
    settings.router.release_within = 200ms;
    for (const bool there : {false, true}) {
        Platform d(settings);
        const auto write = d.to_decode();
        d.give({CallSent{write}});  // a part of it may be out: it has not come before its last byte
        if (there) d.written(write);
        d.pass(210ms);
        EXPECT_EQ(d.was_aborted(write), !there);
        EXPECT_EQ(d.releases().size(), 1U);
        EXPECT_EQ(d.replies.size(), 0U);  // the request goes on
        EXPECT_EQ(d.edge.gauges().open_requests, 1U);
    }
}
}  // namespace
}  // namespace chalksail::core::testing
