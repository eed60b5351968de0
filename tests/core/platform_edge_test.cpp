// A request's life on the users' platform: the same core as behind vLLM's front, another convention.
#include <gtest/gtest.h>

#include <set>

#include "core/driver.hpp"
#include "core/platform_settings.hpp"
#include "platform/request.hpp"
#include "platform/told.hpp"

namespace chalksail::core::testing {
namespace {

namespace told = platform::testing;

struct Platform : Driver {
    explicit Platform(const std::string& text = told::configuration_text())
        : Platform(platform_settings(platform::parse_configuration(text, {}).value())) {}
    explicit Platform(const config::EdgeSettings& with) : Driver(with) { usual_list(); }
    void get(const std::string& bytes, std::uint64_t client = 1) {
        http::RequestReader reader({});
        std::string_view rest = bytes;
        give({ClientRequest{{client}, std::get<http::Request>(reader.feed(rest))}});
    }
    void written(CallId call) { give({CallSent{call}, CallWritten{call}}); }
    void answer(CallId call, int status, const std::string& bytes = "", const std::string& not_run = "") {
        http::Headers headers;
        if (!not_run.empty()) headers.add("X-Unprocessed", not_run);
        written(call);
        give({CallHead{call, status, headers}, CallBody{call, bytes}, CallDone{call}});
    }
    // Asks, and takes it through the read.
    CallId to_write(const std::string& cls = "chat") {
        get(told::post("9b1f", cls));
        EXPECT_EQ(sent().size(), 1U);
        now += 20ms;
        answer(sent().back().call, 202, R"({"cached_tokens":40})");
        EXPECT_EQ(sent().size(), 2U);
        return sent().back().call;
    }
};
const std::string kEvent = "data: {\"choices\":[]}\n\n";
const std::string kDoneEvent = "data: [DONE]\n\n";

TEST(PlatformEdge, ReadsThenPassesAStreamOnUnchanged) {
    Platform d;
    const auto write = d.to_write();
    const auto sent = d.sent();
    EXPECT_EQ(sent[0].server[0], 'r');
    EXPECT_EQ(sent[1].server[0], 'w');
    for (const auto& call : sent) {
        EXPECT_EQ(call.target, "/v1/chat/completions?a=b");
        EXPECT_EQ(call.body, R"({"model":"chat","stream":true,"messages":[]})");
        EXPECT_EQ(call.headers.get("x-correlation-id"), "9b1f");
        EXPECT_FALSE(call.headers.get("x-time-left").empty());
    }
    d.written(write);
    d.give({CallHead{write, 200, {}}});
    d.body(write, kEvent.substr(0, 9));
    EXPECT_EQ(d.streams_begun, 0);  // no event of it is whole
    d.body(write, kEvent.substr(9) + kDoneEvent);
    EXPECT_EQ(d.streams_ended, 0);  // it may still be spoilt
    d.give({CallDone{write}});
    EXPECT_EQ(d.streamed, kEvent + kDoneEvent);
    EXPECT_EQ(d.streams_ended, 1);
    EXPECT_TRUE(d.releases().empty());
    expect_empty(d);
}

TEST(PlatformEdge, BrokenStreamIsCutWithoutItsEnd) {
    Platform d;
    const auto write = d.to_write();
    d.written(write);
    d.give({CallHead{write, 200, {}}});
    d.body(write, kEvent);
    d.give({CallFailed{write, engine::Ending::closed, ""}});
    EXPECT_EQ(d.streamed, kEvent);
    EXPECT_EQ(d.streams_ended, 0);
    EXPECT_EQ(d.streams_cut, 1);
    expect_empty(d);
}

// A second request of one id can't be told from the first at the servers: the first goes on.
TEST(PlatformEdge, IdOfAnOpenRequestIsRefusedUntilThatIsOver) {
    Platform d;
    const auto write = d.to_write();
    d.get(told::post("9b1f"), 2);
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 409);
    EXPECT_EQ(d.sent().size(), 2U);
    d.answer(write, 200, kEvent + kDoneEvent);
    d.get(told::post("9b1f"), 3);
    EXPECT_EQ(d.sent().size(), 3U);
}

TEST(PlatformEdge, BadRequestsAreAnsweredAndNeverPassedOn) {
    Platform d;
    for (const auto& bad :
         {told::post(""), told::post("a", "nobody"), told::post("a", "chat", "", "never")}) {
        d.get(bad);
        EXPECT_EQ(d.replies.back().status, 400);
    }
    EXPECT_TRUE(d.calls.empty());
    expect_empty(d);
}

// "once" goes again only if the last byte of no writer attempt went out, or the server says so.
TEST(PlatformEdge, OnceGoesAgainOnlyIfProvedNotToHaveRun) {
    for (const bool whole : {false, true}) {
        Platform d;
        const auto write = d.to_write("order");
        d.give({CallSent{write}});
        if (whole) d.give({CallWritten{write}});
        d.give({CallFailed{write, engine::Ending::closed, ""}});
        EXPECT_EQ(d.sent().size(), whole ? 2U : 3U);
        EXPECT_EQ(d.replies.size(), whole ? 1U : 0U);
        if (whole) {
            EXPECT_EQ(d.replies[0].status, 502);
        }
    }
    Platform d;
    d.answer(d.to_write("order"), 503, "", "1");
    EXPECT_EQ(d.sent().size(), 3U);
}

// What is held is let go of by one call for the whole request, at another server if the first does not
// answer.
TEST(PlatformEdge, StateThatNobodyWantsIsLetGoWhereSomebodyAnswers) {
    Platform d;
    const auto write = d.to_write("order");
    d.written(write);
    d.give({CallFailed{write, engine::Ending::closed, ""}});
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].method, "DELETE");
    EXPECT_EQ(d.releases()[0].target, "/kv/leases/9b1f");
    d.pass(100ms);  // silence: two others are asked
    ASSERT_EQ(d.releases().size(), 3U);
    EXPECT_NE(d.releases()[1].server, d.releases()[0].server);
    EXPECT_NE(d.releases()[2].server, d.releases()[0].server);
    EXPECT_NE(d.releases()[2].server, d.releases()[1].server);
    EXPECT_TRUE(d.was_aborted(d.releases()[0].call));
    d.answer(d.releases()[1].call, 204);
    d.pass(2s);
    EXPECT_EQ(d.releases().size(), 3U);
}

