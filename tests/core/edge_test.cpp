// One request's life in the core, and what ends it in every stage.
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

// ---- the ordinary path ----

TEST(Edge, PrefillsThenStreamsFromADecodeServer) {
    Driver d;
    d.usual_list();
    d.send_request("m", R"(,"stream":true,"top_k": 7.50,"kv_transfer_params":{"evil":1})");
    ASSERT_EQ(d.sent().size(), 1U);
    const Call read = d.sent()[0];
    EXPECT_EQ(read.server[0], 'r');
    const auto prefill_body = parsed(read.body);
    EXPECT_EQ(prefill_body["max_tokens"].GetInt(), 1);
    EXPECT_FALSE(prefill_body["stream"].GetBool());
    EXPECT_TRUE(prefill_body["kv_transfer_params"]["do_remote_decode"].GetBool());
    EXPECT_FALSE(prefill_body["kv_transfer_params"].HasMember("evil"));
    EXPECT_NE(read.body.find(R"("top_k": 7.50)"), std::string::npos);  // unknown fields stay to the byte
    d.answer_prefill(read.call);
    ASSERT_EQ(d.sent().size(), 2U);
    const Call write = d.sent()[1];
    EXPECT_EQ(write.server[0], 'w');
    const auto decode_body = parsed(write.body);
    EXPECT_EQ(decode_body["max_tokens"].GetInt(), 20);
    EXPECT_TRUE(decode_body["stream"].GetBool());
    EXPECT_EQ(decode_body["kv_transfer_params"]["remote_engine_id"], "r");
    EXPECT_EQ(write.headers.get("x-request-id"), read.headers.get("x-request-id"));
    EXPECT_EQ(read.headers.get("x-request-attempt"), "0");
    EXPECT_EQ(write.headers.get("x-request-attempt"), "1");
    d.head(write.call);
    d.body(write.call,
           chunk("yes") + chunk(" now") + chat::format_event(kUsage) + chat::format_event("[DONE]"));
    EXPECT_EQ(d.streams_begun, 1);
    EXPECT_EQ(d.streams_ended, 1);
    EXPECT_EQ(d.streamed,
              chunk("yes") + chunk(" now") + chat::format_event("[DONE]"));  // usage was not asked for
    ASSERT_EQ(d.requests.size(), 1U);
    EXPECT_EQ(d.requests[0].termination, observe::Termination::served);
    EXPECT_EQ(d.requests[0].reported_prompt_tokens, 40);
    EXPECT_TRUE(d.releases().empty());  // the writer has fetched the state
    expect_empty(d);
}

TEST(Edge, UsageChunkGoesToClientsThatRequestIt) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode("m", R"(,"stream":true,"stream_options":{"include_usage":true})");
    d.head(write);
    d.body(write, chunk("a") + chat::format_event(kUsage) + chat::format_event("[DONE]"));
    EXPECT_NE(d.streamed.find("completion_tokens"), std::string::npos);
}

TEST(Edge, AnswerIsCollectedWhereNoStreamIsWanted) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode("m", "");
    d.head(write);
    d.body(write, chunk("yes") + chunk(" now"));
    EXPECT_TRUE(d.replies.empty());
    d.body(write, chat::format_event(kUsage) + chat::format_event("[DONE]"));
    ASSERT_EQ(d.replies.size(), 1U);
    const auto answer = parsed(d.replies[0].body);
    EXPECT_EQ(answer["object"], "chat.completion");
    EXPECT_EQ(answer["choices"][0]["message"]["content"], "yes now");
    EXPECT_EQ(answer["usage"]["prompt_tokens"].GetInt(), 40);
    expect_empty(d);
}

TEST(Edge, AnySplitOfTheEnginesBytesGivesTheSameStream) {
    const std::string all =
        chunk("one") + chunk("two") + chat::format_event(kUsage) + chat::format_event("[DONE]");
    for (std::size_t cut = 1; cut < all.size(); cut += 7) {
        Driver d;
        d.usual_list();
        const auto write = d.to_decode();
        d.head(write);
        d.body(write, all.substr(0, cut));
        d.body(write, all.substr(cut));
        EXPECT_EQ(d.streamed, chunk("one") + chunk("two") + chat::format_event("[DONE]")) << cut;
    }
}

// ---- the client goes away ----

TEST(Edge, ClientDisconnectedBeforeThePrefillIsNeverSent) {
    Driver d;  // no list: it is held
    d.send_request();
    d.give({ClientClosed{{1}}});
    d.usual_list();
    d.pass(5s);
    EXPECT_TRUE(d.sent().empty());
    EXPECT_TRUE(d.replies.empty());
    expect_empty(d);
}

