// Tests which attempts may still begin once their connection is ready, and which may be repeated, on the
// users' platform.
#include <gtest/gtest.h>

#include "core/platform_driver.hpp"

namespace chalksail::core::testing {
namespace {

// ---- the check before the first byte ----

http::Headers headers_of(const Call& call) { return call.headers; }

// Guards against a time header that was computed before the connection was established and is out of date.
TEST(PlatformEdge, TimeLeftHeaderIsComputedAtTheFirstByte) {
    Platform d;
    d.receive(platform_text::post("9b1f"));
    const auto call = d.sent().back();
    const auto at_decision = platform::parse_time_remaining(call.headers.get("x-time-left"));
    auto headers = headers_of(call);
    EXPECT_TRUE(d.edge.may_begin(d.now + 200ms, call.call, headers));
    EXPECT_EQ(platform::parse_time_remaining(headers.get("x-time-left")), *at_decision - 200ms);
    EXPECT_EQ(headers.all().size(), call.headers.all().size());
}

TEST(PlatformEdge, NoAttemptBeginsAfterTheDeadlineOrForADisconnectedClient) {
    Platform d;
    d.receive(platform_text::post("9b1f"));
    const auto call = d.sent().back();
    auto headers = headers_of(call);
    EXPECT_FALSE(d.edge.may_begin(d.now + 4s, call.call, headers));
    d.step({ClientClosed{{1}}});
    EXPECT_FALSE(d.edge.may_begin(d.now, call.call, headers));
    expect_no_open_work(d);
}

// An expired attempt says nothing about its server. The request is rejected, as it cannot have run.
TEST(PlatformEdge, ExpiredAttemptIsRejectedWithoutBlamingTheServer) {
    Platform d;
    d.receive(platform_text::post("9b1f"));
    d.step({CallFailed{d.sent().back().call, engine::ExchangeEnd::expired, ""}});
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 503);
    EXPECT_EQ(d.attempts.back().outcome, "moot");
    expect_no_open_work(d);
}

// Guards against a repeated attempt that is decided within the deduplication window and written after it.
TEST(PlatformEdge, DeduplicationWindowIsCheckedAtTheFirstByte) {
    std::string text = platform_text::configuration_text();
    const std::string once =
        R"("effect":"once","gain":3.0,"group":"all","late_worth":0.2,"name":"order","streamed":true,"window_ns":0)";
    const auto at = text.find(once);
    ASSERT_NE(at, std::string::npos);
    text.replace(
        at, once.size(),
        R"("effect":"by_key","gain":3.0,"group":"all","late_worth":0.2,"name":"order","streamed":true,"window_ns":600000000)");
    Platform d(text);
    const auto first = d.advance_to_decode("order");
    d.written(first);
    const Time begun = d.now;
    d.now += 50ms;
    d.step({CallFailed{first, engine::ExchangeEnd::connection_closed, ""}});
    ASSERT_EQ(d.sent().size(), 3U);  // repeated as a prefill or as a decode
    const auto again = d.sent().back();
    auto headers = headers_of(again);
    EXPECT_TRUE(d.edge.may_begin(begun + 500ms, again.call, headers));
    EXPECT_FALSE(d.edge.may_begin(begun + 600ms, again.call, headers));
}

// How much of a decode attempt was written before it ended. A non-idempotent request is retried if and only
// if the last byte was not written, or the server reports that it did not run.
enum class Written { none, part, all };
using DecodeEnd = std::tuple<engine::ExchangeEnd, Written>;
class NonIdempotentDecode : public ::testing::TestWithParam<DecodeEnd> {};
TEST_P(NonIdempotentDecode, IsRetriedOnlyIfItsLastByteIsNotWritten) {
    const auto [ending, written] = GetParam();
    Platform d;
    const auto decode = d.advance_to_decode("order");
    std::vector<Input> inputs;
    // The failure comes first in the step, but the written bytes must still count.
    inputs.emplace_back(CallFailed{decode, ending, ""});
    if (written != Written::none) inputs.emplace_back(CallSent{decode});
    if (written == Written::all) inputs.emplace_back(CallWritten{decode});
    d.step(std::move(inputs));
    const bool may_have_run = written == Written::all;
    EXPECT_EQ(d.sent().size(), may_have_run ? 2U : 3U);
    ASSERT_EQ(d.responses.size(), may_have_run ? 1U : 0U);
    if (!d.responses.empty()) {
        EXPECT_EQ(d.responses[0].status, 502);
    }
}
INSTANTIATE_TEST_SUITE_P(Kinds, NonIdempotentDecode,
                         ::testing::Combine(::testing::Values(engine::ExchangeEnd::connection_closed,
                                                              engine::ExchangeEnd::dial_failed,
                                                              engine::ExchangeEnd::timed_out),
                                            ::testing::Values(Written::none, Written::part, Written::all)));

class NonIdempotentEarlyResponse : public ::testing::TestWithParam<std::tuple<int, bool>> {};
TEST_P(NonIdempotentEarlyResponse, IsRetriedOnlyBeforeTheLastByteIsWritten) {
    const auto [status, fully_written] = GetParam();
    Platform d;
    const auto decode = d.advance_to_decode("order");
    d.step({CallSent{decode}});
    if (fully_written) d.step({CallWritten{decode}});
    d.step({CallHead{decode, status, {}}, CallDone{decode}});
    EXPECT_EQ(d.sent().size(), fully_written ? 2U : 3U) << status;
}
INSTANTIATE_TEST_SUITE_P(Kinds, NonIdempotentEarlyResponse,
                         ::testing::Combine(::testing::Values(400, 404, 408, 413, 500, 503),
                                            ::testing::Bool()));

// ---- an id that comes again ----

constexpr const char* kOnceClass = "order";
constexpr const char* kIdempotentClass = "chat";

// Begins a decode of request 9b1f that is written to its server, and closes its client's connection.
void leave_during_decode(Platform& d, const std::string& service_class) {
    const auto decode = d.advance_to_decode(service_class);
    d.written(decode);
    d.step({ClientClosed{{1}}});
    d.advance_time(1s);
    expect_no_open_work(d);
}

// Guards against an id that ran twice: its client left during the decode, which may have run, and sent the
// request again.
TEST(PlatformEdge, IdThatMayHaveRunIsNotRunAgainAfterItsClientLeft) {
    Platform d;
    leave_during_decode(d, kOnceClass);
    const auto attempts = d.sent().size();
    d.receive(platform_text::post("9b1f", kOnceClass), 2);
    EXPECT_EQ(d.sent().size(), attempts);
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 409);  // neither 429 nor 503, which promise that it has not run
    expect_no_open_work(d);
}

