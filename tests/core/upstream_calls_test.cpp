// Tests calls in flight, their timers, and the classification of ended attempts.
#include "core/upstream_calls.hpp"

#include <gtest/gtest.h>

#include "core/attempt_result.hpp"
#include "core/driver.hpp"

namespace chalksail::core::testing {
namespace {

constexpr Time kNow{1000s};

TEST(UpstreamCalls, BeginEmitsTheCallAndEndRemovesItWithItsTimer) {
    UpstreamCalls calls;
    StepOutput output;
    UpstreamCall& call = calls.begin(CallKind::health_check, listed("r1", "reader"),
                                     {"GET", "/health", {}, ""}, 0, kNow, output);
    const auto effects = output.take_effects();
    ASSERT_EQ(effects.size(), 1U);
    EXPECT_EQ(std::get<Call>(effects[0]).call, call.id);
    EXPECT_EQ(std::get<Call>(effects[0]).target, "/health");

    calls.set_timer(call, kNow + 1s);
    EXPECT_EQ(calls.next_timer(), kNow + 1s);
    EXPECT_EQ(calls.servers_in_use(), std::set<std::string>{"r1"});
    const CallId id = call.id;
    EXPECT_EQ(calls.end(id).server, "r1");
    EXPECT_EQ(calls.find(id), nullptr);
    EXPECT_EQ(calls.next_timer(), std::nullopt);
    EXPECT_EQ(calls.count(), 0U);
}

TEST(UpstreamCalls, DueTimersFireOnceAndLeaveTheCallInFlight) {
    UpstreamCalls calls;
    StepOutput output;
    UpstreamCall& call = calls.begin(CallKind::release, listed("r1", "reader"), {}, 0, kNow, output);
    calls.set_timer(call, kNow + 1s);
    EXPECT_EQ(calls.pop_due(kNow), std::nullopt);
    EXPECT_EQ(calls.pop_due(kNow + 1s), call.id);
    EXPECT_EQ(calls.pop_due(kNow + 1s), std::nullopt);
    EXPECT_EQ(calls.count(), 1U);
}

TEST(UpstreamCalls, OnlyUnsentAttemptsAreQueued) {
    UpstreamCalls calls;
    StepOutput output;
    const CallId queued = calls.begin(CallKind::attempt, listed("r1", "reader"), {}, 0, kNow, output).id;
    calls.begin(CallKind::attempt, listed("r1", "reader"), {}, 0, kNow, output).advance(SendPhase::sending);
    calls.begin(CallKind::release, listed("r1", "reader"), {}, 0, kNow, output);
    calls.begin(CallKind::attempt, listed("r2", "reader"), {}, 0, kNow, output);
    EXPECT_EQ(calls.queued_attempts({"r1"}), std::vector<CallId>{queued});
}

TEST(UpstreamCalls, SendPhaseNeverGoesBack) {
    UpstreamCall call;
    EXPECT_FALSE(call.sent());
    call.advance(SendPhase::written);
    call.advance(SendPhase::sending);
    EXPECT_TRUE(call.sent());
    EXPECT_TRUE(call.written());
}

TEST(AttemptResult, ClassifiesWhatTheEndOfAnAttemptProves) {
    const auto edge_settings = settings();
    const auto protocol = make_protocol(edge_settings);
    UpstreamCall decode;
    decode.server_kind = "writer";
    EXPECT_FALSE(may_have_arrived(*protocol, decode));
    EXPECT_FALSE(
        classify_attempt(*protocol, decode, engine::ExchangeEnd::withdrawn, false).may_have_run(decode));
    decode.advance(SendPhase::written);
    EXPECT_TRUE(may_have_arrived(*protocol, decode));
    const auto reset = classify_attempt(*protocol, decode, engine::ExchangeEnd::connection_closed, false);
    EXPECT_TRUE(reset.may_have_run(decode));
    EXPECT_FALSE(reset.may_have_left_kv_state(decode));
    EXPECT_FALSE(reset.proves_arrival(decode));

    UpstreamCall prefill;
    prefill.server_kind = "reader";
    prefill.prefill = true;
    EXPECT_FALSE(classify_attempt(*protocol, prefill, engine::ExchangeEnd::cancelled, false)
                     .may_have_left_kv_state(prefill));
    prefill.advance(SendPhase::sending);
    const auto cancelled = classify_attempt(*protocol, prefill, engine::ExchangeEnd::cancelled, false);
    EXPECT_TRUE(cancelled.may_have_left_kv_state(prefill));
    EXPECT_FALSE(cancelled.may_have_run(prefill));
}

}  // namespace
}  // namespace chalksail::core::testing