TEST(Edge, ClientDisconnectedDuringThePrefillCancelsAndReleasesIt) {
    Driver d;
    d.usual_list();
    d.send_request();
    const auto read = d.sent()[0].call;
    d.give({CallSent{read}});
    d.give({ClientClosed{{1}}});
    EXPECT_TRUE(d.was_aborted(read));
    // The read may have ended as it was called off: its state is let go by the request's number.
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].server, d.sent()[0].server);
    d.pass(5s);
    EXPECT_EQ(d.sent().size(), 1U);
    expect_empty(d);
}

TEST(Edge, ClientDisconnectedWhileAStateIsHeldReleasesItAtOnce) {
    Driver d;
    d.usual_list();
    d.send_request();
    const auto read = d.sent()[0].call;
    d.list({listed("w1", "writer", EndpointState::draining), listed("w2", "writer", EndpointState::draining)},
           EndpointUpdateKind::delta);
    d.answer_prefill(read);
    ASSERT_EQ(d.sent().size(), 1U);
    EXPECT_EQ(d.edge.gauges().kv_states_held, 1U);
    d.give({ClientClosed{{1}}});
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_NE(d.releases()[0].body.find("remote_block_ids"), std::string::npos);
    expect_empty(d);
}

TEST(Edge, ClientDisconnectedMidStreamEndsTheEnginesStream) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode();
    d.head(write);
    d.body(write, chunk("yes"));
    d.give({ClientClosed{{1}}});
    EXPECT_TRUE(d.was_aborted(write));
    d.body(write, chunk("late"));  // what was on the way
    EXPECT_EQ(d.streamed, chunk("yes"));
    EXPECT_EQ(d.requests.back().termination, observe::Termination::client_gone);
    expect_empty(d);
}

// ---- servers fail ----

TEST(Edge, DecodeServerDyingAfterTheFirstTokenIsAnErrorEventAndNoDone) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode();
    d.head(write);
    d.body(write, chunk("yes"));
    d.give({CallFailed{write, engine::ExchangeEnd::connection_closed, "closed by the server"}});
    EXPECT_NE(d.streamed.find("\"error\""), std::string::npos);
    EXPECT_EQ(d.streamed.find("[DONE]"), std::string::npos);
    EXPECT_EQ(d.streams_ended, 1);
    d.pass(5s);
    EXPECT_EQ(d.sent().size(), 2U);  // a started stream is not sent again
    EXPECT_EQ(d.requests.back().termination, observe::Termination::failed);
    expect_empty(d);
}

TEST(Edge, StateLostWithItsPrefillServerIsPrefilledElsewhere) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode();
    const std::string reader = d.sent()[0].server;
    http::Headers headers;
    headers.add("X-Engine-Not-Run", "no-state");
    d.head(write, 503, headers);
    d.give({CallDone{write}});
    ASSERT_EQ(d.sent().size(), 3U);
    EXPECT_EQ(d.sent()[2].server[0], 'r');
    // The reader may still have it, unreachable for the writer only.
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].server, reader);
}

TEST(Edge, EmptyAnswerIsAnErrorAndRetriedElsewhere) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode();
    d.head(write);
    d.give({CallDone{write}});
    ASSERT_EQ(d.attempts.size(), 2U);
    EXPECT_EQ(d.attempts[1].outcome, "error");
    EXPECT_EQ(d.sent().size(), 3U);
    EXPECT_TRUE(d.replies.empty());
}

TEST(Edge, PrefillAnswerWithoutTheStatesParametersIsAnError) {
    Driver d;
    d.usual_list();
    d.send_request();
    const auto read = d.sent()[0].call;
    d.head(read);
    d.body(read, R"({"id":"x","choices":[]})");
    d.give({CallDone{read}});
    EXPECT_EQ(d.attempts[0].outcome, "error");
}

TEST(Edge, OversizedAnswersAreBounded) {
    auto s = settings();
    s.limits.response_bytes = 1000;
    s.limits.event_bytes = 1000;
    Driver d(s);
    d.usual_list();
    d.send_request();
    const auto read = d.sent()[0].call;
    d.head(read);
    d.body(read, std::string(2000, 'x'));
    EXPECT_TRUE(d.was_aborted(read));
    EXPECT_EQ(d.attempts[0].outcome, "error");
    ASSERT_EQ(d.sent().size(), 2U);
    d.answer_prefill(d.sent()[1].call);
    const auto write = d.sent()[2].call;
    d.head(write);
    d.body(write, "data: " + std::string(2000, 'x'));
    EXPECT_TRUE(d.was_aborted(write));
}

