// The chat codec: offsets and rewriting of members, event streams in any split, joining of chunks.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "base/json.hpp"
#include "chat/collect.hpp"
#include "chat/request.hpp"
#include "chat/sse.hpp"

namespace chalksail::chat {
namespace {

TEST(ChatRequest, MembersCoverTheirBytes) {
    const std::string body =
        R"( { "a" : [1, {"b":2}] ,"c":"x\"}," , "d":-1.50e2,"e":null, "f" : {"g":[[]]} } )";
    const auto members = members_of(body);
    ASSERT_TRUE(members);
    ASSERT_EQ(members->size(), 5U);
    const auto text = [&](std::size_t i) {
        return body.substr((*members)[i].begin, (*members)[i].end - (*members)[i].begin);
    };
    EXPECT_EQ(text(0), R"("a" : [1, {"b":2}])");
    EXPECT_EQ(text(1), R"("c":"x\"},")");
    EXPECT_EQ(text(2), R"("d":-1.50e2)");
    EXPECT_EQ(text(3), R"("e":null)");
    EXPECT_EQ(text(4), R"("f" : {"g":[[]]})");
    EXPECT_EQ(body.substr((*members)[2].value, (*members)[2].end - (*members)[2].value), "-1.50e2");
}

TEST(ChatRequest, RewriteKeepsAllOtherBytes) {
    const std::string body = R"({"model":"m","n" : 1.0,"stream":true,"x":{"y": [1,2.50]},"stream":false})";
    const auto out =
        rewrite(body, *members_of(body), {{"stream", "true"}, {"n", std::nullopt}, {"new", "[]"}});
    EXPECT_EQ(out, R"({"model":"m","x":{"y": [1,2.50]},"stream":true,"new":[]})");
    EXPECT_EQ(rewrite("{}", *members_of("{}"), {{"a", "1"}}), R"({"a":1})");
}

TEST(ChatRequest, InvalidObjectsAreRejected) {
    for (const char* bad : {"", "[]", "1", "{", "{}x", "{\"a\":}", "\"x\"", "{\"a\":\"\xff\"}"})
        EXPECT_FALSE(members_of(bad)) << bad;
    EXPECT_FALSE(members_of("{\"a\":" + std::string(100, '[') + std::string(100, ']') + "}", 64));
}

TEST(ChatRequest, ParsesTheFieldsForRouting) {
    const std::string body =
        R"({"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":5,"max_completion_tokens":9,
        "user":"u","prompt_cache_key":"s1","messages":[{"role":"system","content":"be kind"},{"role":"user","content":"hi"}]})";
    const auto r = parse_request(body);
    ASSERT_TRUE(r);
    EXPECT_TRUE(r->stream && r->include_usage);
    EXPECT_EQ(r->max_output, 9);
    EXPECT_EQ(r->session, "s1");
    EXPECT_EQ(r->prefix.size(), 16U);
    EXPECT_GT(r->prompt_bytes, r->prefix_bytes);
    // Equal leading texts give the same prefix, whatever follows; different leading texts give different
    // ones.
    const auto with = [](const std::string& system, const std::string& user) {
        return parse_request(R"({"model":"m","messages":[{"role":"system","content":")" + system +
                             R"("},{"role":"user","content":")" + user + R"("}]})")
            ->prefix;
    };
    EXPECT_EQ(with("be kind", "a"), with("be kind", "b"));
    EXPECT_NE(with("be kind", "a"), with("be brief", "a"));
    EXPECT_TRUE(parse_request(R"({"model":"m","messages":[{"role":"user","content":"x"}]})")->prefix.empty());
}

TEST(ChatRequest, ErrorsNameTheInvalidField) {
    const auto param = [](const std::string& more) {
        const auto r =
            parse_request(R"({"model":"m","messages":[{"role":"user","content":"x"}])" + more + "}");
        return r ? std::string("none") : r.error().param;
    };
    EXPECT_EQ(param(""), "none");
    EXPECT_EQ(param(R"(,"stream":1)"), "stream");
    EXPECT_EQ(param(R"(,"stream_options":{})"), "stream_options");
    EXPECT_EQ(param(R"(,"stream":true,"stream_options":{"include_usage":2})"),
              "stream_options.include_usage");
    EXPECT_EQ(param(R"(,"max_tokens":0)"), "max_tokens");
    EXPECT_EQ(param(R"(,"max_tokens":1.5)"), "max_tokens");
    EXPECT_EQ(param(R"(,"user":5)"), "user");
    EXPECT_EQ(param(R"(,"max_tokens":null,"user":null)"), "none");
}

