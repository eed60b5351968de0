// Releases of what is held for requests on the users' platform: beside attempts that are not answered, and
// before attempts that are deferred for them.
#include <gtest/gtest.h>

#include <set>

#include "core/platform_driver.hpp"

namespace chalksail::core::testing {
namespace {

// ---- what is held while an attempt is unanswered ----

config::EdgeSettings settings_with_release_within(Duration time) {
    auto out =
        platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value());
    out.router.release_within = time;
    return out;
}
struct UnansweredDecode : Platform {
    explicit UnansweredDecode(const std::string& cls = "order", Duration time = 500ms)
        : Platform(settings_with_release_within(time)), write(to_decode(cls)) {
        written(write);
    }
    CallId write;
};

// The release is asked of who spoke last, and goes on being made for as long as the attempt says nothing: its
// server may have it, and die with it.
TEST(PlatformEdge, ReleaseBesideAnUnansweredDecodeIsRepeated) {
    UnansweredDecode d;
    d.pass(490ms);
    EXPECT_TRUE(d.releases().empty());
    d.pass(20ms);
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].server, d.sent()[0].server);  // the reader; the writer has said nothing
    d.answer(d.releases()[0].call, 204);
    d.pass(520ms);
    EXPECT_EQ(d.releases().size(), 2U);
    d.answer(d.releases()[1].call, 204);
    EXPECT_TRUE(d.replies.empty());
    EXPECT_EQ(d.sent().size(), 2U);
}

// An attempt that had come goes on undisturbed, and nothing is released behind its first event.
TEST(PlatformEdge, StreamBeginsAfterTheReleaseBesideItsDecode) {
    UnansweredDecode d;
    d.pass(510ms);
    ASSERT_EQ(d.releases().size(), 1U);
    d.answer(d.releases()[0].call, 204);
    d.give({CallHead{d.write, 200, {}}});
    d.body(d.write, kEvent + kDoneEvent);
    d.pass(1s);
    d.give({CallDone{d.write}});
    EXPECT_EQ(d.streams_ended, 1);
    EXPECT_EQ(d.releases().size(), 1U);
    expect_empty(d);
}

// Behind the end of an unanswered write the prompt is read anew, never the old state asked for. That state is
// released once more unless the read proves to be with a server, as the write may have kept it.
TEST(PlatformEdge, UnansweredDecodeIsFollowedByAReleaseAndAPrefill) {
    UnansweredDecode d("chat", 200ms);
    d.pass(210ms);
    ASSERT_EQ(d.releases().size(), 1U);
    d.answer(d.releases()[0].call, 204);
    d.give({CallFailed{d.write, engine::ExchangeEnd::connection_closed, ""}});
    d.pass(4ms);
    ASSERT_EQ(d.sent().size(), 3U);
    EXPECT_EQ(d.sent()[2].server[0], 'r');
    d.written(d.sent()[2].call);
    d.pass(210ms);
    EXPECT_EQ(d.releases().size(), 2U);
}

// Guards against a clock that is set back by ends that prove nothing: a write whose bytes are all out, and
// whose connection breaks, may never have been read.
TEST(PlatformEdge, EndsWithoutAnAnswerDoNotResetTheStatesTime) {
    UnansweredDecode d("chat");
    d.pass(300ms);
    d.give({CallFailed{d.write, engine::ExchangeEnd::connection_closed, ""}});
    d.pass(4ms);
    ASSERT_EQ(d.sent().size(), 3U);
    EXPECT_EQ(d.sent()[2].server[0], 'w');
    d.written(d.sent()[2].call);
    d.pass(210ms);
    EXPECT_EQ(d.releases().size(), 1U);
}

