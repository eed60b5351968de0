// Tests releases on the users' platform: during attempts that get no response, and before attempts that are
// deferred for a release.
#include <gtest/gtest.h>

#include <set>

#include "core/platform_driver.hpp"

namespace chalksail::core::testing {
namespace {

// ---- releases while an attempt is unanswered ----

config::EdgeSettings settings_with_release_within(Duration time) {
    auto out =
        platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value());
    out.router.release_within = time;
    return out;
}
// A request whose decode attempt is fully written and has no response.
struct UnansweredDecode : Platform {
    explicit UnansweredDecode(const std::string& class_name = "order", Duration time = 500ms)
        : Platform(settings_with_release_within(time)), decode(advance_to_decode(class_name)) {
        written(decode);
    }
    CallId decode;
};

// The release is sent to the most recently active server, and repeated while the attempt has no response: the
// decode server may hold the KV state, and may fail.
TEST(PlatformEdge, ReleaseDuringAnUnansweredDecodeIsRepeated) {
    UnansweredDecode d;
    d.advance_time(490ms);
    EXPECT_TRUE(d.releases().empty());
    d.advance_time(20ms);
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].server, d.sent()[0].server);  // the reader; the writer was never active
    d.respond(d.releases()[0].call, 204);
    d.advance_time(520ms);
    EXPECT_EQ(d.releases().size(), 2U);
    d.respond(d.releases()[1].call, 204);
    EXPECT_TRUE(d.responses.empty());
    EXPECT_EQ(d.sent().size(), 2U);
}

// The release does not disturb an attempt that has arrived, and nothing is released after its first event.
TEST(PlatformEdge, StreamBeginsAfterAReleaseDuringItsDecode) {
    UnansweredDecode d;
    d.advance_time(510ms);
    ASSERT_EQ(d.releases().size(), 1U);
    d.respond(d.releases()[0].call, 204);
    d.step({CallHead{d.decode, 200, {}}});
    d.body(d.decode, kEvent + kDoneEvent);
    d.advance_time(1s);
    d.step({CallDone{d.decode}});
    EXPECT_EQ(d.streams_ended, 1);
    EXPECT_EQ(d.releases().size(), 1U);
    expect_no_open_work(d);
}

// After an unanswered decode whose KV state was released, the prompt is prefilled again; the old state is not
// used. It is released once more unless the new prefill is known to have arrived, as the decode may have kept
// it.
TEST(PlatformEdge, UnansweredDecodeIsFollowedByAReleaseAndAPrefill) {
    UnansweredDecode d("chat", 200ms);
    d.advance_time(210ms);
    ASSERT_EQ(d.releases().size(), 1U);
    d.respond(d.releases()[0].call, 204);
    d.step({CallFailed{d.decode, engine::ExchangeEnd::connection_closed, ""}});
    d.advance_time(4ms);
    ASSERT_EQ(d.sent().size(), 3U);
    EXPECT_EQ(d.sent()[2].server[0], 'r');
    d.written(d.sent()[2].call);
    d.advance_time(210ms);
    EXPECT_EQ(d.releases().size(), 2U);
}

// Guards against a release that is postponed by attempts that prove nothing: the server may never have read a
// fully written attempt whose connection breaks.
TEST(PlatformEdge, AttemptsWithoutAResponseDoNotPostponeTheRelease) {
    UnansweredDecode d("chat");
    d.advance_time(300ms);
    d.step({CallFailed{d.decode, engine::ExchangeEnd::connection_closed, ""}});
    d.advance_time(4ms);
    ASSERT_EQ(d.sent().size(), 3U);
    EXPECT_EQ(d.sent()[2].server[0], 'w');
    d.written(d.sent()[2].call);
    d.advance_time(210ms);
    EXPECT_EQ(d.releases().size(), 1U);
}

// A response proves that an attempt arrived, so the time until the release starts again.
TEST(PlatformEdge, AResponsePostponesTheRelease) {
    UnansweredDecode d("chat", 200ms);
    d.advance_time(150ms);
    d.respond(d.decode, 503, "", "1");
    d.advance_time(4ms);
    ASSERT_EQ(d.sent().size(), 3U);
    d.written(d.sent()[2].call);
    d.advance_time(180ms);
    EXPECT_TRUE(d.releases().empty());
    d.advance_time(30ms);
    EXPECT_EQ(d.releases().size(), 1U);
}