TEST(Sse, AnySplitGivesTheSameEvents) {
    const std::string bytes =
        ": note\r\ndata: one\r\n\r\ndata:two\ndata: three\n\nevent: x\ndata: four\r\rdata: [DONE]\n\n";
    const std::vector<std::string> wanted = {"one", "two\nthree", "four", "[DONE]"};
    for (std::size_t step = 1; step <= bytes.size(); ++step) {
        SseReader reader(1000);
        std::vector<std::string> got;
        for (std::size_t at = 0; at < bytes.size(); at += step)
            for (auto& e : reader.feed(std::string_view(bytes).substr(at, step))) got.push_back(e);
        EXPECT_EQ(got, wanted) << step;
    }
}

TEST(Sse, EventSizeIsBounded) {
    SseReader reader(100);
    for (int i = 0; i < 50; ++i) (void)reader.feed("data: 12345678\n");
    EXPECT_TRUE(reader.overflowed());
}

TEST(Sse, FormattedEventsAreReadBack) {
    EXPECT_TRUE(rc::check("format then read", [](const std::vector<std::uint8_t>& raw) {
        std::string data;
        for (const auto c : raw) data += static_cast<char>('\n' + c % 80);
        std::erase(data, '\r');
        RC_PRE(!data.empty());
        SseReader reader(100'000);
        const auto events = reader.feed(format_event(data));
        RC_ASSERT(events.size() == 1U);
        RC_ASSERT(events[0] == data);
    }));
}

TEST(Collect, JoinsToolCallsLogprobsAndUnknownFields) {
    Collector c(10'000);
    EXPECT_TRUE(c.add(
        R"({"id":"x","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"","reasoning_content":"th"}}],"system_fingerprint":"f"})"));
    EXPECT_TRUE(c.add(
        R"({"id":"x","choices":[{"index":0,"delta":{"content":"he","reasoning_content":"ink","tool_calls":[{"index":0,"id":"c1","type":"function","function":{"name":"price","arguments":"{\"a\""}}]},"logprobs":{"content":[{"token":"he"}]}}]})"));
    EXPECT_TRUE(c.add(
        R"({"id":"x","choices":[{"index":0,"delta":{"content":"llo","tool_calls":[{"index":1,"id":"c2","function":{"name":"b","arguments":""}},{"index":0,"function":{"arguments":":1}"}}]},"logprobs":{"content":[{"token":"llo"}]},"finish_reason":"tool_calls"}]})"));
    EXPECT_TRUE(c.add(R"({"id":"x","choices":[{"index":1,"delta":{"content":"second"}}]})"));
    EXPECT_TRUE(c.add(R"({"id":"x","choices":[],"usage":{"prompt_tokens":3}})"));
    json::Document d;
    ASSERT_TRUE(json::parse(c.finish(), d));
    EXPECT_EQ(d["object"], "chat.completion");
    EXPECT_EQ(d["system_fingerprint"], "f");
    EXPECT_EQ(d["usage"]["prompt_tokens"].GetInt(), 3);
    ASSERT_EQ(d["choices"].Size(), 2U);
    const auto& first = d["choices"][0];
    EXPECT_EQ(first["message"]["content"], "hello");
    EXPECT_EQ(first["message"]["reasoning_content"], "think");
    EXPECT_EQ(first["finish_reason"], "tool_calls");
    EXPECT_EQ(first["logprobs"]["content"].Size(), 2U);
    ASSERT_EQ(first["message"]["tool_calls"].Size(), 2U);
    EXPECT_EQ(first["message"]["tool_calls"][0]["function"]["arguments"], "{\"a\":1}");
    EXPECT_EQ(first["message"]["tool_calls"][1]["id"], "c2");
    EXPECT_FALSE(first["message"]["tool_calls"][0].HasMember("index"));
    EXPECT_EQ(d["choices"][1]["message"]["content"], "second");
}

TEST(Collect, OversizedAndMalformedChunksAreRejected) {
    Collector c(100);
    EXPECT_TRUE(c.add(R"({"choices":[]})"));
    EXPECT_FALSE(c.add(std::string(200, ' ')));
    for (const char* bad :
         {"[]", "{", R"({"choices":1})", R"({"choices":[1]})", R"({"choices":[{"index":"a"}]})"})
        EXPECT_FALSE(Collector(1000).add(bad)) << bad;
}

}  // namespace
}  // namespace chalksail::chat
