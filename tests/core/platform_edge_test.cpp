// Tests the lifecycle of a request on the users' platform.
#include <gtest/gtest.h>

#include <set>

#include "core/platform_driver.hpp"

namespace chalksail::core::testing {
namespace {

TEST(PlatformEdge, PrefillsThenForwardsAStreamUnchanged) {
    Platform d;
    const auto decode = d.advance_to_decode();
    const auto sent = d.sent();
    EXPECT_EQ(sent[0].server[0], 'r');
    EXPECT_EQ(sent[1].server[0], 'w');
    for (const auto& call : sent) {
        EXPECT_EQ(call.target, "/v1/chat/completions?a=b");
        EXPECT_EQ(call.body, R"({"model":"chat","stream":true,"messages":[]})");
        EXPECT_EQ(call.headers.get("x-correlation-id"), "9b1f");
        EXPECT_FALSE(call.headers.get("x-time-left").empty());
    }
    d.written(decode);
    d.step({CallHead{decode, 200, {}}});
    d.body(decode, kEvent.substr(0, 9));
    EXPECT_EQ(d.streams_begun, 0);  // no complete event yet
    d.body(decode, kEvent.substr(9) + kDoneEvent);
    EXPECT_EQ(d.streams_ended, 0);  // it may still turn out malformed
    d.step({CallDone{decode}});
    EXPECT_EQ(d.streamed, kEvent + kDoneEvent);
    EXPECT_EQ(d.streams_ended, 1);
    EXPECT_TRUE(d.releases().empty());
    expect_no_open_work(d);
}

TEST(PlatformEdge, BrokenStreamIsAbortedWithoutAStreamEnd) {
    Platform d;
    const auto decode = d.advance_to_decode();
    d.written(decode);
    d.step({CallHead{decode, 200, {}}});
    d.body(decode, kEvent);
    d.step({CallFailed{decode, engine::ExchangeEnd::connection_closed, ""}});
    EXPECT_EQ(d.streamed, kEvent);
    EXPECT_EQ(d.streams_ended, 0);
    EXPECT_EQ(d.streams_aborted, 1);
    expect_no_open_work(d);
}

// Guards against a request that is timed from the response before it on its connection: servers were told
// time that was not left (review/7).
TEST(PlatformEdge, RequestThatWaitedToBeParsedIsTimedFromItsLastByte) {
    Platform in_time;
    in_time.receive(platform_text::post("9b1f", "chat", "", "1000m"));
    const auto all = platform::parse_time_remaining(in_time.sent().back().headers.get("x-time-left"));
    Platform waited;
    waited.receive(platform_text::post("9b1f", "chat", "", "1000m"), 1, waited.now - 600ms);
    const auto remaining = platform::parse_time_remaining(waited.sent().back().headers.get("x-time-left"));
    EXPECT_EQ(*remaining, *all - 600ms);
    waited.now += 400ms;
    waited.step({});
    EXPECT_EQ(waited.responses.size(), 1U);
    expect_no_open_work(waited);
}

// It is rejected with the promise that it was not run, and its id is free again.
TEST(PlatformEdge, RequestWhoseTimePassedBeforeItWasParsedIsRejectedAtOnce) {
    Platform d;
    d.receive(platform_text::post("9b1f", "order", "", "1000m"), 1, d.now - 1000ms);
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 503);
    EXPECT_TRUE(d.sent().empty());
    expect_no_open_work(d);
    d.receive(platform_text::post("9b1f", "order", "", "1000m"));
    EXPECT_EQ(d.sent().size(), 1U);
}

// Guards against cutting off a response that its server still writes: only complete events counted as
// progress, and an event that took longer than the idle time-out ended the stream.
TEST(PlatformEdge, StreamWhoseEventIsWrittenSlowlyIsNotCutOff) {
    Platform d;
    const auto decode = d.advance_to_decode();
    d.written(decode);
    d.step({CallHead{decode, 200, {}}});
    d.body(decode, kEvent);
    const std::string event = "data: {\"choices\":[{\"delta\":{\"content\":\"slowly written\"}}]}\n\n";
    for (const char byte : event.substr(0, 8)) {
        d.advance_time(3s);
        d.body(decode, std::string(1, byte));
    }
    EXPECT_FALSE(d.was_aborted(decode));
    d.body(decode, event.substr(8) + kDoneEvent);
    d.step({CallDone{decode}});
    EXPECT_EQ(d.streamed, kEvent + event + kDoneEvent);
    EXPECT_EQ(d.streams_ended, 1);
    expect_no_open_work(d);
}

// A server that stops writing within an event, or never completes one, does not keep its client for ever.
TEST(PlatformEdge, StreamWhoseEventStopsOrNeverEndsIsCutOff) {
    for (const int bytes : {1, 100}) {
        Platform d;
        const auto decode = d.advance_to_decode();
        d.written(decode);
        d.step({CallHead{decode, 200, {}}});
        d.body(decode, kEvent + "data: ");
        for (int i = 0; i < bytes; ++i) {
            d.advance_time(3s);
            d.body(decode, "x");
        }
        d.advance_time(5s);
        EXPECT_TRUE(d.was_aborted(decode)) << bytes;
        EXPECT_EQ(d.streams_aborted, 1) << bytes;
    }
}

// A server that reads a large request slowly does not delay the final response: it comes before the deadline,
// whether the prefill or the decode is still being written.
TEST(PlatformEdge, FinalResponseIsInTimeWhileAServerReadsTheRequestSlowly) {
    for (const std::string service_class : {"chat", "order"}) {
        for (const bool during_prefill : {true, false}) {
            Platform d;
            const Time arrived = d.now;
            if (during_prefill) d.receive(platform_text::post("9b1f", service_class, "", "3000m"));
            else d.advance_to_decode(service_class);
            const Time deadline = arrived + (during_prefill ? 3s : 4s);
            std::size_t begun = 0;
            while (d.responses.empty() && d.now <= deadline) {
                // The first byte of each attempt is written, and the last byte never is.
                for (const auto sent = d.sent(); begun < sent.size(); ++begun)
                    d.step({CallSent{sent[begun].call}});
                d.advance_time(10ms);
            }
            EXPECT_EQ(d.responses.size(), 1U) << service_class << during_prefill;
            EXPECT_LE(d.now, deadline) << service_class << during_prefill;
        }
    }
}

// Guards against many servers that each send part of an event, within its limit, and then stop.
TEST(PlatformEdge, IncompleteEventsOfAllStreamsShareALimit) {
    auto with =
        platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value());
    with.limits.all_responses_bytes = 50'000;
    Platform d(with);
    std::vector<CallId> decodes;
    for (std::uint64_t client = 1; client <= 3; ++client) {
        d.receive(platform_text::post("id" + std::to_string(client)), client);
        d.respond(d.sent().back().call, 202, R"({"cached_tokens":40})");
        decodes.push_back(d.sent().back().call);
        d.written(decodes.back());
        d.step({CallHead{decodes.back(), 200, {}}});
        d.body(decodes.back(), kEvent + "data: " + std::string(15'000 + 1'000 * client, 'x'));
    }
    ASSERT_EQ(d.sent().size(), 6U);
    EXPECT_TRUE(d.was_aborted(decodes[2]));  // the largest
    EXPECT_FALSE(d.was_aborted(decodes[0]));
    EXPECT_FALSE(d.was_aborted(decodes[1]));
    EXPECT_LE(d.edge.gauges().response_bytes, 50'000U);
    d.body(decodes[0], "\n\n" + kDoneEvent);
    d.step({CallDone{decodes[0]}});
    d.step({CallFailed{decodes[1], engine::ExchangeEnd::connection_closed, ""}});
    EXPECT_EQ(d.edge.gauges().response_bytes, 0U);
}

// An event of `size` bytes.
std::string event_of_size(std::size_t size) {
    const std::string begin = R"(data: {"text":")";
    const std::string end = "\"}\n\n";
    return begin + std::string(size - begin.size() - end.size(), 'x') + end;
}

