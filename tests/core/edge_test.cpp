// Tests the lifecycle of one request in the core, and its end at each stage.
#include <gtest/gtest.h>

#include "base/json.hpp"
#include "core/driver.hpp"

namespace chalksail::core::testing {
namespace {

json::Document parsed(const std::string& text) {
    json::Document out;
    EXPECT_TRUE(json::parse(text, out)) << text;
    return out;
}

// ---- successful requests ----

TEST(Edge, PrefillsThenStreamsFromADecodeServer) {
    Driver d;
    d.list_default_servers();
    d.send_request("m", R"(,"stream":true,"top_k": 7.50,"kv_transfer_params":{"evil":1})");
    ASSERT_EQ(d.sent().size(), 1U);
    const Call prefill = d.sent()[0];
    EXPECT_EQ(prefill.server[0], 'r');
    const auto prefill_body = parsed(prefill.body);
    EXPECT_EQ(prefill_body["max_tokens"].GetInt(), 1);
    EXPECT_FALSE(prefill_body["stream"].GetBool());
    EXPECT_TRUE(prefill_body["kv_transfer_params"]["do_remote_decode"].GetBool());
    EXPECT_FALSE(prefill_body["kv_transfer_params"].HasMember("evil"));
    EXPECT_NE(prefill.body.find(R"("top_k": 7.50)"),
              std::string::npos);  // unknown fields are forwarded unchanged
    d.complete_prefill(prefill.call);
    ASSERT_EQ(d.sent().size(), 2U);
    const Call decode = d.sent()[1];
    EXPECT_EQ(decode.server[0], 'w');
    const auto decode_body = parsed(decode.body);
    EXPECT_EQ(decode_body["max_tokens"].GetInt(), 20);
    EXPECT_TRUE(decode_body["stream"].GetBool());
    EXPECT_EQ(decode_body["kv_transfer_params"]["remote_engine_id"], "r");
    EXPECT_EQ(decode.headers.get("x-request-id"), prefill.headers.get("x-request-id"));
    EXPECT_EQ(prefill.headers.get("x-request-attempt"), "0");
    EXPECT_EQ(decode.headers.get("x-request-attempt"), "1");
    d.head(decode.call);
    d.body(decode.call,
           chunk("yes") + chunk(" now") + chat::format_event(kUsage) + chat::format_event("[DONE]"));
    EXPECT_EQ(d.streams_begun, 1);
    EXPECT_EQ(d.streams_ended, 1);
    EXPECT_EQ(
        d.streamed,
        chunk("yes") + chunk(" now") + chat::format_event("[DONE]"));  // the client did not request usage
    ASSERT_EQ(d.requests.size(), 1U);
    EXPECT_EQ(d.requests[0].termination, observe::Termination::served);
    EXPECT_EQ(d.requests[0].reported_prompt_tokens, 40);
    EXPECT_TRUE(d.releases().empty());  // the writer has fetched the KV state
    expect_no_open_work(d);
}

TEST(Edge, UsageChunkIsForwardedToClientsThatRequestIt) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode("m", R"(,"stream":true,"stream_options":{"include_usage":true})");
    d.head(decode);
    d.body(decode, chunk("a") + chat::format_event(kUsage) + chat::format_event("[DONE]"));
    EXPECT_NE(d.streamed.find("completion_tokens"), std::string::npos);
}

TEST(Edge, ResponseIsCollectedForNonStreamingClients) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode("m", "");
    d.head(decode);
    d.body(decode, chunk("yes") + chunk(" now"));
    EXPECT_TRUE(d.responses.empty());
    d.body(decode, chat::format_event(kUsage) + chat::format_event("[DONE]"));
    ASSERT_EQ(d.responses.size(), 1U);
    const auto answer = parsed(d.responses[0].body);
    EXPECT_EQ(answer["object"], "chat.completion");
    EXPECT_EQ(answer["choices"][0]["message"]["content"], "yes now");
    EXPECT_EQ(answer["usage"]["prompt_tokens"].GetInt(), 40);
    expect_no_open_work(d);
}

TEST(Edge, AnySplitOfTheServersBytesGivesTheSameStream) {
    const std::string all =
        chunk("one") + chunk("two") + chat::format_event(kUsage) + chat::format_event("[DONE]");
    for (std::size_t cut = 1; cut < all.size(); cut += 7) {
        Driver d;
        d.list_default_servers();
        const auto decode = d.advance_to_decode();
        d.head(decode);
        d.body(decode, all.substr(0, cut));
        d.body(decode, all.substr(cut));
        EXPECT_EQ(d.streamed, chunk("one") + chunk("two") + chat::format_event("[DONE]")) << cut;
    }
}

// ---- client disconnects ----

TEST(Edge, RequestIsNotSentIfItsClientDisconnectsBeforeThePrefill) {
    Driver d;  // no servers are listed: the request is queued
    d.send_request();
    d.step({ClientClosed{{1}}});
    d.list_default_servers();
    d.advance_time(5s);
    EXPECT_TRUE(d.sent().empty());
    EXPECT_TRUE(d.responses.empty());
    expect_no_open_work(d);
}