// A read may have ended well at the moment at which it broke. While it is read anew nothing is let go of: the
// call would take the new state too.
TEST(PlatformEdge, BrokenReadIsLetGoOnlyOnceNoAttemptIsOut) {
    Platform d;
    d.get(told::post("9b1f"));
    const auto read = d.sent().back().call;
    d.written(read);
    d.give({CallFailed{read, engine::Ending::closed, ""}});
    ASSERT_EQ(d.sent().size(), 2U);  // read anew
    EXPECT_TRUE(d.releases().empty());
    d.give({ClientClosed{{1}}});
    d.give({CallSent{d.sent()[1].call}, CallFailed{d.sent()[1].call, engine::Ending::closed, ""}});
    EXPECT_EQ(d.releases().size(), 1U);
}

// The read has run, whatever its answer looks like.
TEST(PlatformEdge, ReadWhoseAnswerIsSpoiltIsLetGo) {
    Platform d;
    d.get(told::post("9b1f"));
    d.written(d.sent()[0].call);
    d.give({CallFailed{d.sent()[0].call, engine::Ending::bad_answer, "noise"}});
    d.give({ClientClosed{{1}}});
    d.give({CallFailed{d.sent().back().call, engine::Ending::dial_failed, ""}});
    EXPECT_EQ(d.releases().size(), 1U);
    expect_empty(d);
}

TEST(PlatformEdge, BodiesInSumAreBoundedAndGivenBack) {
    auto settings = platform_settings(platform::parse_configuration(told::configuration_text(), {}).value());
    settings.limits.request_bytes = 60;  // one body has 43
    Platform d(settings);
    for (int i = 0; i < 3; ++i) {
        const auto before = d.replies.size();
        const auto write = d.to_write();
        d.get(told::post("other"), 2);
        ASSERT_EQ(d.replies.size(), before + 1);
        EXPECT_EQ(d.replies.back().status, 503);
        d.answer(write, 200, kEvent + kDoneEvent);
        d.calls.clear();
    }
}

TEST(PlatformEdge, ServerIsForgottenOnceNothingOfItIsOut) {
    Platform d;
    const auto write = d.to_write();
    auto gone = listed(d.sent().back().server, "writer", EndpointState::removed);
    d.written(write);
    d.list({gone}, EndpointUpdateKind::delta);
    EXPECT_TRUE(d.forgotten.empty());  // its stream may still come
    d.give({CallHead{write, 200, {}}, CallBody{write, kEvent + kDoneEvent}, CallDone{write}});
    EXPECT_EQ(d.streams_ended, 1);
    d.list({listed("r9", "reader")}, EndpointUpdateKind::delta);
    EXPECT_EQ(d.forgotten, std::vector{gone.endpoint.id.value});
}

