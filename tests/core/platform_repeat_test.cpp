// What may still begin when its connection is ready, and what may be repeated, on the users' platform.
#include <gtest/gtest.h>

#include "core/platform_driver.hpp"

namespace chalksail::core::testing {
namespace {

// ---- the last look before the first byte ----

http::Headers headers_of(const Call& call) { return call.headers; }

// Guards against a time told to a server that was right when the attempt was decided on, before its dial.
TEST(PlatformEdge, TimeLeftHeaderIsThatOfTheFirstByte) {
    Platform d;
    d.get(platform_text::post("9b1f"));
    const auto call = d.sent().back();
    const auto at_decision = platform::parse_time_remaining(call.headers.get("x-time-left"));
    auto headers = headers_of(call);
    EXPECT_TRUE(d.edge.may_begin(d.now + 200ms, call.call, headers));
    EXPECT_EQ(platform::parse_time_remaining(headers.get("x-time-left")), *at_decision - 200ms);
    EXPECT_EQ(headers.all().size(), call.headers.all().size());
}

TEST(PlatformEdge, NothingBeginsPastTheDeadlineOrForADisconnectedClient) {
    Platform d;
    d.get(platform_text::post("9b1f"));
    const auto call = d.sent().back();
    auto headers = headers_of(call);
    EXPECT_FALSE(d.edge.may_begin(d.now + 4s, call.call, headers));
    d.give({ClientClosed{{1}}});
    EXPECT_FALSE(d.edge.may_begin(d.now, call.call, headers));
    expect_empty(d);
}

// What is kept back tells nothing of its server, and is answered: refused if nothing of it can have run.
TEST(PlatformEdge, WithheldAttemptIsAnsweredAndNoServersFault) {
    Platform d;
    d.get(platform_text::post("9b1f"));
    d.give({CallFailed{d.sent().back().call, engine::ExchangeEnd::expired, ""}});
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 503);
    EXPECT_EQ(d.attempts.back().outcome, "moot");
    expect_empty(d);
}

// Guards against a repeat that is decided on inside the window and written after it.
TEST(PlatformEdge, DeduplicationWindowCountsAtTheFirstByte) {
    std::string text = platform_text::configuration_text();
    const std::string once =
        R"("effect":"once","gain":3.0,"group":"all","late_worth":0.2,"name":"order","streamed":true,"window_ns":0)";
    const auto at = text.find(once);
    ASSERT_NE(at, std::string::npos);
    text.replace(
        at, once.size(),
        R"("effect":"by_key","gain":3.0,"group":"all","late_worth":0.2,"name":"order","streamed":true,"window_ns":600000000)");
    Platform d(text);
    const auto first = d.to_decode("order");
    d.written(first);
    const Time begun = d.now;
    d.now += 50ms;
    d.give({CallFailed{first, engine::ExchangeEnd::connection_closed, ""}});
    ASSERT_EQ(d.sent().size(), 3U);  // sent again: read anew, or written
    const auto again = d.sent().back();
    auto headers = headers_of(again);
    EXPECT_TRUE(d.edge.may_begin(begun + 500ms, again.call, headers));
    EXPECT_FALSE(d.edge.may_begin(begun + 600ms, again.call, headers));
}

// Each way in which a write may end, with none, a part and all of the request out: a `once` request goes
// again if and only if its last byte is not out, or the server says that it did not run.
enum class Out { none, part, all };
using EndOfWrite = std::tuple<engine::ExchangeEnd, Out>;
class NonIdempotentDecode : public ::testing::TestWithParam<EndOfWrite> {};
TEST_P(NonIdempotentDecode, IsRetriedOnlyIfItsLastByteIsNotWritten) {
    const auto [ending, out] = GetParam();
    Platform d;
    const auto write = d.to_decode("order");
    std::vector<Input> inputs;
    // The end first: what went out counts all the same.
    inputs.emplace_back(CallFailed{write, ending, ""});
    if (out != Out::none) inputs.emplace_back(CallSent{write});
    if (out == Out::all) inputs.emplace_back(CallWritten{write});
    d.give(std::move(inputs));
    const bool may_have_run = out == Out::all;
    EXPECT_EQ(d.sent().size(), may_have_run ? 2U : 3U);
    ASSERT_EQ(d.replies.size(), may_have_run ? 1U : 0U);
    if (!d.replies.empty()) {
        EXPECT_EQ(d.replies[0].status, 502);
    }
}
INSTANTIATE_TEST_SUITE_P(Kinds, NonIdempotentDecode,
                         ::testing::Combine(::testing::Values(engine::ExchangeEnd::connection_closed,
                                                              engine::ExchangeEnd::dial_failed,
                                                              engine::ExchangeEnd::timed_out),
                                            ::testing::Values(Out::none, Out::part, Out::all)));

class NonIdempotentEarlyAnswer : public ::testing::TestWithParam<std::tuple<int, bool>> {};
TEST_P(NonIdempotentEarlyAnswer, IsProofOnlyBeforeTheLastByte) {
    const auto [status, whole] = GetParam();
    Platform d;
    const auto write = d.to_decode("order");
    d.give({CallSent{write}});
    if (whole) d.give({CallWritten{write}});
    d.give({CallHead{write, status, {}}, CallDone{write}});
    EXPECT_EQ(d.sent().size(), whole ? 2U : 3U) << status;
}
INSTANTIATE_TEST_SUITE_P(Kinds, NonIdempotentEarlyAnswer,
                         ::testing::Combine(::testing::Values(400, 404, 408, 413, 500, 503),
                                            ::testing::Bool()));
}  // namespace
}  // namespace chalksail::core::testing