// Guards against a server whose response never ends: valid events beyond the maximum size of a body were
// forwarded for up to half an hour.
TEST(PlatformEdge, StreamBeyondTheMaximumBodySizeIsAbortedWithoutAStreamEnd) {
    constexpr std::size_t kMaxBody = 256 * 1024;
    constexpr std::size_t kEventSize = 1024;
    std::string body;
    while (body.size() < kMaxBody) body += event_of_size(kEventSize);
    ASSERT_EQ(body.size(), kMaxBody);
    for (const std::size_t read_size : {std::size_t{1}, std::size_t{1000}, 2 * kMaxBody}) {
        Platform d;
        const auto decode = d.advance_to_decode();
        d.written(decode);
        d.step({CallHead{decode, 200, {}}});
        const std::string endless = body + event_of_size(kEventSize);
        for (std::size_t at = 0; at < endless.size() && !d.was_aborted(decode); at += read_size)
            d.body(decode, endless.substr(at, read_size));
        EXPECT_TRUE(d.was_aborted(decode));
        EXPECT_EQ(d.streamed, body);  // however the body was split
        EXPECT_EQ(d.streams_aborted, 1);
        EXPECT_EQ(d.streams_ended, 0);
        EXPECT_EQ(d.attempts.back().outcome, "reset");
        EXPECT_EQ(d.attempts.back().detail, "stream exceeds the size limit");
        expect_no_open_work(d);
    }
}