TEST(Edge, ClientDisconnectedDuringThePrefillCancelsAndReleasesIt) {
    Driver d;
    d.list_default_servers();
    d.send_request();
    const auto prefill = d.sent()[0].call;
    d.step({CallSent{prefill}});
    d.step({ClientClosed{{1}}});
    EXPECT_TRUE(d.was_aborted(prefill));
    // The prefill may have completed before its cancellation: its KV state is released by the request's name.
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].server, d.sent()[0].server);
    d.advance_time(5s);
    EXPECT_EQ(d.sent().size(), 1U);
    expect_no_open_work(d);
}

TEST(Edge, ClientDisconnectedWhileAStateIsHeldReleasesItAtOnce) {
    Driver d;
    d.list_default_servers();
    d.send_request();
    const auto prefill = d.sent()[0].call;
    d.list({listed("w1", "writer", EndpointState::draining), listed("w2", "writer", EndpointState::draining)},
           EndpointUpdateKind::delta);
    d.complete_prefill(prefill);
    ASSERT_EQ(d.sent().size(), 1U);
    EXPECT_EQ(d.edge.gauges().kv_states_held, 1U);
    d.step({ClientClosed{{1}}});
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_NE(d.releases()[0].body.find("remote_block_ids"), std::string::npos);
    expect_no_open_work(d);
}

TEST(Edge, ClientDisconnectedDuringAStreamAbortsTheDecode) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode();
    d.head(decode);
    d.body(decode, chunk("yes"));
    d.step({ClientClosed{{1}}});
    EXPECT_TRUE(d.was_aborted(decode));
    d.body(decode, chunk("late"));  // was already on its way
    EXPECT_EQ(d.streamed, chunk("yes"));
    EXPECT_EQ(d.requests.back().termination, observe::Termination::client_gone);
    expect_no_open_work(d);
}

// ---- server failures ----

TEST(Edge, DecodeFailureAfterTheFirstTokenSendsAnErrorEventWithoutDone) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode();
    d.head(decode);
    d.body(decode, chunk("yes"));
    d.step({CallFailed{decode, engine::ExchangeEnd::connection_closed, "closed by the server"}});
    EXPECT_NE(d.streamed.find("\"error\""), std::string::npos);
    EXPECT_EQ(d.streamed.find("[DONE]"), std::string::npos);
    EXPECT_EQ(d.streams_ended, 1);
    d.advance_time(5s);
    EXPECT_EQ(d.sent().size(), 2U);  // a started stream is not sent again
    EXPECT_EQ(d.requests.back().termination, observe::Termination::failed);
    expect_no_open_work(d);
}

TEST(Edge, MissingKvStateIsPrefilledAgain) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode();
    const std::string reader = d.sent()[0].server;
    http::Headers headers;
    headers.add("X-Engine-Not-Run", "no-state");
    d.head(decode, 503, headers);
    d.step({CallDone{decode}});
    ASSERT_EQ(d.sent().size(), 3U);
    EXPECT_EQ(d.sent()[2].server[0], 'r');
    // The reader may still hold the KV state and be unreachable only from the writer.
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].server, reader);
}

TEST(Edge, EmptyDecodeResponseIsAnErrorAndRetried) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode();
    d.head(decode);
    d.step({CallDone{decode}});
    ASSERT_EQ(d.attempts.size(), 2U);
    EXPECT_EQ(d.attempts[1].outcome, "error");
    EXPECT_EQ(d.sent().size(), 3U);
    EXPECT_TRUE(d.responses.empty());
}

TEST(Edge, PrefillResponseWithoutKvTransferParametersIsAnError) {
    Driver d;
    d.list_default_servers();
    d.send_request();
    const auto prefill = d.sent()[0].call;
    d.head(prefill);
    d.body(prefill, R"({"id":"x","choices":[]})");
    d.step({CallDone{prefill}});
    EXPECT_EQ(d.attempts[0].outcome, "error");
}

TEST(Edge, OversizedResponsesAreAborted) {
    auto s = settings();
    s.limits.response_bytes = 1000;
    s.limits.event_bytes = 1000;
    Driver d(s);
    d.list_default_servers();
    d.send_request();
    const auto prefill = d.sent()[0].call;
    d.head(prefill);
    d.body(prefill, std::string(2000, 'x'));
    EXPECT_TRUE(d.was_aborted(prefill));
    EXPECT_EQ(d.attempts[0].outcome, "error");
    ASSERT_EQ(d.sent().size(), 2U);
    d.complete_prefill(d.sent()[1].call);
    const auto decode = d.sent()[2].call;
    d.head(decode);
    d.body(decode, "data: " + std::string(2000, 'x'));
    EXPECT_TRUE(d.was_aborted(decode));
}