// An answer proves that an attempt had come: the state has its whole time again.
TEST(PlatformEdge, AnAnswerResetsTheStatesTime) {
    UnansweredDecode d("chat", 200ms);
    d.pass(150ms);
    d.answer(d.write, 503, "", "1");
    d.pass(4ms);
    ASSERT_EQ(d.sent().size(), 3U);
    d.written(d.sent()[2].call);
    d.pass(180ms);
    EXPECT_TRUE(d.releases().empty());
    d.pass(30ms);
    EXPECT_EQ(d.releases().size(), 1U);
}

// What a read may have left when it was called off does not wait for the attempt behind it.
TEST(PlatformEdge, WhatABrokenPrefillMayHaveLeftIsReleasedBesideAnUnansweredPrefill) {
    Platform d;
    d.get(platform_text::post("9b1f"));
    const auto first = d.sent().back().call;
    d.written(first);
    d.give({CallFailed{first, engine::ExchangeEnd::connection_closed, ""}});
    ASSERT_EQ(d.sent().size(), 2U);
    d.written(d.sent()[1].call);
    d.pass(510ms);
    EXPECT_GE(d.releases().size(), 1U);
}

// Guards against a clock that is set back: what a first read may have left has been there since that read
// broke, also when a second one breaks without a word.
TEST(PlatformEdge, SecondBrokenPrefillDoesNotResetTheTimeOfWhatTheFirstMayHaveLeft) {
    Platform d(settings_with_release_within(500ms));
    d.list({listed("r1", "reader"), listed("r2", "reader"), listed("r3", "reader"), listed("w1", "writer")});
    d.get(platform_text::post("9b1f"));
    for (const auto wait : {0ms, 300ms}) {
        d.pass(wait);
        const auto read = d.sent().back().call;
        d.written(read);
        d.give({CallFailed{read, engine::ExchangeEnd::connection_closed, ""}});
    }
    ASSERT_EQ(d.sent().size(), 3U);
    d.written(d.sent().back().call);
    EXPECT_TRUE(d.releases().empty());
    d.pass(210ms);
    EXPECT_GE(d.releases().size(), 1U);
}

// Where the module may not call attempts off, one goes on for a client that has gone; what is held for it
// does not wait for its end.
TEST(PlatformEdge, StateOfADisconnectedClientIsReleasedBesideItsDecode) {
    auto settings = settings_with_release_within(500ms);
    settings.router.cancellation_enabled = false;
    Platform d(settings);
    const auto write = d.to_decode();
    d.written(write);
    d.give({ClientClosed{{1}}});
    EXPECT_EQ(d.releases().size(), 1U);
    d.pass(10s);  // its server never answers, and is given up in the end
    EXPECT_TRUE(d.was_aborted(write));
    for (const auto& call : d.releases()) d.answer(call.call, 204);
    d.pass(1s);
    expect_empty(d);
}

// Guards against a release that finds one silent server after another, as where a zone is cut off: each round
// asks twice as many, so that a dozen servers are asked before the time is over.
TEST(PlatformEdge, ReleaseCallsMoreServersWithEachSilentOne) {
    Platform d(settings_with_release_within(500ms));
    std::vector<membership::EndpointConfig> all = {listed("r1", "reader"), listed("w1", "writer")};
    for (int i = 0; i < 20; ++i) all.push_back(listed("x" + std::to_string(i), "reader", EndpointState::up));
    d.list(all);
    const auto write = d.to_decode("order");
    d.written(write);
    d.pass(500ms + 290ms);
    std::set<std::string> called;
    for (const auto& call : d.releases()) called.insert(call.server);
    EXPECT_GE(called.size(), 12U);
    EXPECT_LE(called.size(), 16U);
    // One that answers ends it.
    d.answer(d.releases().back().call, 204);
    const auto calls = d.releases().size();
    d.pass(150ms);
    EXPECT_EQ(d.releases().size(), calls);
}

