// The platform's codecs: which input they accept, and which they reject.
#include <gtest/gtest.h>

#include "platform/answer.hpp"
#include "platform/platform_fixture.hpp"
#include "platform/request.hpp"

namespace chalksail::platform::testing {
namespace {

using namespace std::chrono_literals;

// ---- configuration ----

TEST(PlatformConfiguration, EnvironmentVariablesOverrideTheFile) {
    const auto list = list_text(instance("s-1", "reader", "10.0.0.1:80"));
    const auto c = parse_configuration(configuration_text("10.2.0.1:8500", list), {"n7", "10.0.0.9:90", ""});
    ASSERT_TRUE(c) << c.error();
    EXPECT_EQ(c->name, "n7");
    EXPECT_EQ(c->listen, (Address{"10.0.0.9", 90}));
    EXPECT_EQ(c->discovery, (Address{"10.2.0.1", 8500}));
    EXPECT_EQ(c->seed, 0x8c1f30d27a5be964U);
    EXPECT_EQ(c->limits.sockets, 256);
    EXPECT_EQ(c->server_idle_timeout, 15s);
    EXPECT_EQ(c->settings.classes.at(1).idempotency, Idempotency::non_idempotent);
    ASSERT_TRUE(c->known);
    EXPECT_EQ(c->known->endpoints.at(0).id, "s-1");
}

TEST(PlatformConfiguration, ErrorsNameTheMember) {
    const auto replace = [](std::string text, const std::string& from, const std::string& to) {
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    const auto good = configuration_text();
    for (const auto& [text, member] :
         {std::pair<std::string, std::string>{"{", "JSON"},
          {replace(good, "127.0.0.1:1", "nowhere"), "discovery"},
          {replace(good, "8c1f30d27a5be964", "xyz"), "seed"},
          {replace(good, "\"sockets\":256", "\"sockets\":3"), "sockets"},
          {replace(good, "\"send_cap\":5", "\"send_cap\":\"5\""), "send_cap"},
          {replace(good, "\"settings\":{", "\"settings\":[],\"x\":{"), "settings"}}) {
        const auto c = parse_configuration(text, {});
        ASSERT_FALSE(c) << text;
        EXPECT_NE(c.error().find(member), std::string::npos) << c.error();
    }
}

// ---- endpoint list ----

TEST(PlatformEndpointList, IsAcceptedOrRejectedAsAWhole) {
    const auto good = parse_endpoint_list(list_text(instance("a", "reader", "10.0.0.1:80") + "," +
                                                        instance("b", "writer", "10.0.0.2:80", "draining") +
                                                        "," + instance("c", "writer", "", "removed"),
                                                    43, false));
    ASSERT_TRUE(good) << good.error();
    EXPECT_EQ(good->generation, 43);
    EXPECT_FALSE(good->complete);
    EXPECT_EQ(good->endpoints.at(1).state, EndpointState::draining);
    EXPECT_EQ(good->endpoints.at(2).state, EndpointState::removed);
    for (const auto& bad :
         {std::string("[1]"), std::string(R"({"generation":1})"), std::string("{"),
          list_text(instance("a", "r", "10.0.0.1:80") + "," + instance("a", "r", "10.0.0.2:80")),
          list_text(instance("a", "r", "10.0.0.1:80", "asleep")), list_text(instance("a", "r", "host:80")),
          list_text(instance("", "r", "10.0.0.1:80")), list_text("3")})
        EXPECT_FALSE(parse_endpoint_list(bad)) << bad;
}

TEST(PlatformEndpointList, AnySplitGivesTheSameObjects) {
    const std::string text = "{\"a\":1}\r\n\n\n{\"b\":2}\n{\"c\"";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        ObjectReader reader(100);
        std::vector<std::string> lines;
        for (std::size_t at = 0; at < text.size(); at += step)
            for (auto& l : reader.feed(std::string_view(text).substr(at, step)))
                lines.push_back(std::move(l));
        EXPECT_EQ(lines, (std::vector<std::string>{"{\"a\":1}", "{\"b\":2}"}));
    }
    ObjectReader small(10);
    EXPECT_TRUE(small.feed(std::string(11, 'x')).empty());
    EXPECT_TRUE(small.overflowed());
}

// ---- requests ----

http::Request request(const std::string& text) {
    http::RequestReader reader({});
    std::string_view bytes = text;
    auto got = reader.feed(bytes);
    EXPECT_TRUE(std::holds_alternative<http::Request>(got));
    return std::holds_alternative<http::Request>(got) ? std::get<http::Request>(got) : http::Request{};
}

TEST(PlatformRequest, HeadersAreParsed) {
    const auto r = read_request(request(post("9b1f", "chat", "X-Repeat: again\r\n", "4800m")));
    ASSERT_TRUE(r) << r.error();
    EXPECT_EQ(r->id, "9b1f");
    EXPECT_EQ(r->session, "s1");
    EXPECT_EQ(r->prefix, "5c0f");
    EXPECT_EQ(r->time_remaining, 4800ms);
    EXPECT_EQ(r->prompt_tokens, 500);
    EXPECT_EQ(r->shared_tokens, 200);
    EXPECT_EQ(r->max_output, 80);
    EXPECT_TRUE(r->resumes_stream);
    EXPECT_FALSE(r->retry);
    EXPECT_TRUE(read_request(request(post("9b1f", "chat", "X-Repeat: 1\r\n")))->retry);
}

class BadRequest : public ::testing::TestWithParam<std::string> {};
TEST_P(BadRequest, IsRejected) { EXPECT_FALSE(read_request(request(GetParam()))); }
INSTANTIATE_TEST_SUITE_P(Kinds, BadRequest,
                         ::testing::Values(
                             post(""), post("a b"), post("a/../b"), post(std::string(200, 'a')),
                             post("a", ""), post("a", "chat", "", ""), post("a", "chat", "", "soon"),
                             post("a", "chat", "", "-5m"), post("a", "chat", "", "0m"),
                             post("a", "chat", "", "4800"), post("a", "chat", "", "99999999999999999999m"),
                             post("a", "chat", "", "9999999999m"), post("a", "chat", "", "1e3m"),
                             post("a", "chat", "X-Correlation-Id: b\r\n"),
                             post("a", "chat", "X-Time-Left: 5m\r\n"),
                             post("a", "chat", "X-Repeat: twice\r\n"),
                             [] {
                                 auto text = post("a");
                                 text.replace(text.find("prompt_len=500"), 14, "prompt_len=nan");
                                 return text;
                             }(),
                             [] {
                                 auto text = post("a");
                                 text.back() = ' ';
                                 return text;
                             }()));

TEST(PlatformRequest, DurationsAreParsedAndFormatted) {
    EXPECT_EQ(parse_time_remaining("350u"), Duration(350us));
    EXPECT_EQ(format_time_remaining(4800ms), "4800m");
    EXPECT_EQ(format_retry_after(250ms), "0.250");
}

// ---- responses ----

TEST(PlatformAnswer, OutcomesFollowThePlatformsRules) {
    const auto of = [](AttemptObservation f) { return classify(f).outcome; };
    const AttemptObservation sent{ExchangeEnd::response_received, true, false, false, false, 0, false};
    const auto with = [&](auto change) {
        AttemptObservation f = sent;
        change(f);
        return f;
    };
    EXPECT_EQ(of(with([](auto& f) { f.status = 200, f.started = f.complete = true; })), AttemptOutcome::ok);
    EXPECT_EQ(of(with([](auto& f) { f.status = 200, f.started = true; })),
              AttemptOutcome::reset);  // no [DONE]
    EXPECT_EQ(of(with([](auto& f) { f.status = 500; })), AttemptOutcome::error);
    EXPECT_EQ(of(with([](auto& f) { f.status = 503; })), AttemptOutcome::error);  // without its header
    EXPECT_EQ(of(with([](auto& f) { f.status = 503, f.not_run = true; })), AttemptOutcome::at_capacity);
    EXPECT_EQ(of(with([](auto& f) { f.status = 504, f.not_run = true; })), AttemptOutcome::at_capacity);
    EXPECT_EQ(of(with([](auto& f) { f.status = 500, f.not_run = true; })), AttemptOutcome::error);
    EXPECT_TRUE(classify(with([](auto& f) { f.status = 410, f.not_run = true; })).kv_state_missing);
    EXPECT_EQ(of(with([](auto& f) { f.status = 202, f.prefill = f.complete = true; })),
              AttemptOutcome::prefilled);
    EXPECT_EQ(of(with([](auto& f) { f.status = 202, f.complete = true; })),
              AttemptOutcome::error);  // not at a prefill server
    // The outcome depends on whether the request's last byte was sent.
    for (const auto ending : {ExchangeEnd::no_connection, ExchangeEnd::connection_closed,
                              ExchangeEnd::timed_out, ExchangeEnd::cancelled}) {
        AttemptObservation f;
        f.ending = ending;
        EXPECT_EQ(of(f), AttemptOutcome::connect_failed);
        f.written = true;
        EXPECT_NE(of(f), AttemptOutcome::connect_failed);
    }
    EXPECT_EQ(of(with([](auto& f) { f.ending = ExchangeEnd::connection_closed; })), AttemptOutcome::reset);
    EXPECT_EQ(of(with([](auto& f) { f.ending = ExchangeEnd::timed_out; })), AttemptOutcome::timeout);
    EXPECT_EQ(of(with([](auto& f) { f.ending = ExchangeEnd::malformed_response; })), AttemptOutcome::error);
    EXPECT_EQ(of(with([](auto& f) { f.ending = ExchangeEnd::malformed_response, f.started = true; })),
              AttemptOutcome::reset);
}

TEST(PlatformAnswer, AnySplitGivesTheSameEvents) {
    const std::string text =
        "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
        "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":50,\"completion_tokens\":2,"
        "\"prompt_tokens_details\":{\"cached_tokens\":40}}}\n\ndata: [DONE]\n\n";
    for (std::size_t step = 1; step <= text.size(); ++step) {
        EventReader reader(1000);
        std::string forwarded;
        std::int64_t count = 0;
        for (std::size_t at = 0; at < text.size(); at += step) {
            EXPECT_FALSE(reader.done());
            const auto events = reader.feed(std::string_view(text).substr(at, step));
            forwarded += events.bytes;
            count += events.count;
        }
        EXPECT_EQ(forwarded, text);
        EXPECT_EQ(count, 3);
        EXPECT_TRUE(reader.done());
        EXPECT_EQ(reader.cached_tokens(), 40);
        EXPECT_EQ(reader.completion_tokens(), 2);
    }
}

TEST(PlatformAnswer, MalformedStreamsAreDetected) {
    for (const auto& bad :
         {std::string("noise\n\n"), std::string(2000, 'x'), std::string("data: [DONE]\n\ndata: x\n\n")}) {
        EventReader reader(1000);
        const auto events = reader.feed("data: a\n\n" + bad);
        EXPECT_TRUE(reader.malformed()) << bad;
        EXPECT_FALSE(reader.done());
        EXPECT_GE(events.count, 1);
    }
    EventReader truncated(1000);
    EXPECT_EQ(truncated.feed("data: a\n\ndata: [DONE]").count, 1);
    EXPECT_FALSE(truncated.done());
}

}  // namespace
}  // namespace chalksail::platform::testing