TEST(PlatformEdge, StreamOfTheMaximumBodySizeIsServed) {
    constexpr std::size_t kMaxBody = 256 * 1024;
    constexpr std::size_t kEventSize = 1024;
    std::string body;
    while (body.size() + kEventSize < kMaxBody) body += event_of_size(kEventSize);
    body += event_of_size(kMaxBody - body.size() - kDoneEvent.size()) + kDoneEvent;
    ASSERT_EQ(body.size(), kMaxBody);
    Platform d;
    d.respond(d.advance_to_decode(), 200, body);
    EXPECT_EQ(d.streamed, body);
    EXPECT_EQ(d.streams_ended, 1);
    expect_no_open_work(d);
}

// Servers cannot distinguish a second request with the same id from the first. The first continues.
TEST(PlatformEdge, DuplicateIdIsRejectedWhileTheFirstRequestIsOpen) {
    Platform d;
    const auto decode = d.advance_to_decode();
    d.receive(platform_text::post("9b1f"), 2);
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 409);
    EXPECT_EQ(d.sent().size(), 2U);
    d.respond(decode, 200, kEvent + kDoneEvent);
    d.receive(platform_text::post("9b1f"), 3);
    EXPECT_EQ(d.sent().size(), 3U);
}

TEST(PlatformEdge, InvalidRequestsAreRejectedAndNeverForwarded) {
    Platform d;
    for (const auto& bad : {platform_text::post(""), platform_text::post("a", "nobody"),
                            platform_text::post("a", "chat", "", "never")}) {
        d.receive(bad);
        EXPECT_EQ(d.responses.back().status, 400);
    }
    EXPECT_TRUE(d.calls.empty());
    expect_no_open_work(d);
}

// A non-idempotent request is retried only if no decode attempt was fully written, or the server reports that
// it did not run.
TEST(PlatformEdge, NonIdempotentRequestIsRetriedOnlyIfProvedNotToHaveRun) {
    for (const bool fully_written : {false, true}) {
        Platform d;
        const auto decode = d.advance_to_decode("order");
        d.step({CallSent{decode}});
        if (fully_written) d.step({CallWritten{decode}});
        d.step({CallFailed{decode, engine::ExchangeEnd::connection_closed, ""}});
        EXPECT_EQ(d.sent().size(), fully_written ? 2U : 3U);
        EXPECT_EQ(d.responses.size(), fully_written ? 1U : 0U);
        if (fully_written) {
            EXPECT_EQ(d.responses[0].status, 502);
        }
    }
    Platform d;
    d.respond(d.advance_to_decode("order"), 503, "", "1");
    EXPECT_EQ(d.sent().size(), 3U);
}

// One call releases everything held for the request; if the first server does not respond, others are called.
TEST(PlatformEdge, UnneededStateIsReleasedThroughARespondingServer) {
    Platform d;
    const auto decode = d.advance_to_decode("order");
    d.written(decode);
    d.step({CallFailed{decode, engine::ExchangeEnd::connection_closed, ""}});
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].method, "DELETE");
    EXPECT_EQ(d.releases()[0].target, "/kv/leases/9b1f");
    d.advance_time(100ms);  // no response: two other servers are called
    ASSERT_EQ(d.releases().size(), 3U);
    EXPECT_NE(d.releases()[1].server, d.releases()[0].server);
    EXPECT_NE(d.releases()[2].server, d.releases()[0].server);
    EXPECT_NE(d.releases()[2].server, d.releases()[1].server);
    EXPECT_TRUE(d.was_aborted(d.releases()[0].call));
    d.respond(d.releases()[1].call, 204);
    d.advance_time(2s);
    EXPECT_EQ(d.releases().size(), 3U);
}