// Guards against a server whose valid events never end.
TEST(Edge, StreamBeyondTheMaximumSizeEndsWithAnErrorEvent) {
    constexpr std::size_t kMaxBytes = 1024;
    auto s = settings();
    s.limits.max_stream_bytes = kMaxBytes;
    Driver d(s);
    d.list_default_servers();
    const auto decode = d.advance_to_decode();
    d.head(decode);
    d.body(decode, chunk("a"));
    EXPECT_EQ(d.streamed, chunk("a"));
    for (std::size_t sent = 0; sent < kMaxBytes; sent += chunk("b").size()) d.body(decode, chunk("b"));
    EXPECT_TRUE(d.was_aborted(decode));
    EXPECT_NE(d.streamed.find("stream exceeds the size limit"), std::string::npos);
    EXPECT_EQ(d.streams_ended + d.streams_aborted, 1);
    expect_no_open_work(d);
}

TEST(Edge, ResponseAfterCancellationIsIgnored) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode();
    d.step({ClientClosed{{1}}});
    ASSERT_TRUE(d.was_aborted(decode));
    d.head(decode);
    d.body(decode, chunk("late") + chat::format_event("[DONE]"));
    d.step({CallDone{decode}, CallFailed{decode, engine::ExchangeEnd::connection_closed, ""}});
    EXPECT_TRUE(d.streamed.empty());
    expect_no_open_work(d);
}

TEST(Edge, ClientErrorOfTheServerIsForwarded) {
    Driver d;
    d.list_default_servers();
    d.send_request();
    const auto prefill = d.sent()[0].call;
    d.head(prefill, 400);
    d.body(prefill, R"({"error":{"message":"context too long"}})");
    d.step({CallDone{prefill}});
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 400);
    EXPECT_NE(d.responses[0].body.find("context too long"), std::string::npos);
    d.advance_time(5s);
    EXPECT_EQ(d.sent().size(), 1U);
    expect_no_open_work(d);
}

// ---- idempotency ----

TEST(Edge, NonIdempotentRequestThatMayHaveRunFailsAsNotRetryable) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode("once");
    d.step({CallSent{decode}, CallFailed{decode, engine::ExchangeEnd::connection_closed, ""}});
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 502);
    EXPECT_EQ(d.responses[0].headers.get("x-should-retry"), "false");
    d.advance_time(5s);
    EXPECT_EQ(d.sent().size(), 2U);
    expect_no_open_work(d);
}

TEST(Edge, NonIdempotentRequestIsRetriedIfNoByteWasSent) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode("once");
    d.step({CallFailed{decode, engine::ExchangeEnd::dial_failed, "refused"}});
    EXPECT_EQ(d.sent().size(), 3U);
}

TEST(Edge, NonIdempotentRequestIsRetriedIfTheServerReportsItDidNotRun) {
    Driver d;
    d.list_default_servers();
    const auto decode = d.advance_to_decode("once");
    http::Headers headers;
    headers.add("X-Engine-Not-Run", "full");
    d.head(decode, 503, headers);
    d.step({CallDone{decode}});
    d.advance_time(100ms);
    EXPECT_EQ(d.sent().size(), 3U);
}

TEST(Edge, IdempotentByKeyRequiresAKey) {
    Driver d;
    d.list_default_servers();
    d.send_request("keyed");
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 400);
    EXPECT_NE(d.responses[0].body.find("Idempotency-Key"), std::string::npos);
    http::Headers headers;
    headers.add("Idempotency-Key", "k1");
    d.send_request("keyed", "", headers, 2);
    ASSERT_EQ(d.sent().size(), 1U);
    EXPECT_EQ(d.sent()[0].headers.get("idempotency-key"), "k1");
}

// ---- the protocol ----

// A server without a release call is recorded in the log and the metrics.
TEST(Edge, ServerWithoutReleaseCallIsRecorded) {
    Driver d;
    d.list_default_servers();
    d.send_request();
    d.step({CallSent{d.sent()[0].call}, ClientClosed{{1}}});
    ASSERT_EQ(d.releases().size(), 1U);
    const auto call = d.releases()[0].call;
    d.step({CallHead{call, 404, {}}, CallDone{call}});
    EXPECT_EQ(d.servers.back().action, observe::ServerAction::release);
    EXPECT_EQ(d.servers.back().detail, "none");
}

TEST(Edge, InvalidRequestErrorsNameTheField) {
    Driver d;
    const auto status = [&](const std::string& body) {
        http::Request r;
        r.method = "POST";
        r.target = "/v1/chat/completions";
        r.body = body;
        d.step({ClientRequest{{1}, std::move(r)}});
        return std::pair(d.responses.back().status, d.responses.back().body);
    };
    EXPECT_EQ(status("{").first, 400);
    EXPECT_NE(status(R"({"model":"m"})").second.find("\"param\":\"messages\""), std::string::npos);
    EXPECT_NE(status(R"({"model":"m","messages":[{"role":1}]})").second.find("messages[0].role"),
              std::string::npos);
    EXPECT_NE(status(R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":-1})")
                  .second.find("max_tokens"),
              std::string::npos);
    EXPECT_EQ(status(std::string(100'000, '[')).first, 400);  // deep nesting must not exhaust the stack
    expect_no_open_work(d);
}

}  // namespace
}  // namespace chalksail::core::testing