TEST(Edge, AnswerAfterItsCancellationIsIgnored) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode();
    d.give({ClientClosed{{1}}});
    ASSERT_TRUE(d.was_aborted(write));
    d.head(write);
    d.body(write, chunk("late") + chat::format_event("[DONE]"));
    d.give({CallDone{write}, CallFailed{write, engine::ExchangeEnd::connection_closed, ""}});
    EXPECT_TRUE(d.streamed.empty());
    expect_empty(d);
}

TEST(Edge, EnginesClientErrorGoesToTheClient) {
    Driver d;
    d.usual_list();
    d.send_request();
    const auto read = d.sent()[0].call;
    d.head(read, 400);
    d.body(read, R"({"error":{"message":"context too long"}})");
    d.give({CallDone{read}});
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 400);
    EXPECT_NE(d.replies[0].body.find("context too long"), std::string::npos);
    d.pass(5s);
    EXPECT_EQ(d.sent().size(), 1U);
    expect_empty(d);
}

// ---- effects ----

TEST(Edge, NonIdempotentThatMayHaveRunFailsAndSaysNotToRetry) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode("once");
    d.give({CallSent{write}, CallFailed{write, engine::ExchangeEnd::connection_closed, ""}});
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 502);
    EXPECT_EQ(d.replies[0].headers.get("x-should-retry"), "false");
    d.pass(5s);
    EXPECT_EQ(d.sent().size(), 2U);
    expect_empty(d);
}

TEST(Edge, NonIdempotentIsRetriedWhereNoByteWasSent) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode("once");
    d.give({CallFailed{write, engine::ExchangeEnd::dial_failed, "refused"}});
    EXPECT_EQ(d.sent().size(), 3U);
}

TEST(Edge, NonIdempotentIsRetriedAfterTheEngineSaysItDidNotRun) {
    Driver d;
    d.usual_list();
    const auto write = d.to_decode("once");
    http::Headers headers;
    headers.add("X-Engine-Not-Run", "full");
    d.head(write, 503, headers);
    d.give({CallDone{write}});
    d.pass(100ms);
    EXPECT_EQ(d.sent().size(), 3U);
}

TEST(Edge, KeyedNeedsItsKey) {
    Driver d;
    d.usual_list();
    d.send_request("keyed");
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 400);
    EXPECT_NE(d.replies[0].body.find("Idempotency-Key"), std::string::npos);
    http::Headers headers;
    headers.add("Idempotency-Key", "k1");
    d.send_request("keyed", "", headers, 2);
    ASSERT_EQ(d.sent().size(), 1U);
    EXPECT_EQ(d.sent()[0].headers.get("idempotency-key"), "k1");
}

// ---- the protocol ----

// An engine without a release call is called once, counted and recorded.
TEST(Edge, EngineWithoutReleaseCallIsRecorded) {
    Driver d;
    d.usual_list();
    d.send_request();
    d.give({CallSent{d.sent()[0].call}, ClientClosed{{1}}});
    ASSERT_EQ(d.releases().size(), 1U);
    const auto call = d.releases()[0].call;
    d.give({CallHead{call, 404, {}}, CallDone{call}});
    EXPECT_EQ(d.servers.back().action, observe::ServerAction::release);
    EXPECT_EQ(d.servers.back().detail, "none");
}

TEST(Edge, BadRequestsNameTheFieldAtFault) {
    Driver d;
    const auto status = [&](const std::string& body) {
        http::Request r;
        r.method = "POST";
        r.target = "/v1/chat/completions";
        r.body = body;
        d.give({ClientRequest{{1}, std::move(r)}});
        return std::pair(d.replies.back().status, d.replies.back().body);
    };
    EXPECT_EQ(status("{").first, 400);
    EXPECT_NE(status(R"({"model":"m"})").second.find("\"param\":\"messages\""), std::string::npos);
    EXPECT_NE(status(R"({"model":"m","messages":[{"role":1}]})").second.find("messages[0].role"),
              std::string::npos);
    EXPECT_NE(status(R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":-1})")
                  .second.find("max_tokens"),
              std::string::npos);
    EXPECT_EQ(status(std::string(100'000, '[')).first, 400);  // depth costs no stack
    expect_empty(d);
}

}  // namespace
}  // namespace chalksail::core::testing