TEST(PlatformEdge, ReadyUntilItGoesAway) {
    Platform d;
    d.get("GET /ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(d.replies.back().status, 200);
    d.give({DrainStarted{}});
    d.get("GET /ready HTTP/1.1\r\n\r\n");
    EXPECT_EQ(d.replies.back().status, 503);
    d.get(told::post("9b1f"));
    EXPECT_EQ(d.replies.back().status, 503);
    EXPECT_EQ(d.replies.back().headers.get("connection"), "close");
}

// Guards against connections that are ended without a word at the shutdown's limit: who waits, for a read, a
// writer or room, gets an answer, and who reads a stream its cut. What is held is released.
TEST(PlatformEdge, EveryoneGetsAnAnswerAtTheShutdownsLimit) {
    Platform d;
    const auto stream = d.to_write();
    d.written(stream);
    d.give({CallHead{stream, 200, {}}});
    d.body(stream, kEvent);
    d.get(told::post("9b20"), 2);  // is being read
    d.written(d.sent().back().call);
    d.get(told::post("9b21", "order"), 3);  // is with a writer
    d.answer(d.sent().back().call, 202, R"({"cached_tokens":40})");
    d.written(d.sent().back().call);
    d.give({DrainStarted{}, DrainExpired{}});
    EXPECT_EQ(d.streams_cut, 1);
    ASSERT_EQ(d.replies.size(), 2U);
    EXPECT_EQ(d.replies[0].client, ClientId{2});
    EXPECT_EQ(d.replies[1].client, ClientId{3});
    for (const auto& r : d.requests) EXPECT_EQ(r.reason, observe::TerminationReason::drain);
    EXPECT_EQ(d.requests.size(), 3U);
    for (const auto& call : d.releases()) d.answer(call.call, 204);
    EXPECT_FALSE(d.releases().empty());
    expect_empty(d);
}

// What is taken shortly before the end must not be found unanswered by it.
TEST(PlatformEdge, AnswersBeforeItsEndWhatItStillTakes) {
    Platform d;
    d.give({ShutdownAnnounced{d.now + 900ms}});
    d.get(told::post("9b1f"));
    ASSERT_EQ(d.sent().size(), 1U);
    d.written(d.sent()[0].call);
    d.pass(1s);  // the reader says nothing
    EXPECT_EQ(d.replies.size(), 1U);
}

// The kill would find its stream unanswered, which loses it: its client asks another gateway for the rest.
TEST(PlatformEdge, MovesAStreamTakenShortlyBeforeItsEnd) {
    Platform d;
    d.give({ShutdownAnnounced{d.now + 900ms}});
    const auto write = d.to_write();
    d.written(write);
    d.give({CallHead{write, 200, {}}});
    d.body(write, kEvent);
    d.pass(1s);
    EXPECT_EQ(d.streams_cut, 1);
    EXPECT_EQ(d.streams_ended, 0);
    EXPECT_TRUE(d.was_aborted(write));
    expect_empty(d);
}

TEST(PlatformEdge, RefusalSaysWhenToComeBack) {
    Platform d;
    d.list({});  // nothing to send to: held until the aim, then refused
    d.get(told::post("9b1f"));
    d.pass(4s);
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 503);
    EXPECT_EQ(d.replies[0].headers.get("retry-after"), "0.500");
}

// New servers with new ids replace the old ones all day.
TEST(PlatformEdge, NothingOfWhatIsGoneStays) {
    Platform d;
    std::vector<std::string> now = {"r1", "w1"};
    d.list({listed("r1", "reader"), listed("w1", "writer")});
    for (int i = 0; i < 200; ++i) {
        const std::vector<std::string> next = {"r-" + std::to_string(i), "w-" + std::to_string(i)};
        d.list({listed(now[0], "reader", EndpointState::removed),
                listed(now[1], "writer", EndpointState::removed), listed(next[0], "reader"),
                listed(next[1], "writer")},
               EndpointUpdateKind::delta);
        now = next;
        d.calls.clear();
        d.answer(d.to_write(), 200, kEvent + kDoneEvent);
    }
    EXPECT_EQ(d.streams_ended, 200);
    EXPECT_EQ(d.edge.endpoints().size(), 2U);
    EXPECT_EQ(d.forgotten.size(), 402U);  // and the two of the usual list
    d.pass(10s);
    EXPECT_EQ(d.edge.gauges().calls, 0U);
    expect_empty(d);
}

