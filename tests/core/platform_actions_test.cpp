// Tests a routing policy's actions on the users' platform: cancelled prefills and reservations.
#include <gtest/gtest.h>

#include "core/platform_driver.hpp"

namespace chalksail::core::testing {
namespace {

// Returns the actions that the test sets, and records all events.
class ScriptedPolicy : public RoutingPolicy {
public:
    std::vector<Action> step(Time, std::span<const Event> events) override {
        for (const auto& e : events) seen.push_back(e);
        return std::exchange(next, {});
    }
    std::size_t tracked_requests() const override { return 0; }
    std::vector<Action> next;
    std::vector<Event> seen;
};

// A prefill that the policy cancels at this input, after its last byte was written unless `written` is false.
struct CancelledPrefill {
    explicit CancelledPrefill(bool written = true,
                              Input input = membership::EndpointList{EndpointUpdateKind::delta, {}}) {
        auto scripted = std::make_unique<ScriptedPolicy>();
        router = scripted.get();
        edge = std::make_unique<Edge>(
            platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value()),
            std::move(scripted));
        step({membership::EndpointList{EndpointUpdateKind::snapshot,
                                       {listed("r1", "reader"), listed("w1", "writer")}}});
        http::RequestReader reader({});
        const auto text = platform_text::post("9b1f", "order");
        std::string_view remaining = text;
        router->next = {Send{{1}, {"r1"}, {}}};
        step({ClientRequest{{1}, std::get<http::Request>(reader.feed(remaining))}});
        if (written) step({CallSent{call}, CallWritten{call}});
        router->seen.clear();
        router->next = {CancelAttempt{{1}, {0}}};
        step({std::move(input)});
    }
    void step(std::vector<Input> inputs) {
        for (const auto& o : edge->step(now, std::move(inputs))) {
            if (const auto* c = std::get_if<Call>(&o)) call = c->call;
            half_closed += std::holds_alternative<HalfCloseCall>(o) ? 1 : 0;
            aborted += std::holds_alternative<AbortCall>(o) ? 1 : 0;
        }
    }
    [[nodiscard]] std::vector<AttemptOutcome> outcomes() const {
        std::vector<AttemptOutcome> out;
        for (const auto& e : router->seen)
            if (const auto* ended = std::get_if<AttemptEnded>(&e)) out.push_back(ended->outcome);
        return out;
    }
    ScriptedPolicy* router = nullptr;
    std::unique_ptr<Edge> edge;
    Time now{1000s};
    CallId call;
    int half_closed = 0;
    int aborted = 0;
};

// Guards against a prefill that completes at the moment of its cancellation: its response was lost because
// the connection was closed, and the prompt was prefilled again although its KV state existed (ticket-desk,
// roll+brink, request 63d7b6d8ef4d08ed).
TEST(PlatformEdge, ResponseOnItsWayIsReceivedAfterACancellation) {
    CancelledPrefill d;
    EXPECT_EQ(d.half_closed, 1);
    EXPECT_EQ(d.aborted, 0);
    EXPECT_TRUE(d.outcomes().empty());  // not ended yet: no other attempt is sent
    d.step({CallHead{d.call, 202, {}}, CallBody{d.call, R"({"cached_tokens":4})"}, CallDone{d.call}});
    EXPECT_EQ(d.outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::prefilled});
    EXPECT_EQ(d.edge->gauges().kv_states_held, 1U);
}

TEST(PlatformEdge, ServerClosingTheConnectionCompletesACancellation) {
    CancelledPrefill d;
    d.step({CallFailed{d.call, engine::ExchangeEnd::connection_closed, ""}});
    EXPECT_EQ(d.outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::cancelled});
    EXPECT_EQ(d.aborted, 0);
}

TEST(PlatformEdge, SilentServerAfterACancellationTimesOutSoon) {
    CancelledPrefill d;
    ASSERT_TRUE(d.edge->next_wake());
    EXPECT_LE(*d.edge->next_wake() - d.now, 20ms);
    d.now = *d.edge->next_wake();
    d.step({});
    EXPECT_EQ(d.outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::cancelled});
    EXPECT_EQ(d.aborted, 1);
    d.now += 10s;
    d.step({});
    EXPECT_EQ(d.outcomes().size(), 1U);
}

TEST(PlatformEdge, UnsentPrefillIsCancelledAtOnce) {
    CancelledPrefill d(false);
    EXPECT_EQ(d.half_closed, 0);
    EXPECT_EQ(d.aborted, 1);
    EXPECT_EQ(d.outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::connect_failed});
}