// A KV state that a broken prefill may have left is released even if the next attempt gets no response.
TEST(PlatformEdge, StateOfABrokenPrefillIsReleasedDuringAnUnansweredPrefill) {
    Platform d;
    d.receive(platform_text::post("9b1f"));
    const auto first = d.sent().back().call;
    d.written(first);
    d.step({CallFailed{first, engine::ExchangeEnd::connection_closed, ""}});
    ASSERT_EQ(d.sent().size(), 2U);
    d.written(d.sent()[1].call);
    d.advance_time(510ms);
    EXPECT_GE(d.releases().size(), 1U);
}

// Guards against a release that is postponed by a second broken prefill: the state that the first may have
// left has existed since the first broke.
TEST(PlatformEdge, SecondBrokenPrefillDoesNotPostponeTheReleaseForTheFirst) {
    Platform d(settings_with_release_within(500ms));
    d.list({listed("r1", "reader"), listed("r2", "reader"), listed("r3", "reader"), listed("w1", "writer")});
    d.receive(platform_text::post("9b1f"));
    for (const auto wait : {0ms, 300ms}) {
        d.advance_time(wait);
        const auto prefill = d.sent().back().call;
        d.written(prefill);
        d.step({CallFailed{prefill, engine::ExchangeEnd::connection_closed, ""}});
    }
    ASSERT_EQ(d.sent().size(), 3U);
    d.written(d.sent().back().call);
    EXPECT_TRUE(d.releases().empty());
    d.advance_time(210ms);
    EXPECT_GE(d.releases().size(), 1U);
}

// If the policy may not cancel attempts, the attempt of a disconnected client continues, but its KV state is
// released before the attempt ends.
TEST(PlatformEdge, StateOfADisconnectedClientIsReleasedDuringItsDecode) {
    auto settings = settings_with_release_within(500ms);
    settings.router.cancellation_enabled = false;
    Platform d(settings);
    const auto decode = d.advance_to_decode();
    d.written(decode);
    d.step({ClientClosed{{1}}});
    EXPECT_EQ(d.releases().size(), 1U);
    d.advance_time(10s);  // the server never responds; the attempt is aborted at the deadline
    EXPECT_TRUE(d.was_aborted(decode));
    for (const auto& call : d.releases()) d.respond(call.call, 204);
    d.advance_time(1s);
    expect_no_open_work(d);
}

// Guards against a release that fails because several servers are silent, for example if a zone is cut off:
// each round calls twice as many servers, so that at least twelve are called in time.
TEST(PlatformEdge, ReleaseCallsMoreServersInEachRound) {
    Platform d(settings_with_release_within(500ms));
    std::vector<membership::EndpointConfig> all = {listed("r1", "reader"), listed("w1", "writer")};
    for (int i = 0; i < 20; ++i) all.push_back(listed("x" + std::to_string(i), "reader", EndpointState::up));
    d.list(all);
    const auto decode = d.advance_to_decode("order");
    d.written(decode);
    d.advance_time(500ms + 290ms);
    std::set<std::string> called;
    for (const auto& call : d.releases()) called.insert(call.server);
    EXPECT_GE(called.size(), 12U);
    EXPECT_LE(called.size(), 16U);
    // One successful response ends the release.
    d.respond(d.releases().back().call, 204);
    const auto calls = d.releases().size();
    d.advance_time(150ms);
    EXPECT_EQ(d.releases().size(), calls);
}

// An attempt that the policy may not cancel ends at the request's deadline, even if its client has
// disconnected and its server never responds.
TEST(PlatformEdge, AttemptOfADisconnectedClientEndsAtTheDeadline) {
    auto settings = settings_with_release_within(500ms);
    settings.router.cancellation_enabled = false;
    Platform d(settings);
    d.receive(platform_text::post("9b1f"));
    const auto prefill = d.sent().back().call;
    d.written(prefill);
    d.step({ClientClosed{{1}}});
    EXPECT_FALSE(d.was_aborted(prefill));
    d.advance_time(5s);
    EXPECT_TRUE(d.was_aborted(prefill));
    for (std::size_t i = 0; i < d.releases().size(); ++i) d.respond(d.releases()[i].call, 204);
    d.advance_time(1s);
    expect_no_open_work(d);
}