// Back from nothing, with a list that may be old: what drains gets nothing, what has just started no crowd.
TEST(PlatformEdge, OldListKeepsDrainsAndColdBudgets) {
    for (const bool cold : {true, false}) {
        Platform d;
        auto writer = listed("w2", "writer");
        if (cold) writer.endpoint.started_at = d.now - 100ms;
        d.list({listed("r1", "reader"), listed("r2", "reader", EndpointState::draining),
                listed("w1", "writer", EndpointState::draining), writer},
               EndpointUpdateKind::cached_snapshot);
        for (std::uint64_t i = 0; i < 30; ++i) d.get(told::post("id" + std::to_string(i)), i + 1);
        for (std::size_t i = 0; i < d.sent().size(); ++i)
            if (d.sent()[i].server == "r1") d.answer(d.sent()[i].call, 202);
        int writes = 0;
        for (const auto& call : d.sent()) {
            EXPECT_TRUE(call.server == "r1" || call.server == "w2") << call.server;
            writes += call.server == "w2" ? 1 : 0;
        }
        // Of what a warm one bears nothing is known yet: one at most.
        EXPECT_TRUE(cold ? writes <= 1 : writes == 30) << writes;
    }
}

// Guards against a state that waits while its attempt's connection does not come up, or its bytes queue: the
// time to release goes on, so the attempt is called off and the state released within the settings' time.
TEST(PlatformEdge, StateIsReleasedWhileNoConnectionComesUp) {
    auto settings = platform_settings(platform::parse_configuration(told::configuration_text(), {}).value());
    settings.module.release_within = 200ms;
    for (const bool there : {false, true}) {
        Platform d(settings);
        const auto write = d.to_write();
        d.give({CallSent{write}});  // a part of it may be out: it has not come before its last byte
        if (there) d.written(write);
        d.pass(210ms);
        EXPECT_EQ(d.was_aborted(write), !there);
        EXPECT_EQ(d.releases().size(), 1U);
        EXPECT_EQ(d.replies.size(), 0U);  // the request goes on
        EXPECT_EQ(d.edge.gauges().open_requests, 1U);
    }
}

// ---- what is held while an attempt is unanswered ----

config::EdgeSettings released_within(Duration time) {
    auto out = platform_settings(platform::parse_configuration(told::configuration_text(), {}).value());
    out.module.release_within = time;
    return out;
}
struct Unanswered : Platform {
    explicit Unanswered(const std::string& cls = "order", Duration time = 500ms)
        : Platform(released_within(time)), write(to_write(cls)) {
        written(write);
    }
    CallId write;
};

