// A server that does not prove its name: out at once, asked again by a handshake alone after growing pauses,
// back only when it proves it.
#include <gtest/gtest.h>

#include <map>

#include "core/driver.hpp"

namespace chalksail::core::testing {
namespace {

std::vector<Call> trials(const Driver& d) {
    std::vector<Call> out;
    for (const auto& c : d.calls)
        if (c.kind == CallKind::verify) out.push_back(c);
    return out;
}
void mark_unverified(Driver& d, CallId call) {
    d.give({CallFailed{call, engine::ExchangeEnd::unverified, "TLS, not verified: hostname mismatch"}});
}
config::EdgeSettings pauses() {
    auto s = settings();
    s.limits.unverified_backoff = 1s;
    s.limits.unverified_backoff_max = 4s;
    return s;
}

TEST(Verification, BackoffGrowsToItsMaximum) {
    membership::Verification v({1s, 4s, 2});
    Time now{100s};
    EXPECT_TRUE(v.failed("w", now));
    EXPECT_FALSE(v.failed("w", now));  // others that were on their way: no news
    for (const auto pause : {1s, 2s, 4s, 4s}) {
        EXPECT_EQ(v.next(), now + pause);
        EXPECT_TRUE(v.due(now + pause - 1ms).empty());
        now += pause;
        EXPECT_EQ(v.due(now), std::vector<std::string>{"w"});
        EXPECT_TRUE(v.due(now).empty());  // one trial at a time
        EXPECT_FALSE(v.failed("w", now));
    }
    v.changed("w", now);
    EXPECT_EQ(v.due(now), std::vector<std::string>{"w"});
    v.inconclusive("w", now);  // no connection: the same pause again, not a longer one
    EXPECT_EQ(v.next(), now + 1s);
    EXPECT_TRUE(v.verified("w"));
    EXPECT_FALSE(v.unverified("w"));
    EXPECT_EQ(v.next(), std::nullopt);
}

TEST(Verification, UnverifiedServerGetsNothingUntilItProvesItsName) {
    Driver d(pauses());
    d.usual_list();
    const CallId write = d.to_decode("once");
    const std::string bad = d.sent().back().server;
    mark_unverified(d, write);
    // Proved not to have run: even what must not run twice goes to the other writer at once.
    ASSERT_EQ(d.sent().size(), 3U);
    EXPECT_NE(d.sent().back().server, bad);
    EXPECT_EQ(d.attempts.back().outcome, "connect_failed");
    d.head(d.sent().back().call);
    d.body(d.sent().back().call, chunk("yes") + chat::format_event("[DONE]"));
    EXPECT_EQ(d.edge.gauges().unverified_servers, 1U);
    for (int i = 0; i < 20; ++i) {
        d.send_request("m", R"(,"stream":true)", {}, 10 + static_cast<std::uint64_t>(i));
        d.answer_prefill(d.sent().back().call);
        EXPECT_NE(d.sent().back().server, bad);
        d.head(d.sent().back().call);
        d.body(d.sent().back().call, chunk("yes") + chat::format_event("[DONE]"));
    }
    // Trials carry no request; a list that repeats the entry changes nothing, one that moves it asks at once.
    d.pass(1s);
    ASSERT_EQ(trials(d).size(), 1U);
    EXPECT_TRUE(trials(d)[0].body.empty());
    mark_unverified(d, trials(d)[0].call);
    d.usual_list();
    d.pass(500ms);
    EXPECT_EQ(trials(d).size(), 1U);
    auto moved = listed(bad, "writer");
    moved.address.port = 10;
    d.list({moved}, EndpointUpdateKind::delta);
    ASSERT_EQ(trials(d).size(), 2U);
    EXPECT_EQ(trials(d)[1].address.port, 10);
    d.give({CallDone{trials(d)[1].call}});
    EXPECT_EQ(d.edge.gauges().unverified_servers, 0U);
    bool back = false;
    // The module tries it by a probe first, as after any failed connection.
    for (int i = 0; i < 100; ++i) {
        d.pass(100ms);
        for (const auto& c : std::vector<Call>(d.calls))
            if (c.kind == CallKind::health_check)
                d.give({CallSent{c.call}, CallHead{c.call, 200, {}}, CallDone{c.call}});
    }
    for (int i = 0; i < 20; ++i) {
        d.send_request("m", R"(,"stream":true)", {}, 50 + static_cast<std::uint64_t>(i));
        d.answer_prefill(d.sent().back().call);
        back = back || d.sent().back().server == bad;
        d.head(d.sent().back().call);
        d.body(d.sent().back().call, chunk("yes") + chat::format_event("[DONE]"));
    }
    EXPECT_TRUE(back);
    expect_empty(d);
}

TEST(Verification, ChangedTrustVerifiesAllAtOnce) {
    Driver d(pauses());
    d.usual_list();
    mark_unverified(d, d.to_decode());
    mark_unverified(d, d.sent().back().call);
    d.pass(1s);
    for (const auto& t : trials(d)) mark_unverified(d, t.call);
    const auto before = trials(d).size();
    EXPECT_EQ(before, 2U);
    d.give({TrustStoreChanged{}});
    EXPECT_EQ(trials(d).size(), before + 2);
}

TEST(Verification, NoServerLeftIsRejectedInTimeWithRetryAfter) {
    Driver d(pauses());
    d.list({listed("r1", "reader"), listed("w1", "writer")});
    mark_unverified(d, d.to_decode("once"));
    d.pass(4s);
    ASSERT_EQ(d.replies.size(), 1U);
    EXPECT_EQ(d.replies[0].status, 503);
    EXPECT_FALSE(d.replies[0].headers.get("retry-after").empty());
    EXPECT_EQ(d.sent().size(), 2U);
}

TEST(Verification, QueuedAttemptsToThatServerAreWithheld) {
    Driver d(pauses());
    d.list({listed("r1", "reader"), listed("w1", "writer"), listed("w2", "writer")});
    std::map<std::string, std::vector<CallId>> waiting;  // writes that have no connection yet
    for (std::uint64_t i = 1; i <= 6; ++i) {
        d.send_request("m", R"(,"stream":true)", {}, i);
        d.answer_prefill(d.sent().back().call);
        waiting[d.sent().back().server].push_back(d.sent().back().call);
    }
    auto& most = waiting["w1"].size() > waiting["w2"].size() ? waiting["w1"] : waiting["w2"];
    ASSERT_GE(most.size(), 2U);
    mark_unverified(d, most.front());
    for (std::size_t i = 1; i < most.size(); ++i) EXPECT_TRUE(d.was_aborted(most[i]));
}

TEST(Verification, RemovedServerIsForgotten) {
    Driver d(pauses());
    d.usual_list();
    mark_unverified(d, d.to_decode());
    const std::string bad = d.servers.back().server;
    d.list({listed(bad, "writer", EndpointState::removed)}, EndpointUpdateKind::delta);
    EXPECT_EQ(d.edge.gauges().unverified_servers, 0U);
    d.pass(3s);
    EXPECT_TRUE(trials(d).empty());
}

}  // namespace
}  // namespace chalksail::core::testing