// A release is sent to the most recently active server, not to the one that holds the KV state, which may be
// silent by now.
TEST(PlatformEdge, ReleaseCallsTheMostRecentlyActiveServer) {
    UnansweredDecode d;
    const auto holder = d.sent()[0].server;
    d.advance_time(100ms);
    d.receive(platform_text::post("9b20"), 2);
    ASSERT_EQ(d.sent().size(), 3U);
    d.respond(d.sent()[2].call, 202);
    d.advance_time(4ms);
    ASSERT_EQ(d.sent().size(), 4U);
    const auto active_last = d.sent()[3].server;
    ASSERT_NE(active_last, holder);
    d.respond(d.sent()[3].call, 200, kEvent + kDoneEvent);
    d.advance_time(406ms);
    ASSERT_GE(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].target, "/kv/leases/9b1f");
    EXPECT_EQ(d.releases()[0].server, active_last);
}

// Within the 300 ms after a release is due, enough servers are called to find a running one among silent
// ones.
TEST(PlatformEdge, ReleaseCallsFourServersInTime) {
    UnansweredDecode d;
    d.advance_time(500ms + 300ms);
    std::set<std::string> called;
    for (const auto& call : d.releases()) called.insert(call.server);
    EXPECT_EQ(called.size(), 4U);
}

// Guards against an attempt that begins for a disconnected client if the policy may not cancel attempts.
TEST(PlatformEdge, NoAttemptBeginsForADisconnectedClient) {
    auto settings =
        platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value());
    settings.router.cancellation_enabled = false;
    for (const bool written : {false, true}) {
        Platform d(settings);
        d.receive(platform_text::post("9b1f"));
        const auto prefill = d.sent().back().call;
        d.step({CallSent{prefill}});
        if (written) d.written(prefill);
        d.step({ClientClosed{{1}}});
        EXPECT_EQ(d.was_aborted(prefill), !written);  // an attempt that may have arrived continues
        d.advance_time(100ms);
        EXPECT_EQ(d.sent().size(), 1U);
    }
}

// Guards against a release that is sent to one silent server after another: it is repeated at the server that
// was active last.
TEST(PlatformEdge, FailedReleaseIsRepeatedAtTheMostRecentlyActiveServer) {
    Platform d;
    d.list({listed("a1", "writer"), listed("a2", "writer"), listed("a3", "writer"), listed("r1", "reader"),
            listed("z1", "writer")});
    for (int i = 0; i < 40; ++i) {  // only z1 responds to decodes
        d.receive(platform_text::post("warm" + std::to_string(i)), 100 + static_cast<std::uint64_t>(i));
        d.respond(d.sent().back().call, 202);
        const auto decode = d.sent().back();
        if (decode.server == "z1") d.respond(decode.call, 200, kEvent + kDoneEvent);
        else
            d.step({CallFailed{decode.call, engine::ExchangeEnd::dial_failed, ""},
                    ClientClosed{{100 + static_cast<std::uint64_t>(i)}}});
        if (decode.server == "z1") break;
    }
    d.advance_time(1s);
    d.calls.clear();
    d.receive(platform_text::post("one"), 1);
    const auto prefill = d.sent().back().call;
    d.written(prefill);
    d.step(
        {ClientClosed{{1}}});  // the prefill is cancelled; once its server has reacted, the state is released
    EXPECT_EQ(d.releases().size(), 0U);
    d.step({CallFailed{prefill, engine::ExchangeEnd::connection_closed, ""}});
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].server, "r1");
    d.advance_time(200ms);
    ASSERT_GE(d.releases().size(), 2U);
    EXPECT_EQ(d.releases()[1].server, "z1");
}

// No call, KV state or router state remains of a request, at whatever stage its client disconnects.
TEST(PlatformEdge, DisconnectedClientLeavesNoStateAtAnyStage) {
    for (const int stage : {0, 1, 2, 3}) {
        Platform d;
        if (stage == 0) d.list({});  // queued in the gateway
        d.receive(platform_text::post("9b1f", "order"));
        if (stage == 1) d.written(d.sent()[0].call);
        if (stage >= 2) {
            d.respond(d.sent().back().call, 202);
            d.written(d.sent().back().call);
        }
        if (stage == 3) d.step({CallHead{d.sent()[1].call, 200, {}}, CallBody{d.sent()[1].call, kEvent}});
        d.step({ClientClosed{{1}}});
        d.advance_time(20s);
        if (stage >= 1) {
            EXPECT_TRUE(d.was_aborted(d.sent().back().call)) << stage;
        }
        EXPECT_EQ(d.releases().empty(), stage == 0 || stage == 3)
            << stage;  // a started stream has fetched the KV state
        EXPECT_EQ(d.edge.gauges().calls, 0U) << stage;
        expect_no_open_work(d);
    }
}

