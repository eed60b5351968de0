// Tests held KV states and their releases, both for releases that cover one attempt (vLLM) and for releases
// that cover the whole request (the platform).
#include "core/reserved_kv_states.hpp"

#include <gtest/gtest.h>

#include "core/driver.hpp"

namespace chalksail::core::testing {
namespace {

constexpr RequestId kRequest{1};

class ReservedKvStatesTest : public ::testing::Test {
protected:
    explicit ReservedKvStatesTest(config::ProtocolKind kind = config::ProtocolKind::vllm)
        : edge_settings(settings()) {
        edge_settings.protocol = kind;
        edge_settings.limits.release_attempts = 2;
        protocol = make_protocol(edge_settings);
        states = std::make_unique<ReservedKvStates>(edge_settings, *protocol, endpoints, calls);
        states->track(kRequest, "q1");
        (void)endpoints.apply({EndpointUpdateKind::snapshot,
                               {listed("r1", "reader"), listed("r2", "reader"), listed("w1", "writer")}},
                              now, output);
        (void)output.take_effects();
    }

    // An attempt that has been written and is no longer in flight.
    static UpstreamCall attempt(const std::string& server, bool prefill) {
        UpstreamCall call;
        call.kind = CallKind::attempt;
        call.server = server;
        call.request = kRequest;
        call.prefill = prefill;
        call.advance(SendPhase::written);
        return call;
    }
    void hold() { states->hold(kRequest, attempt("r1", true), "s", now, output); }
    void cancel_prefill() {
        const UpstreamCall call = attempt("r1", true);
        const auto result = classify_attempt(*protocol, call, engine::ExchangeEnd::cancelled, false);
        states->attempt_ended(kRequest, call, result, now, output);
    }
    void release_pending(bool attempt_in_flight) {
        states->release_pending([&](RequestId) { return attempt_in_flight; }, now, output);
    }
    // Returns the servers of the release calls begun since the previous call of this function.
    std::vector<std::string> released_at() {
        std::vector<std::string> servers;
        for (const auto& effect : output.take_effects()) {
            const auto* const call = std::get_if<Call>(&effect);
            if (call == nullptr) continue;
            EXPECT_EQ(call->kind, CallKind::release);
            servers.push_back(call->server);
            last_release = call->call;
        }
        return servers;
    }
    // Returns true if no other release call defers the request's attempts now.
    bool fail_release(CallId id) {
        states->release_ended(calls.end(id), engine::ExchangeEnd::timed_out, now, output);
        return !states->defers_attempts(kRequest);
    }