// An attempt that may not be called off ends at its request's deadline, also where nobody waits for it any
// more and its server never answers.
TEST(PlatformEdge, AttemptOfADisconnectedClientEndsAtTheDeadline) {
    auto settings = settings_with_release_within(500ms);
    settings.router.cancellation_enabled = false;
    Platform d(settings);
    d.get(platform_text::post("9b1f"));
    const auto read = d.sent().back().call;
    d.written(read);
    d.give({ClientClosed{{1}}});
    EXPECT_FALSE(d.was_aborted(read));
    d.pass(5s);
    EXPECT_TRUE(d.was_aborted(read));
    for (std::size_t i = 0; i < d.releases().size(); ++i) d.answer(d.releases()[i].call, 204);
    d.pass(1s);
    expect_empty(d);
}

// Of the servers in service the one that spoke last is asked for a release, not the one that holds the state:
// that one may have fallen silent since.
TEST(PlatformEdge, ReleaseCallsTheServerActiveLast) {
    UnansweredDecode d;
    const auto holder = d.sent()[0].server;
    d.pass(100ms);
    d.get(platform_text::post("9b20"), 2);
    ASSERT_EQ(d.sent().size(), 3U);
    d.answer(d.sent()[2].call, 202);
    d.pass(4ms);
    ASSERT_EQ(d.sent().size(), 4U);
    const auto active_last = d.sent()[3].server;
    ASSERT_NE(active_last, holder);
    d.answer(d.sent()[3].call, 200, kEvent + kDoneEvent);
    d.pass(406ms);
    ASSERT_GE(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].target, "/kv/leases/9b1f");
    EXPECT_EQ(d.releases()[0].server, active_last);
}

// In the 300 ms beyond the state's time enough servers are asked to find one that runs among silent ones.
TEST(PlatformEdge, ReleaseCallsFourServersInTheTimeLeft) {
    UnansweredDecode d;
    d.pass(500ms + 300ms);
    std::set<std::string> called;
    for (const auto& call : d.releases()) called.insert(call.server);
    EXPECT_EQ(called.size(), 4U);
}

// Guards against an attempt that goes out for a client that has gone, where the module may not call any off.
TEST(PlatformEdge, NoAttemptBeginsForADisconnectedClient) {
    auto settings =
        platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value());
    settings.router.cancellation_enabled = false;
    for (const bool written : {false, true}) {
        Platform d(settings);
        d.get(platform_text::post("9b1f"));
        const auto read = d.sent().back().call;
        d.give({CallSent{read}});
        if (written) d.written(read);
        d.give({ClientClosed{{1}}});
        EXPECT_EQ(d.was_aborted(read), !written);  // what has come runs on; nothing else begins
        d.pass(100ms);
        EXPECT_EQ(d.sent().size(), 1U);
    }
}

// Guards against a release that is asked of one silent server after another: next comes who spoke last.
TEST(PlatformEdge, FailedReleaseIsRepeatedAtTheServerActiveLast) {
    Platform d;
    d.list({listed("a1", "writer"), listed("a2", "writer"), listed("a3", "writer"), listed("r1", "reader"),
            listed("z1", "writer")});
    for (int i = 0; i < 40; ++i) {  // z1 alone speaks
        d.get(platform_text::post("warm" + std::to_string(i)), 100 + static_cast<std::uint64_t>(i));
        d.answer(d.sent().back().call, 202);
        const auto write = d.sent().back();
        if (write.server == "z1") d.answer(write.call, 200, kEvent + kDoneEvent);
        else
            d.give({CallFailed{write.call, engine::ExchangeEnd::dial_failed, ""},
                    ClientClosed{{100 + static_cast<std::uint64_t>(i)}}});
        if (write.server == "z1") break;
    }
    d.pass(1s);
    d.calls.clear();
    d.get(platform_text::post("one"), 1);
    d.written(d.sent().back().call);
    d.give({ClientClosed{{1}}});  // the read is called off, its state released
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].server, "r1");
    d.pass(200ms);
    ASSERT_GE(d.releases().size(), 2U);
    EXPECT_EQ(d.releases()[1].server, "z1");
}