// ---- attempts deferred for a release ----

// A request whose KV state became due for release before a connection to a writer was established. The state
// is released, and the prompt is to be prefilled again.
struct DeferredByRelease : Platform {
    DeferredByRelease() {
        const auto decode = advance_to_decode();
        step({CallFailed{decode, engine::ExchangeEnd::dial_failed, ""}});
        EXPECT_EQ(sent().size(), 3U);
        advance_time(540ms);  // the second decode has no connection until the release is due
        EXPECT_EQ(releases().size(), 1U);
    }
};

// Guards against a release that is cancelled before it is written, because it would also release the next
// attempt's KV state: the first state was then never released.
TEST(PlatformEdge, AttemptIsDeferredUntilTheReleaseIsWritten) {
    DeferredByRelease d;
    EXPECT_EQ(d.sent().size(), 3U);
    EXPECT_FALSE(d.was_aborted(d.releases()[0].call));
    ASSERT_EQ(d.deferrals.size(), 1U);
    EXPECT_EQ(d.deferrals[0].action, observe::DeferralAction::deferred);
    d.written(d.releases()[0].call);
    ASSERT_EQ(d.deferrals.size(), 2U);
    EXPECT_EQ(d.deferrals[1].action, observe::DeferralAction::resumed);
    ASSERT_EQ(d.sent().size(), 4U);
    EXPECT_EQ(d.sent()[3].server[0], 'r');
    EXPECT_FALSE(d.was_aborted(d.releases()[0].call));
    d.respond(d.releases()[0].call, 204);
    d.respond(d.sent()[3].call, 202);
    ASSERT_EQ(d.sent().size(), 5U);
    d.respond(d.sent()[4].call, 200, kEvent + kDoneEvent);
    EXPECT_EQ(d.streams_ended, 1);
    expect_no_open_work(d);
}

// The release is repeated at other servers if one does not respond. The attempt waits until the release is
// abandoned, but no longer.
TEST(PlatformEdge, DeferredAttemptBeginsWhenTheReleaseIsAbandoned) {
    DeferredByRelease d;
    d.advance_time(1200ms);
    EXPECT_GT(d.releases().size(), 2U);
    EXPECT_EQ(d.sent().size(), 4U);
}

TEST(PlatformEdge, ClientDisconnectWhileAnAttemptIsDeferredLeavesNoState) {
    DeferredByRelease d;
    d.step({ClientClosed{{1}}});
    d.written(d.releases()[0].call);
    d.respond(d.releases()[0].call, 204);
    EXPECT_EQ(d.sent().size(), 3U);
    ASSERT_EQ(d.deferrals.size(), 2U);
    EXPECT_EQ(d.deferrals[1].action, observe::DeferralAction::dropped);
    expect_no_open_work(d);
}

TEST(PlatformEdge, DeadlineWhileAnAttemptIsDeferredIsAnswered) {
    auto settings =
        platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value());
    settings.limits.release_retry = 1h;
    Platform d(settings);
    const auto decode = d.advance_to_decode();
    d.step({CallFailed{decode, engine::ExchangeEnd::dial_failed, ""}});
    d.advance_time(600ms);
    ASSERT_EQ(d.releases().size(), 1U);
    d.advance_time(4s);
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.sent().size(), 3U);
    expect_no_open_work(d);
}