    Time now{1000s};
    config::EdgeSettings edge_settings;
    std::unique_ptr<Protocol> protocol;
    EndpointRegistry endpoints{{}};
    UpstreamCalls calls;
    StepOutput output;
    std::unique_ptr<ReservedKvStates> states;
    CallId last_release;
};

class PlatformReservedKvStatesTest : public ReservedKvStatesTest {
protected:
    PlatformReservedKvStatesTest() : ReservedKvStatesTest(config::ProtocolKind::platform) {}
};

TEST_F(ReservedKvStatesTest, AFinishedRequestReleasesItsStateAtTheHoldingServer) {
    hold();
    EXPECT_EQ(states->held_count(), 1U);
    EXPECT_EQ(states->held_state(kRequest), "s");
    EXPECT_EQ(states->release_due(kRequest), now + edge_settings.router.release_within);
    states->finish(kRequest, now, output);
    EXPECT_EQ(released_at(), std::vector<std::string>{"r1"});
    EXPECT_EQ(states->held_count(), 0U);
    EXPECT_FALSE(states->holds_any(kRequest));
}

TEST_F(ReservedKvStatesTest, AFetchedStateIsNotReleased) {
    hold();
    states->mark_fetched(kRequest, "w1", now, output);
    EXPECT_EQ(states->held_count(), 0U);
    states->finish(kRequest, now, output);
    EXPECT_TRUE(released_at().empty());
}

TEST_F(ReservedKvStatesTest, ACancelledPrefillIsReleasedAtOnceAtItsOwnServer) {
    cancel_prefill();
    EXPECT_EQ(released_at(), std::vector<std::string>{"r1"});
    EXPECT_FALSE(states->holds_any(kRequest));
    EXPECT_FALSE(states->defers_attempts(kRequest));  // the release does not affect other attempts
    EXPECT_TRUE(fail_release(last_release));
    EXPECT_TRUE(released_at().empty());  // no other server holds the state
}

TEST_F(ReservedKvStatesTest, AServerWithoutReleaseCallIsNotCalledAgain) {
    cancel_prefill();
    EXPECT_EQ(released_at().size(), 1U);
    UpstreamCall call = calls.end(last_release);
    call.status = 404;
    states->release_ended(call, engine::ExchangeEnd::response_received, now, output);
    EXPECT_FALSE(states->defers_attempts(kRequest));
    cancel_prefill();
    EXPECT_TRUE(released_at().empty());
    states->forget_server("r1");
    cancel_prefill();
    EXPECT_EQ(released_at().size(), 1U);
}

TEST_F(PlatformReservedKvStatesTest, APendingReleaseWaitsForTheAttemptInFlight) {
    cancel_prefill();
    EXPECT_TRUE(states->holds_any(kRequest));
    release_pending(true);
    EXPECT_TRUE(released_at().empty());
    release_pending(false);
    EXPECT_EQ(released_at().size(), 1U);
    EXPECT_FALSE(states->holds_any(kRequest));
}

TEST_F(PlatformReservedKvStatesTest, AReleaseOfTheRequestDefersAttemptsUntilItIsWritten) {
    cancel_prefill();
    release_pending(false);
    EXPECT_EQ(released_at().size(), 1U);
    EXPECT_TRUE(states->defers_attempts(kRequest));
    states->defer(kRequest, Send{kRequest, {"r2"}, {}}, now, output);
    EXPECT_FALSE(states->take_ready_attempt(kRequest, now, output).has_value());
    calls.find(last_release)->advance(SendPhase::written);
    const auto ready = states->take_ready_attempt(kRequest, now, output);
    ASSERT_TRUE(ready.has_value());
    EXPECT_EQ(ready->server.value, "r2");
    EXPECT_FALSE(states->has_deferred(kRequest));
}

TEST_F(PlatformReservedKvStatesTest, FailedReleasesAreRepeatedAtMoreServersUpToTheLimit) {
    endpoints.record_activity("r2", now);
    cancel_prefill();
    release_pending(false);
    EXPECT_EQ(released_at(), std::vector<std::string>{"r2"});  // most recently active
    const CallId first = last_release;
    EXPECT_FALSE(fail_release(first));
    EXPECT_EQ(released_at(), (std::vector<std::string>{"r1", "w1"}));
    EXPECT_FALSE(fail_release(last_release));  // not the leading call, which still defers attempts
    EXPECT_TRUE(released_at().empty());        // starts no further round
}

// Guards against an attempt that stays deferred after the release call that deferred it has failed while a KV
// state is held, which is the state that the attempt needs.
TEST_F(PlatformReservedKvStatesTest, AFailedReleaseDoesNotDeferTheAttemptForAHeldState) {
    cancel_prefill();
    states->release_during_attempt(kRequest, observe::ReleaseReason::decided, now, output);
    EXPECT_EQ(released_at().size(), 1U);
    hold();
    states->defer(kRequest, Send{kRequest, {"w1"}, {}}, now, output);
    EXPECT_TRUE(fail_release(last_release));
    EXPECT_TRUE(released_at().empty());  // another round would release the held state, too
    EXPECT_TRUE(states->take_ready_attempt(kRequest, now, output).has_value());
    EXPECT_TRUE(states->release_due(kRequest).has_value());  // the failed release stays due
}

TEST_F(PlatformReservedKvStatesTest, AReleaseDuringAnAttemptNotifiesTheRouterAndStaysPending) {
    hold();
    (void)output.take_events();
    states->release_during_attempt(kRequest, observe::ReleaseReason::decided, now + 1s, output);
    const auto events = output.take_events();
    ASSERT_EQ(events.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<KvStateReleased>(events[0]));
    EXPECT_EQ(released_at().size(), 1U);
    EXPECT_FALSE(states->holds_state(kRequest));
    EXPECT_EQ(states->release_due(kRequest), now + 1s + edge_settings.router.release_within);
}

}  // namespace
}  // namespace chalksail::core::testing