// The same if it failed, as a client may treat any end of its connection like a failure.
TEST(PlatformEdge, IdThatMayHaveRunIsNotRunAgainAfterItFailed) {
    Platform d;
    const auto decode = d.advance_to_decode(kOnceClass);
    d.written(decode);
    d.step({CallFailed{decode, engine::ExchangeEnd::connection_closed, ""}});
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 502);
    const auto attempts = d.sent().size();
    d.receive(platform_text::post("9b1f", kOnceClass), 2);
    EXPECT_EQ(d.sent().size(), attempts);
    ASSERT_EQ(d.responses.size(), 2U);
    EXPECT_EQ(d.responses[1].status, 409);
}

TEST(PlatformEdge, IdOfAnIdempotentClassMayRunAgain) {
    Platform d;
    leave_during_decode(d, kIdempotentClass);
    const auto attempts = d.sent().size();
    d.receive(platform_text::post("9b1f", kIdempotentClass), 2);
    EXPECT_EQ(d.sent().size(), attempts + 1);
}

// A client that left before any decode was written may send its request again: it has not run.
TEST(PlatformEdge, IdThatHasNotRunMayComeAgain) {
    Platform d;
    d.receive(platform_text::post("9b1f", kOnceClass));
    d.step({ClientClosed{{1}}});
    d.advance_time(1s);
    const auto attempts = d.sent().size();
    d.receive(platform_text::post("9b1f", kOnceClass), 2);
    EXPECT_EQ(d.sent().size(), attempts + 1);
}

}  // namespace
}  // namespace chalksail::core::testing