// A prefill may have completed when its connection broke. While it is repeated nothing is released, as the
// call would release the new KV state too.
TEST(PlatformEdge, BrokenPrefillIsReleasedOnlyOnceNoAttemptIsInFlight) {
    Platform d;
    d.receive(platform_text::post("9b1f"));
    const auto prefill = d.sent().back().call;
    d.written(prefill);
    d.step({CallFailed{prefill, engine::ExchangeEnd::connection_closed, ""}});
    ASSERT_EQ(d.sent().size(), 2U);  // the repeated prefill
    EXPECT_TRUE(d.releases().empty());
    d.step({ClientClosed{{1}}});
    d.step({CallSent{d.sent()[1].call},
            CallFailed{d.sent()[1].call, engine::ExchangeEnd::connection_closed, ""}});
    EXPECT_EQ(d.releases().size(), 1U);
}

// The prefill has run although its response is malformed.
TEST(PlatformEdge, PrefillWithMalformedResponseIsReleased) {
    Platform d;
    d.receive(platform_text::post("9b1f"));
    d.written(d.sent()[0].call);
    d.step({CallFailed{d.sent()[0].call, engine::ExchangeEnd::malformed_response, "noise"}});
    d.step({ClientClosed{{1}}});
    d.step({CallFailed{d.sent().back().call, engine::ExchangeEnd::dial_failed, ""}});
    EXPECT_EQ(d.releases().size(), 1U);
    expect_no_open_work(d);
}

TEST(PlatformEdge, TotalBodySizeIsLimitedAndBodiesAreFreed) {
    auto settings =
        platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value());
    settings.limits.request_bytes = 60;  // one body has 43 bytes
    Platform d(settings);
    for (int i = 0; i < 3; ++i) {
        const auto before = d.responses.size();
        const auto decode = d.advance_to_decode();
        d.receive(platform_text::post("other"), 2);
        ASSERT_EQ(d.responses.size(), before + 1);
        EXPECT_EQ(d.responses.back().status, 503);
        d.respond(decode, 200, kEvent + kDoneEvent);
        d.calls.clear();
    }
}

TEST(PlatformEdge, ServerIsForgottenOnceNoCallToItIsInFlight) {
    Platform d;
    const auto decode = d.advance_to_decode();
    auto removed = listed(d.sent().back().server, "writer", EndpointState::removed);
    d.written(decode);
    d.list({removed}, EndpointUpdateKind::delta);
    EXPECT_TRUE(d.forgotten.empty());  // its stream may still begin
    d.step({CallHead{decode, 200, {}}, CallBody{decode, kEvent + kDoneEvent}, CallDone{decode}});
    EXPECT_EQ(d.streams_ended, 1);
    d.list({listed("r9", "reader")}, EndpointUpdateKind::delta);
    EXPECT_EQ(d.forgotten, std::vector{removed.endpoint.id.value});
}