// The client disconnects while the response to the cancelled prefill is awaited: the KV state is released.
TEST(PlatformEdge, ClientDisconnectAfterACancellationLeavesNoState) {
    CancelledPrefill d;
    d.step({ClientClosed{{1}}});
    d.step({CallHead{d.call, 202, {}}, CallDone{d.call}});
    EXPECT_EQ(d.edge->gauges().open_requests, 0U);
    EXPECT_EQ(d.edge->gauges().kv_states_held, 0U);
    EXPECT_EQ(d.edge->gauges().calls, 1U);  // the release
}

// Guards against a release that overtakes the end of a prefill: the prefill's connection was closed when its
// client disconnected, and the release went to another server at once. A prefill that ended in between left a
// KV state that nothing released.
TEST(PlatformEdge, ReleaseForADisconnectedClientFollowsTheEndOfItsPrefill) {
    CancelledPrefill d(true, ClientClosed{{1}});
    EXPECT_EQ(d.half_closed, 1);
    EXPECT_EQ(d.aborted, 0);
    EXPECT_EQ(d.edge->gauges().calls, 1U);  // the prefill
    d.step({CallHead{d.call, 202, {}}, CallDone{d.call}});
    EXPECT_EQ(d.edge->gauges().calls, 1U);  // the release
    EXPECT_EQ(d.edge->gauges().kv_states_held, 0U);
}

// The release does not wait long for a server that does not respond to the cancellation.
TEST(PlatformEdge, ReleaseForADisconnectedClientIsMadeSoonIfItsPrefillDoesNotEnd) {
    CancelledPrefill d(true, ClientClosed{{1}});
    d.now += 20ms;
    d.step({});
    EXPECT_EQ(d.aborted, 1);
    EXPECT_EQ(d.edge->gauges().calls, 1U);  // the release
}

TEST(PlatformEdge, ReservationIsMadeReportedAndReleased) {
    auto scripted = std::make_unique<ScriptedPolicy>();
    ScriptedPolicy& router = *scripted;
    Platform d;
    Edge edge(
        platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value()),
        std::move(scripted));
    const auto calls_of = [](const std::vector<Output>& all) {
        std::vector<Call> out;
        for (const auto& o : all)
            if (const auto* c = std::get_if<Call>(&o)) out.push_back(*c);
        return out;
    };
    Time now{1000s};
    (void)edge.step(now, {membership::EndpointList{EndpointUpdateKind::snapshot,
                                                   {listed("r1", "reader"), listed("w1", "writer")}}});
    http::RequestReader reader({});
    const auto text = platform_text::post("9b1f");
    std::string_view remaining = text;
    router.next = {Send{{1}, {"r1"}, {}}, Reserve{{1}, {"w1"}}};
    const auto out =
        calls_of(edge.step(now, {ClientRequest{{1}, std::get<http::Request>(reader.feed(remaining))}}));
    ASSERT_EQ(out.size(), 2U);
    EXPECT_EQ(out[1].kind, CallKind::reservation);
    EXPECT_EQ(out[1].method, "POST");
    EXPECT_EQ(out[1].target, "/kv/leases/9b1f");
    router.next = {Fail{{1}}};
    (void)edge.step(now, {CallSent{out[1].call}, CallWritten{out[1].call}, CallHead{out[1].call, 200, {}},
                          CallDone{out[1].call}});
    ASSERT_TRUE(std::holds_alternative<ReservationResult>(router.seen.back()));
    EXPECT_TRUE(std::get<ReservationResult>(router.seen.back()).reserved);
    // The prefill ends without a KV state and the request is finished: the reservation is released.
    const auto last =
        calls_of(edge.step(now, {CallFailed{out[0].call, engine::ExchangeEnd::dial_failed, ""}}));
    ASSERT_EQ(last.size(), 1U);
    EXPECT_EQ(last[0].method, "DELETE");
}

// Guards against an idempotency key that is not forwarded: servers deduplicate attempts by it, and treat a
// request without it as a different one.
TEST(PlatformEdge, IdempotencyKeyIsSentWithEachAttempt) {
    Platform d;
    d.receive(platform_text::post("9b1f", "chat", "idempotency-key: a667f8f0 f5f4\r\n"));
    d.respond(d.sent().back().call, 202);
    d.receive(platform_text::post("9b20"), 2);
    const auto sent = d.sent();
    ASSERT_EQ(sent.size(), 3U);
    EXPECT_EQ(sent[0].headers.get("Idempotency-Key"), "a667f8f0 f5f4");
    EXPECT_EQ(sent[1].headers.get("Idempotency-Key"), "a667f8f0 f5f4");
    EXPECT_FALSE(sent[2].headers.has("Idempotency-Key"));
    d.receive(platform_text::post("9b21", "chat", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), 3);
    EXPECT_EQ(d.responses.back().status, 400);
}
}  // namespace
}  // namespace chalksail::core::testing