// The release is asked of who spoke last, and goes on being made for as long as the attempt says nothing: its
// server may have it, and die with it.
TEST(PlatformEdge, ReleaseBesideAnUnansweredWriteIsRepeated) {
    Unanswered d;
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
TEST(PlatformEdge, StreamBeginsBehindTheReleaseBesideItsWrite) {
    Unanswered d;
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
TEST(PlatformEdge, UnansweredWriteIsFollowedByAReleaseAndARead) {
    Unanswered d("chat", 200ms);
    d.pass(210ms);
    ASSERT_EQ(d.releases().size(), 1U);
    d.answer(d.releases()[0].call, 204);
    d.give({CallFailed{d.write, engine::Ending::closed, ""}});
    d.pass(4ms);
    ASSERT_EQ(d.sent().size(), 3U);
    EXPECT_EQ(d.sent()[2].server[0], 'r');
    d.written(d.sent()[2].call);
    d.pass(210ms);
    EXPECT_EQ(d.releases().size(), 2U);
}

// Guards against a clock that is set back by ends that prove nothing: a write whose bytes are all out, and
// whose connection breaks, may never have been read.
TEST(PlatformEdge, EndsWithoutAnAnswerDoNotSetTheStatesTimeBack) {
    Unanswered d("chat");
    d.pass(300ms);
    d.give({CallFailed{d.write, engine::Ending::closed, ""}});
    d.pass(4ms);
    ASSERT_EQ(d.sent().size(), 3U);
    EXPECT_EQ(d.sent()[2].server[0], 'w');
    d.written(d.sent()[2].call);
    d.pass(210ms);
    EXPECT_EQ(d.releases().size(), 1U);
}

// An answer proves that an attempt had come: the state has its whole time again.
TEST(PlatformEdge, AnAnswerSetsTheStatesTimeBack) {
    Unanswered d("chat", 200ms);
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
TEST(PlatformEdge, WhatABrokenReadMayHaveLeftIsReleasedBesideAnUnansweredRead) {
    Platform d;
    d.get(told::post("9b1f"));
    const auto first = d.sent().back().call;
    d.written(first);
    d.give({CallFailed{first, engine::Ending::closed, ""}});
    ASSERT_EQ(d.sent().size(), 2U);
    d.written(d.sent()[1].call);
    d.pass(510ms);
    EXPECT_GE(d.releases().size(), 1U);
}

// Guards against a clock that is set back: what a first read may have left has been there since that read
// broke, also when a second one breaks without a word.
TEST(PlatformEdge, SecondBrokenReadDoesNotSetBackTheTimeOfWhatTheFirstMayHaveLeft) {
    Platform d(released_within(500ms));
    d.list({listed("r1", "reader"), listed("r2", "reader"), listed("r3", "reader"), listed("w1", "writer")});
    d.get(told::post("9b1f"));
    for (const auto wait : {0ms, 300ms}) {
        d.pass(wait);
        const auto read = d.sent().back().call;
        d.written(read);
        d.give({CallFailed{read, engine::Ending::closed, ""}});
    }
    ASSERT_EQ(d.sent().size(), 3U);
    d.written(d.sent().back().call);
    EXPECT_TRUE(d.releases().empty());
    d.pass(210ms);
    EXPECT_GE(d.releases().size(), 1U);
}

// Where the module may not call attempts off, one goes on for a client that has gone; what is held for it
// does not wait for its end.
TEST(PlatformEdge, StateOfAClientThatHasGoneIsReleasedBesideItsWrite) {
    auto settings = released_within(500ms);
    settings.module.cancellation_enabled = false;
    Platform d(settings);
    const auto write = d.to_write();
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
TEST(PlatformEdge, ReleaseAsksMoreServersWithEachSilentOne) {
    Platform d(released_within(500ms));
    std::vector<membership::EndpointConfig> all = {listed("r1", "reader"), listed("w1", "writer")};
    for (int i = 0; i < 20; ++i) all.push_back(listed("x" + std::to_string(i), "reader", EndpointState::up));
    d.list(all);
    const auto write = d.to_write("order");
    d.written(write);
    d.pass(500ms + 290ms);
    std::set<std::string> asked;
    for (const auto& call : d.releases()) asked.insert(call.server);
    EXPECT_GE(asked.size(), 12U);
    EXPECT_LE(asked.size(), 16U);
    // One that answers ends it.
    d.answer(d.releases().back().call, 204);
    const auto calls = d.releases().size();
    d.pass(150ms);
    EXPECT_EQ(d.releases().size(), calls);
}

// An attempt that may not be called off ends at its request's deadline, also where nobody waits for it any
// more and its server never answers.
TEST(PlatformEdge, AttemptOfAClientThatHasGoneEndsAtTheDeadline) {
    auto settings = released_within(500ms);
    settings.module.cancellation_enabled = false;
    Platform d(settings);
    d.get(told::post("9b1f"));
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
TEST(PlatformEdge, ReleaseIsAskedOfWhoSpokeLast) {
    Unanswered d;
    const auto holder = d.sent()[0].server;
    d.pass(100ms);
    d.get(told::post("9b20"), 2);
    ASSERT_EQ(d.sent().size(), 3U);
    d.answer(d.sent()[2].call, 202);
    d.pass(4ms);
    ASSERT_EQ(d.sent().size(), 4U);
    const auto spoke = d.sent()[3].server;
    ASSERT_NE(spoke, holder);
    d.answer(d.sent()[3].call, 200, kEvent + kDoneEvent);
    d.pass(406ms);
    ASSERT_GE(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].target, "/kv/leases/9b1f");
    EXPECT_EQ(d.releases()[0].server, spoke);
}

// In the 300 ms beyond the state's time enough servers are asked to find one that runs among silent ones.
TEST(PlatformEdge, ReleaseIsAskedOfFourServersInTheTimeThatIsLeft) {
    Unanswered d;
    d.pass(500ms + 300ms);
    std::set<std::string> asked;
    for (const auto& call : d.releases()) asked.insert(call.server);
    EXPECT_EQ(asked.size(), 4U);
}

// Guards against an attempt that goes out for a client that has gone, where the module may not call any off.
TEST(PlatformEdge, NoAttemptBeginsForAClientThatHasGone) {
    auto settings = platform_settings(platform::parse_configuration(told::configuration_text(), {}).value());
    settings.module.cancellation_enabled = false;
    for (const bool written : {false, true}) {
        Platform d(settings);
        d.get(told::post("9b1f"));
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
TEST(PlatformEdge, ReleaseThatFailsIsAskedOfWhoSpokeLast) {
    Platform d;
    d.list({listed("a1", "writer"), listed("a2", "writer"), listed("a3", "writer"), listed("r1", "reader"),
            listed("z1", "writer")});
    for (int i = 0; i < 40; ++i) {  // z1 alone speaks
        d.get(told::post("warm" + std::to_string(i)), 100 + static_cast<std::uint64_t>(i));
        d.answer(d.sent().back().call, 202);
        const auto write = d.sent().back();
        if (write.server == "z1") d.answer(write.call, 200, kEvent + kDoneEvent);
        else
            d.give({CallFailed{write.call, engine::Ending::dial_failed, ""},
                    ClientClosed{{100 + static_cast<std::uint64_t>(i)}}});
        if (write.server == "z1") break;
    }
    d.pass(1s);
    d.calls.clear();
    d.get(told::post("one"), 1);
    d.written(d.sent().back().call);
    d.give({ClientClosed{{1}}});  // the read is called off, its state released
    ASSERT_EQ(d.releases().size(), 1U);
    EXPECT_EQ(d.releases()[0].server, "r1");
    d.pass(200ms);
    ASSERT_GE(d.releases().size(), 2U);
    EXPECT_EQ(d.releases()[1].server, "z1");
}

// Whenever its client goes, nothing of it stays: no call, no state at a server, nothing in the module.
TEST(PlatformEdge, ClientThatGoesLeavesNothingAtAnyStage) {
    for (const int stage : {0, 1, 2, 3}) {
        Platform d;
        if (stage == 0) d.list({});  // held here
        d.get(told::post("9b1f", "order"));
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
struct CalledOff {
    explicit CalledOff(bool written = true) {
        auto scripted = std::make_unique<Scripted>();
        router = scripted.get();
        edge = std::make_unique<Edge>(
            platform_settings(platform::parse_configuration(told::configuration_text(), {}).value()),
            std::move(scripted));
        give({membership::EndpointList{EndpointUpdateKind::snapshot,
                                       {listed("r1", "reader"), listed("w1", "writer")}}});
        http::RequestReader reader({});
        const auto text = told::post("9b1f", "order");
        std::string_view rest = text;
        router->next = {Send{{1}, {"r1"}, {}}};
        give({ClientRequest{{1}, std::get<http::Request>(reader.feed(rest))}});
        if (written) give({CallSent{call}, CallWritten{call}});
        router->seen.clear();
        router->next = {CancelAttempt{{1}, {0}}};
        give({membership::EndpointList{EndpointUpdateKind::delta, {}}});  // anything: the module acts
    }
    void give(std::vector<Input> inputs) {
        for (const auto& o : edge->step(now, std::move(inputs))) {
            if (const auto* c = std::get_if<Call>(&o)) call = c->call;
            sending_ended += std::holds_alternative<HalfCloseCall>(o) ? 1 : 0;
            aborted += std::holds_alternative<CallAbort>(o) ? 1 : 0;
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
TEST(PlatformEdge, AnswerOnItsWayToACalledOffReadIsHeard) {
    CalledOff d;
    EXPECT_EQ(d.sending_ended, 1);
    EXPECT_EQ(d.aborted, 0);
    EXPECT_TRUE(d.outcomes().empty());  // not over: nothing is sent in its place
    d.give({CallHead{d.call, 202, {}}, CallBody{d.call, R"({"cached_tokens":4})"}, CallDone{d.call}});
    EXPECT_EQ(d.outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::prefilled});
    EXPECT_EQ(d.edge->gauges().kv_states_held, 1U);
}

TEST(PlatformEdge, ServersCloseBehindACallOffEndsIt) {
    CalledOff d;
    d.give({CallFailed{d.call, engine::Ending::closed, ""}});
    EXPECT_EQ(d.outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::cancelled});
    EXPECT_EQ(d.aborted, 0);
}

TEST(PlatformEdge, SilenceBehindACallOffEndsItSoon) {
    CalledOff d;
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

TEST(PlatformEdge, ReadThatWasNotOutIsCalledOffAtOnce) {
    CalledOff d(false);
    EXPECT_EQ(d.sending_ended, 0);
    EXPECT_EQ(d.aborted, 1);
    EXPECT_EQ(d.outcomes(), std::vector<AttemptOutcome>{AttemptOutcome::connect_failed});
}

// Its client goes while the answer is waited for: what was read is released.
TEST(PlatformEdge, ClientThatGoesBehindACallOffLeavesNothing) {
    CalledOff d;
    d.give({ClientClosed{{1}}});
    d.give({CallHead{d.call, 202, {}}, CallDone{d.call}});
    EXPECT_EQ(d.edge->gauges().open_requests, 0U);
    EXPECT_EQ(d.edge->gauges().kv_states_held, 0U);
    EXPECT_EQ(d.edge->gauges().calls, 1U);  // the release
}

TEST(PlatformEdge, PlaceIsAskedForToldAndLetGo) {
    auto scripted = std::make_unique<Scripted>();
    Scripted& router = *scripted;
    Platform d;
    Edge edge(platform_settings(platform::parse_configuration(told::configuration_text(), {}).value()),
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
    const auto text = told::post("9b1f");
    std::string_view rest = text;
    router.next = {Send{{1}, {"r1"}, {}}, Reserve{{1}, {"w1"}}};
    const auto out =
        calls_of(edge.step(now, {ClientRequest{{1}, std::get<http::Request>(reader.feed(rest))}}));
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
    const auto last = calls_of(edge.step(now, {CallFailed{out[0].call, engine::Ending::dial_failed, ""}}));
    ASSERT_EQ(last.size(), 1U);
    EXPECT_EQ(last[0].method, "DELETE");
}

// Guards against a key that stays here: servers drop repeats by it, and hold a request without it for another
// one.
TEST(PlatformEdge, IdempotencyKeyGoesWithEachAttempt) {
    Platform d;
    d.get(told::post("9b1f", "chat", "idempotency-key: a667f8f0 f5f4\r\n"));
    d.answer(d.sent().back().call, 202);
    d.get(told::post("9b20"), 2);
    const auto sent = d.sent();
    ASSERT_EQ(sent.size(), 3U);
    EXPECT_EQ(sent[0].headers.get("Idempotency-Key"), "a667f8f0 f5f4");
    EXPECT_EQ(sent[1].headers.get("Idempotency-Key"), "a667f8f0 f5f4");
    EXPECT_FALSE(sent[2].headers.has("Idempotency-Key"));
    d.get(told::post("9b21", "chat", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"), 3);
    EXPECT_EQ(d.replies.back().status, 400);
}

// ---- a release, and the attempt that follows it ----

// Takes a request to where its state has waited its time, no connection to a writer having come up: the state
// is to be released, and the prompt read anew.
struct Unreleased : Platform {
    Unreleased() {
        const auto write = to_write();
        give({CallFailed{write, engine::Ending::dial_failed, ""}});
        EXPECT_EQ(sent().size(), 3U);
        pass(540ms);  // the second one dials for as long as the state may wait
        EXPECT_EQ(releases().size(), 1U);
    }
};

// Guards against a release that is called off for the attempt behind it, as it would take that one's state:
// before it was out, so that the first state was never released.
TEST(PlatformEdge, AttemptWaitsUntilTheReleaseBeforeItIsOut) {
    Unreleased d;
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
TEST(PlatformEdge, AttemptGoesWhenTheReleaseIsGivenUp) {
    Unreleased d;
    d.pass(1200ms);
    EXPECT_GT(d.releases().size(), 2U);
    EXPECT_EQ(d.sent().size(), 4U);
}

TEST(PlatformEdge, ClientThatGoesWhileAnAttemptWaitsLeavesNothing) {
    Unreleased d;
    d.give({ClientClosed{{1}}});
    d.written(d.releases()[0].call);
    d.answer(d.releases()[0].call, 204);
    EXPECT_EQ(d.sent().size(), 3U);
    expect_empty(d);
}

TEST(PlatformEdge, DeadlineWhileAnAttemptWaitsIsAnswered) {
    auto settings = platform_settings(platform::parse_configuration(told::configuration_text(), {}).value());
    settings.limits.release_retry = 1h;
    Platform d(settings);
    const auto write = d.to_write();
    d.give({CallFailed{write, engine::Ending::dial_failed, ""}});
    d.pass(600ms);
    ASSERT_EQ(d.releases().size(), 1U);
    d.pass(4s);
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.sent().size(), 3U);
    expect_empty(d);
}

// ---- the last look before the first byte ----

http::Headers headers_of(const Call& call) { return call.headers; }

// Guards against a time told to a server that was right when the attempt was decided on, before its dial.
TEST(PlatformEdge, TimeToldIsWhatIsLeftAtTheWrite) {
    Platform d;
    d.get(told::post("9b1f"));
    const auto call = d.sent().back();
    const auto at_decision = platform::parse_time_left(call.headers.get("x-time-left"));
    auto headers = headers_of(call);
    EXPECT_TRUE(d.edge.may_begin(d.now + 200ms, call.call, headers));
    EXPECT_EQ(platform::parse_time_left(headers.get("x-time-left")), *at_decision - 200ms);
    EXPECT_EQ(headers.all().size(), call.headers.all().size());
}

TEST(PlatformEdge, NothingBeginsPastTheDeadlineOrForAClientThatHasGone) {
    Platform d;
    d.get(told::post("9b1f"));
    const auto call = d.sent().back();
    auto headers = headers_of(call);
    EXPECT_FALSE(d.edge.may_begin(d.now + 4s, call.call, headers));
    d.give({ClientClosed{{1}}});
    EXPECT_FALSE(d.edge.may_begin(d.now, call.call, headers));
    expect_empty(d);
}

// What is kept back tells nothing of its server, and is answered: refused if nothing of it can have run.
TEST(PlatformEdge, WhatIsKeptBackIsAnsweredAndNoServersFault) {
    Platform d;
    d.get(told::post("9b1f"));
    d.give({CallFailed{d.sent().back().call, engine::Ending::expired, ""}});
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 503);
    EXPECT_EQ(d.attempts.back().outcome, "moot");
    expect_empty(d);
}

// Guards against a repeat that is decided on inside the window and written after it.
TEST(PlatformEdge, WindowForRepeatsCountsAtTheWrite) {
    std::string text = told::configuration_text();
    const std::string once =
        R"("effect":"once","gain":3.0,"group":"all","late_worth":0.2,"name":"order","streamed":true,"window_ns":0)";
    const auto at = text.find(once);
    ASSERT_NE(at, std::string::npos);
    text.replace(
        at, once.size(),
        R"("effect":"by_key","gain":3.0,"group":"all","late_worth":0.2,"name":"order","streamed":true,"window_ns":600000000)");
    Platform d(text);
    const auto first = d.to_write("order");
    d.written(first);
    const Time begun = d.now;
    d.now += 50ms;
    d.give({CallFailed{first, engine::Ending::closed, ""}});
    ASSERT_EQ(d.sent().size(), 3U);  // sent again: read anew, or written
    const auto again = d.sent().back();
    auto headers = headers_of(again);
    EXPECT_TRUE(d.edge.may_begin(begun + 500ms, again.call, headers));
    EXPECT_FALSE(d.edge.may_begin(begun + 600ms, again.call, headers));
}

// Each way in which a write may end, with none, a part and all of the request out: a `once` request goes
// again if and only if its last byte is not out, or the server says that it did not run.
enum class Out { none, part, all };
using EndOfWrite = std::tuple<engine::Ending, Out>;
class OnceWrite : public ::testing::TestWithParam<EndOfWrite> {};
TEST_P(OnceWrite, GoesAgainOnlyIfItsLastByteIsNotOut) {
    const auto [ending, out] = GetParam();
    Platform d;
    const auto write = d.to_write("order");
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
INSTANTIATE_TEST_SUITE_P(Kinds, OnceWrite,
                         ::testing::Combine(::testing::Values(engine::Ending::closed,
                                                              engine::Ending::dial_failed,
                                                              engine::Ending::timed_out),
                                            ::testing::Values(Out::none, Out::part, Out::all)));

class OnceEarlyAnswer : public ::testing::TestWithParam<std::tuple<int, bool>> {};
TEST_P(OnceEarlyAnswer, IsProofOnlyBeforeTheLastByte) {
    const auto [status, whole] = GetParam();
    Platform d;
    const auto write = d.to_write("order");
    d.give({CallSent{write}});
    if (whole) d.give({CallWritten{write}});
    d.give({CallHead{write, status, {}}, CallDone{write}});
    EXPECT_EQ(d.sent().size(), whole ? 2U : 3U) << status;
}
INSTANTIATE_TEST_SUITE_P(Kinds, OnceEarlyAnswer,
                         ::testing::Combine(::testing::Values(400, 404, 408, 413, 500, 503),
                                            ::testing::Bool()));

}  // namespace
}  // namespace chalksail::core::testing