// A request whose first prefill broke. The release of what that may have left became due beside the second
// prefill, which has succeeded since, while the release call was not written: the decode attempt is deferred.
struct DecodeDeferredByRelease : Platform {
    // If `later_round`, the server of the first release call is silent, and the leading call of the next
    // round defers the attempt. The other call of that round has failed before.
    explicit DecodeDeferredByRelease(bool later_round = false)
        : Platform(settings_with_release_within(500ms)) {
        list({listed("r1", "reader"), listed("r2", "reader"), listed("r3", "reader"), listed("w1", "writer"),
              listed("w2", "writer"), listed("w3", "writer")});
        receive(platform_text::post("9b1f", "order"));
        const auto first = sent().back().call;
        written(first);
        step({CallFailed{first, engine::ExchangeEnd::connection_closed, ""}});
        EXPECT_EQ(sent().size(), 2U);
        const auto second = sent().back().call;
        written(second);
        advance_time(500ms);
        EXPECT_EQ(releases().size(), 1U);
        if (later_round) {
            written(releases().back().call);
            advance_time(80ms);
            EXPECT_EQ(releases().size(), 3U);
            step({CallFailed{releases().back().call, engine::ExchangeEnd::dial_failed, ""}});
        }
        advance_time(40ms);
        respond(second, 202, R"({"cached_tokens":40})");
        EXPECT_EQ(sent().size(), 2U);
        EXPECT_EQ(deferrals.size(), 1U);
    }
    // Checks that the decode attempt has begun, and that it completes and leaves nothing behind.
    void expect_decode_completes() {
        ASSERT_EQ(sent().size(), 3U);
        EXPECT_EQ(sent()[2].server[0], 'w');
        EXPECT_EQ(deferrals.back().action, observe::DeferralAction::resumed);
        respond(sent()[2].call, 200, kEvent + kDoneEvent);
        EXPECT_EQ(streams_ended, 1);
        expect_no_open_work(*this);
    }
};

// Guards against a decode attempt that is never sent, because the release call that deferred it failed while
// its KV state was held: the state was held until the deadline and the request was answered with 504.
TEST(PlatformEdge, DecodeDeferredBehindAReleaseThatTimesOutBegins) {
    DecodeDeferredByRelease d;
    d.advance_time(50ms);  // the release call ends 80 ms after its beginning
    d.expect_decode_completes();
}

// The same for each other way in which the release call can end.
TEST(PlatformEdge, DecodeDeferredBehindAReleaseThatFailsBegins) {
    using engine::ExchangeEnd;
    for (const auto ending :
         {ExchangeEnd::dial_failed, ExchangeEnd::no_resources, ExchangeEnd::connection_closed,
          ExchangeEnd::malformed_response, ExchangeEnd::expired, ExchangeEnd::withdrawn}) {
        SCOPED_TRACE(static_cast<int>(ending));
        DecodeDeferredByRelease d;
        d.step({CallFailed{d.releases().back().call, ending, ""}});
        d.expect_decode_completes();
    }
}

// The same for a call that is answered before its last byte was written: with an error, as unknown, or well.
TEST(PlatformEdge, DecodeDeferredBehindAReleaseThatIsAnsweredEarlyBegins) {
    for (const int status : {500, 404, 204}) {
        SCOPED_TRACE(status);
        DecodeDeferredByRelease d;
        const auto release = d.releases().back().call;
        d.step({CallSent{release}, CallHead{release, status, {}}, CallDone{release}});
        d.expect_decode_completes();
    }
}

// The same if the release call's server leaves the list meanwhile.
TEST(PlatformEdge, DecodeDeferredBehindAReleaseAtARemovedServerBegins) {
    DecodeDeferredByRelease d;
    const std::string called = d.releases().back().server;
    std::vector<membership::EndpointConfig> left;
    for (const auto* name : {"r1", "r2", "r3", "w1", "w2", "w3"})
        if (name != called) left.push_back(listed(name, name[0] == 'r' ? "reader" : "writer"));
    d.list(left);
    d.advance_time(50ms);
    d.expect_decode_completes();
}

// The same for a release call of a later round: the first call was written and not answered, so the next
// round began beside the second prefill.
TEST(PlatformEdge, DecodeDeferredBehindALaterRoundOfReleasesBegins) {
    DecodeDeferredByRelease d(true);
    d.advance_time(50ms);
    d.expect_decode_completes();
}

// The release that failed stays due: if no server answers the decode attempt either, what the first prefill
// may have left and the held KV state are released in time.
TEST(PlatformEdge, FailedReleaseStaysDueBesideTheDecodeThatItDeferred) {
    DecodeDeferredByRelease d;
    const Time held_since = d.now;
    d.advance_time(50ms);
    ASSERT_EQ(d.sent().size(), 3U);
    d.written(d.sent()[2].call);
    const auto calls = d.releases().size();
    d.advance_time(held_since + 500ms - d.now);
    EXPECT_GT(d.releases().size(), calls);
}
}  // namespace
}  // namespace chalksail::core::testing