TEST(PlatformEdge, ReadyUntilDraining) {
    Platform d;
    d.receive("GET /ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(d.responses.back().status, 200);
    d.step({DrainStarted{}});
    d.receive("GET /ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(d.responses.back().status, 503);
    d.receive(platform_text::post("9b1f"));
    EXPECT_EQ(d.responses.back().status, 503);
    EXPECT_EQ(d.responses.back().headers.get("connection"), "close");
}

// Guards against connections that are closed without a response at the shutdown's time limit. Waiting clients
// get an error response, streaming clients an aborted stream, and held KV states are released.
TEST(PlatformEdge, EveryRequestIsAnsweredWhenTheDrainExpires) {
    Platform d;
    const auto stream = d.advance_to_decode();
    d.written(stream);
    d.step({CallHead{stream, 200, {}}});
    d.body(stream, kEvent);
    d.receive(platform_text::post("9b20"), 2);  // its prefill is in flight
    d.written(d.sent().back().call);
    d.receive(platform_text::post("9b21", "order"), 3);  // its decode is in flight
    d.respond(d.sent().back().call, 202, R"({"cached_tokens":40})");
    d.written(d.sent().back().call);
    d.step({DrainStarted{}, DrainExpired{}});
    EXPECT_EQ(d.streams_aborted, 1);
    ASSERT_EQ(d.responses.size(), 2U);
    EXPECT_EQ(d.responses[0].client, ClientId{2});
    EXPECT_EQ(d.responses[1].client, ClientId{3});
    for (const auto& r : d.requests) EXPECT_EQ(r.reason, observe::TerminationReason::drain_expired);
    EXPECT_EQ(d.requests.size(), 3U);
    for (const auto& call : d.releases()) d.respond(call.call, 204);
    EXPECT_FALSE(d.releases().empty());
    expect_no_open_work(d);
}

// A request accepted shortly before the shutdown must be answered before the process ends.
TEST(PlatformEdge, RequestAcceptedDuringShutdownIsAnsweredByTheDeadline) {
    Platform d;
    d.step({ShutdownAnnounced{d.now + 900ms}});
    d.receive(platform_text::post("9b1f"));
    ASSERT_EQ(d.sent().size(), 1U);
    d.written(d.sent()[0].call);
    d.advance_time(1s);  // the reader does not respond
    EXPECT_EQ(d.responses.size(), 1U);
}

// The stream would be lost when the process is killed. It is broken before, so that its client requests the
// rest from another gateway.
TEST(PlatformEdge, StreamAcceptedDuringShutdownIsMigrated) {
    Platform d;
    d.step({ShutdownAnnounced{d.now + 900ms}});
    const auto decode = d.advance_to_decode();
    d.written(decode);
    d.step({CallHead{decode, 200, {}}});
    d.body(decode, kEvent);
    d.advance_time(1s);
    EXPECT_EQ(d.streams_aborted, 1);
    EXPECT_EQ(d.streams_ended, 0);
    EXPECT_TRUE(d.was_aborted(decode));
    expect_no_open_work(d);
}

TEST(PlatformEdge, RejectionHasARetryAfterHeader) {
    Platform d;
    d.list({});  // no servers: the request is queued until its aim, then rejected
    d.receive(platform_text::post("9b1f"));
    d.advance_time(4s);
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 503);
    EXPECT_EQ(d.responses[0].headers.get("retry-after"), "0.500");
}

// Deployments replace servers continually by servers with new ids.
TEST(PlatformEdge, NoStateOfRemovedServersRemains) {
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
        d.respond(d.advance_to_decode(), 200, kEvent + kDoneEvent);
    }
    EXPECT_EQ(d.streams_ended, 200);
    EXPECT_EQ(d.edge.endpoints().size(), 2U);
    EXPECT_EQ(d.forgotten.size(), 402U);  // including two of the default list
    d.advance_time(10s);
    EXPECT_EQ(d.edge.gauges().calls, 0U);
    expect_no_open_work(d);
}

// After a restart with a cached list, draining servers get no requests and newly started ones few.
TEST(PlatformEdge, CachedListRespectsDrainingAndSlowStart) {
    for (const bool slow_start : {true, false}) {
        Platform d;
        auto writer = listed("w2", "writer");
        if (slow_start) writer.endpoint.started_at = d.now - 100ms;
        d.list({listed("r1", "reader"), listed("r2", "reader", EndpointState::draining),
                listed("w1", "writer", EndpointState::draining), writer},
               EndpointUpdateKind::cached_snapshot);
        for (std::uint64_t i = 0; i < 30; ++i)
            d.receive(platform_text::post("id" + std::to_string(i)), i + 1);
        for (std::size_t i = 0; i < d.sent().size(); ++i)
            if (d.sent()[i].server == "r1") d.respond(d.sent()[i].call, 202);
        int decodes = 0;
        for (const auto& call : d.sent()) {
            EXPECT_TRUE(call.server == "r1" || call.server == "w2") << call.server;
            decodes += call.server == "w2" ? 1 : 0;
        }
        // The capacity of a warm server is not known yet, so a starting one gets at most one request.
        EXPECT_TRUE(slow_start ? decodes <= 1 : decodes == 30) << decodes;
    }
}

// Guards against a KV state that is held while its attempt's connection is not established, or its bytes are
// queued. The time until the release keeps running: the attempt is cancelled and the state released in time.
TEST(PlatformEdge, StateIsReleasedWhileNoConnectionIsEstablished) {
    auto settings =
        platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value());
    settings.router.release_within = 200ms;
    for (const bool fully_written : {false, true}) {
        Platform d(settings);
        const auto decode = d.advance_to_decode();
        d.step({CallSent{decode}});  // it can arrive only once its last byte is written
        if (fully_written) d.written(decode);
        d.advance_time(210ms);
        EXPECT_EQ(d.was_aborted(decode), !fully_written);
        EXPECT_EQ(d.releases().size(), 1U);
        EXPECT_EQ(d.responses.size(), 0U);  // the request stays open
        EXPECT_EQ(d.edge.gauges().open_requests, 1U);
    }
}
}  // namespace
}  // namespace chalksail::core::testing