// Whenever its client goes, nothing of it stays: no call, no state at a server, nothing in the module.
TEST(PlatformEdge, DisconnectedClientLeavesNothingAtAnyStage) {
    for (const int stage : {0, 1, 2, 3}) {
        Platform d;
        if (stage == 0) d.list({});  // held here
        d.get(platform_text::post("9b1f", "order"));
        if (stage == 1) d.written(d.sent()[0].call);
        if (stage >= 2) {
            d.answer(d.sent().back().call, 202);
            d.written(d.sent().back().call);
        }
        if (stage == 3) d.give({CallHead{d.sent()[1].call, 200, {}}, CallBody{d.sent()[1].call, kEvent}});
        d.give({ClientClosed{{1}}});
        d.pass(20s);
        if (stage >= 1) {
            EXPECT_TRUE(d.was_aborted(d.sent().back().call)) << stage;
        }
        EXPECT_EQ(d.releases().empty(), stage == 0 || stage == 3) << stage;  // a stream has taken the state
        EXPECT_EQ(d.edge.gauges().calls, 0U) << stage;
        expect_empty(d);
    }
}

// ---- a release, and the attempt that follows it ----

// Takes a request to where its state has waited its time, no connection to a writer having come up: the state
// is to be released, and the prompt read anew.
struct DeferredByRelease : Platform {
    DeferredByRelease() {
        const auto write = to_decode();
        give({CallFailed{write, engine::ExchangeEnd::dial_failed, ""}});
        EXPECT_EQ(sent().size(), 3U);
        pass(540ms);  // the second one dials for as long as the state may wait
        EXPECT_EQ(releases().size(), 1U);
    }
};

// Guards against a release that is called off for the attempt behind it, as it would take that one's state:
// before it was out, so that the first state was never released.
TEST(PlatformEdge, AttemptIsDeferredUntilTheReleaseIsWritten) {
    DeferredByRelease d;
    EXPECT_EQ(d.sent().size(), 3U);
    EXPECT_FALSE(d.was_aborted(d.releases()[0].call));
    d.written(d.releases()[0].call);
    ASSERT_EQ(d.sent().size(), 4U);
    EXPECT_EQ(d.sent()[3].server[0], 'r');
    EXPECT_FALSE(d.was_aborted(d.releases()[0].call));
    d.answer(d.releases()[0].call, 204);
    d.answer(d.sent()[3].call, 202);
    ASSERT_EQ(d.sent().size(), 5U);
    d.answer(d.sent()[4].call, 200, kEvent + kDoneEvent);
    EXPECT_EQ(d.streams_ended, 1);
    expect_empty(d);
}

// Servers that don't answer are asked in turn; the attempt waits no longer than that takes.
TEST(PlatformEdge, DeferredAttemptGoesWhenTheReleaseIsGivenUp) {
    DeferredByRelease d;
    d.pass(1200ms);
    EXPECT_GT(d.releases().size(), 2U);
    EXPECT_EQ(d.sent().size(), 4U);
}

TEST(PlatformEdge, ClientThatDisconnectsWhileAnAttemptIsDeferredLeavesNothing) {
    DeferredByRelease d;
    d.give({ClientClosed{{1}}});
    d.written(d.releases()[0].call);
    d.answer(d.releases()[0].call, 204);
    EXPECT_EQ(d.sent().size(), 3U);
    expect_empty(d);
}

TEST(PlatformEdge, DeadlineWhileAnAttemptIsDeferredIsAnswered) {
    auto settings =
        platform_settings(platform::parse_configuration(platform_text::configuration_text(), {}).value());
    settings.limits.release_retry = 1h;
    Platform d(settings);
    const auto write = d.to_decode();
    d.give({CallFailed{write, engine::ExchangeEnd::dial_failed, ""}});
    d.pass(600ms);
    ASSERT_EQ(d.releases().size(), 1U);
    d.pass(4s);
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.sent().size(), 3U);
    expect_empty(d);
}
}  // namespace
}  // namespace chalksail::core::testing
