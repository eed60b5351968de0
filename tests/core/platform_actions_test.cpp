// Actions that a routing policy may take on the users' platform: cancelled prefills and reservations.
#include <gtest/gtest.h>

#include "core/platform_driver.hpp"

namespace chalksail::core::testing {
namespace {

// ---- actions that the module may take ----

class Scripted : public RoutingPolicy {
public:
    std::vector<Action> step(Time, std::span<const Event> events) override {
        for (const auto& e : events) seen.push_back(e);
        return std::exchange(next, {});
    }
    std::size_t tracked_requests() const override { return 0; }
    std::vector<Action> next;
    std::vector<Event> seen;
};

// A read that is called off, with its last byte out unless told.
struct CancelledPrefill {
    explicit CancelledPrefill(bool written = true) {
        auto scripted = std::make_unique<Scripted>();
        router = scripted.get();
        edge = std::make_unique<Edge>(
            platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value()),
            std::move(scripted));
        give({membership::EndpointList{EndpointUpdateKind::snapshot,
                                       {listed("r1", "reader"), listed("w1", "writer")}}});
        http::RequestReader reader({});
        const auto text = platform_text::post("9b1f", "order");
        std::string_view remaining = text;
        router->next = {Send{{1}, {"r1"}, {}}};
        give({ClientRequest{{1}, std::get<http::Request>(reader.feed(remaining))}});
        if (written) give({CallSent{call}, CallWritten{call}});
        router->seen.clear();
        router->next = {CancelAttempt{{1}, {0}}};
        give({membership::EndpointList{EndpointUpdateKind::delta, {}}});  // anything: the module acts
    }
    void give(std::vector<Input> inputs) {
        for (const auto& o : edge->step(now, std::move(inputs))) {
            if (const auto* c = std::get_if<Call>(&o)) call = c->call;
            sending_ended += std::holds_alternative<HalfCloseCall>(o) ? 1 : 0;
            aborted += std::holds_alternative<AbortCall>(o) ? 1 : 0;
        }
    }
    [[nodiscard]] std::vector<AttemptOutcome> outcomes() const {
        std::vector<AttemptOutcome> out;
        for (const auto& e : router->seen)
            if (const auto* ended = std::get_if<AttemptEnded>(&e)) out.push_back(ended->outcome);
        return out;
    }
    Scripted* router = nullptr;
    std::unique_ptr<Edge> edge;
    Time now{1000s};
    CallId call;
    int sending_ended = 0;
    int aborted = 0;
};

// Guards against a read that ends well in the moment in which it is called off: its answer was lost with the
// close, and the prompt read again beside a state that was there (ticket-desk, roll+brink, request
// 63d7b6d8ef4d08ed).
TEST(PlatformEdge, AnswerOnItsWayToACancelledPrefillIsReceived) {
    CancelledPrefill d;
    EXPECT_EQ(d.sending_ended, 1);
    EXPECT_EQ(d.aborted, 0);
    EXPECT_TRUE(d.outcomes().empty());  // not over: nothing is sent in its place
    d.give({CallHead{d.call, 202, {}}, CallBody{d.call, R"({"cached_tokens":4})"}, CallDone{d.call}});
    EXPECT_EQ(d.outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::prefilled});
    EXPECT_EQ(d.edge->gauges().kv_states_held, 1U);
}

TEST(PlatformEdge, ServersCloseAfterACancellationEndsIt) {
    CancelledPrefill d;
    d.give({CallFailed{d.call, engine::ExchangeEnd::connection_closed, ""}});
    EXPECT_EQ(d.outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::cancelled});
    EXPECT_EQ(d.aborted, 0);
}

TEST(PlatformEdge, SilenceAfterACancellationEndsItSoon) {
    CancelledPrefill d;
    ASSERT_TRUE(d.edge->next_wake());
    EXPECT_LE(*d.edge->next_wake() - d.now, 20ms);
    d.now = *d.edge->next_wake();
    d.give({});
    EXPECT_EQ(d.outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::cancelled});
    EXPECT_EQ(d.aborted, 1);
    d.now += 10s;
    d.give({});
    EXPECT_EQ(d.outcomes().size(), 1U);
}

TEST(PlatformEdge, UnsentPrefillIsCancelledAtOnce) {
    CancelledPrefill d(false);
    EXPECT_EQ(d.sending_ended, 0);
    EXPECT_EQ(d.aborted, 1);
    EXPECT_EQ(d.outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::connect_failed});
}

// Its client goes while the answer is waited for: what was read is released.
TEST(PlatformEdge, ClientThatDisconnectsAfterACancellationLeavesNothing) {
    CancelledPrefill d;
    d.give({ClientClosed{{1}}});
    d.give({CallHead{d.call, 202, {}}, CallDone{d.call}});
    EXPECT_EQ(d.edge->gauges().open_requests, 0U);
    EXPECT_EQ(d.edge->gauges().kv_states_held, 0U);
    EXPECT_EQ(d.edge->gauges().calls, 1U);  // the release
}

TEST(PlatformEdge, ReservationIsMadeReportedAndReleased) {
    auto scripted = std::make_unique<Scripted>();
    Scripted& router = *scripted;
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
    // The read ends without a state, the request is over: the place goes.
    const auto last =
        calls_of(edge.step(now, {CallFailed{out[0].call, engine::ExchangeEnd::dial_failed, ""}}));
    ASSERT_EQ(last.size(), 1U);
    EXPECT_EQ(last[0].method, "DELETE");
}

// Guards against a key that stays here: servers drop repeats by it, and hold a request without it for another
// one.
TEST(PlatformEdge, IdempotencyKeyGoesWithEachAttempt) {
    Platform d;
    d.get(platform_text::post("9b1f", "chat", "idempotency-key: a667f8f0 f5f4\r\n"));
    d.answer(d.sent().back().call, 202);
    d.get(platform_text::post("9b20"), 2);
    const auto sent = d.sent();
    ASSERT_EQ(sent.size(), 3U);
    EXPECT_EQ(sent[0].headers.get("Idempotency-Key"), "a667f8f0 f5f4");
    EXPECT_EQ(sent[1].headers.get("Idempotency-Key"), "a667f8f0 f5f4");
    EXPECT_FALSE(sent[2].headers.has("Idempotency-Key"));
    d.get(platform_text::post("9b21", "chat", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), 3);
    EXPECT_EQ(d.replies.back().status, 400);
}
}  // namespace
}  // namespace chalksail::core::testing
