// Tests servers that fail the TLS verification of their names: they get no requests from then on, are
// verified again by handshakes with a growing backoff, and are used again only after a successful
// verification.
#include <gtest/gtest.h>

#include <map>

#include "core/driver.hpp"

namespace chalksail::core::testing {
namespace {

std::vector<Call> verifications(const Driver& d) {
    std::vector<Call> out;
    for (const auto& c : d.calls)
        if (c.kind == CallKind::verify) out.push_back(c);
    return out;
}
void fail_verification(Driver& d, CallId call) {
    d.step({CallFailed{call, engine::ExchangeEnd::unverified, "TLS, not verified: hostname mismatch"}});
}
config::EdgeSettings settings_with_backoff() {
    auto s = settings();
    s.limits.unverified_backoff = 1s;
    s.limits.unverified_backoff_max = 4s;
    return s;
}

TEST(Verification, BackoffGrowsToItsMaximum) {
    membership::Verification v({1s, 4s, 2});
    Time now{100s};
    EXPECT_TRUE(v.failed("w", now));
    EXPECT_FALSE(v.failed("w", now));  // a failure of a concurrent attempt changes nothing
    for (const auto pause : {1s, 2s, 4s, 4s}) {
        EXPECT_EQ(v.next(), now + pause);
        EXPECT_TRUE(v.due(now + pause - 1ms).empty());
        now += pause;
        EXPECT_EQ(v.due(now), std::vector<std::string>{"w"});
        EXPECT_TRUE(v.due(now).empty());  // one verification at a time
        EXPECT_FALSE(v.failed("w", now));
    }
    v.changed("w", now);
    EXPECT_EQ(v.due(now), std::vector<std::string>{"w"});
    v.inconclusive("w", now);  // no connection: the backoff does not grow
    EXPECT_EQ(v.next(), now + 1s);
    EXPECT_TRUE(v.verified("w"));
    EXPECT_FALSE(v.unverified("w"));
    EXPECT_EQ(v.next(), std::nullopt);
}

TEST(Verification, UnverifiedServerGetsNoRequestsUntilItIsVerified) {
    Driver d(settings_with_backoff());
    d.list_default_servers();
    const CallId decode = d.advance_to_decode("once");
    const std::string bad = d.sent().back().server;
    fail_verification(d, decode);
    // The attempt is proved not to have run, so even a non-idempotent request is retried at the other writer.
    ASSERT_EQ(d.sent().size(), 3U);
    EXPECT_NE(d.sent().back().server, bad);
    EXPECT_EQ(d.attempts.back().outcome, "connect_failed");
    d.head(d.sent().back().call);
    d.body(d.sent().back().call, chunk("yes") + chat::format_event("[DONE]"));
    EXPECT_EQ(d.edge.gauges().unverified_servers, 1U);
    for (int i = 0; i < 20; ++i) {
        d.send_request("m", R"(,"stream":true)", {}, 10 + static_cast<std::uint64_t>(i));
        d.complete_prefill(d.sent().back().call);
        EXPECT_NE(d.sent().back().server, bad);
        d.head(d.sent().back().call);
        d.body(d.sent().back().call, chunk("yes") + chat::format_event("[DONE]"));
    }
    // Verifications carry no request. A list with an unchanged entry has no effect; a changed address is
    // verified at once.
    d.advance_time(1s);
    ASSERT_EQ(verifications(d).size(), 1U);
    EXPECT_TRUE(verifications(d)[0].body.empty());
    fail_verification(d, verifications(d)[0].call);
    d.list_default_servers();
    d.advance_time(500ms);
    EXPECT_EQ(verifications(d).size(), 1U);
    auto moved = listed(bad, "writer");
    moved.address.port = 10;
    d.list({moved}, EndpointUpdateKind::delta);
    ASSERT_EQ(verifications(d).size(), 2U);
    EXPECT_EQ(verifications(d)[1].address.port, 10);
    d.step({CallDone{verifications(d)[1].call}});
    EXPECT_EQ(d.edge.gauges().unverified_servers, 0U);
    bool used_again = false;
    // The policy first sends a health check, as after any failed connection.
    for (int i = 0; i < 100; ++i) {
        d.advance_time(100ms);
        for (const auto& c : std::vector<Call>(d.calls))
            if (c.kind == CallKind::health_check)
                d.step({CallSent{c.call}, CallHead{c.call, 200, {}}, CallDone{c.call}});
    }
    for (int i = 0; i < 20; ++i) {
        d.send_request("m", R"(,"stream":true)", {}, 50 + static_cast<std::uint64_t>(i));
        d.complete_prefill(d.sent().back().call);
        used_again = used_again || d.sent().back().server == bad;
        d.head(d.sent().back().call);
        d.body(d.sent().back().call, chunk("yes") + chat::format_event("[DONE]"));
    }
    EXPECT_TRUE(used_again);
    expect_no_open_work(d);
}

TEST(Verification, ChangedTrustStoreVerifiesUnverifiedServersAtOnce) {
    Driver d(settings_with_backoff());
    d.list_default_servers();
    fail_verification(d, d.advance_to_decode());
    fail_verification(d, d.sent().back().call);
    d.advance_time(1s);
    for (const auto& t : verifications(d)) fail_verification(d, t.call);
    const auto before = verifications(d).size();
    EXPECT_EQ(before, 2U);
    d.step({TrustStoreChanged{}});
    EXPECT_EQ(verifications(d).size(), before + 2);
}

TEST(Verification, RequestIsRejectedInTimeIfNoVerifiedServerIsLeft) {
    Driver d(settings_with_backoff());
    d.list({listed("r1", "reader"), listed("w1", "writer")});
    fail_verification(d, d.advance_to_decode("once"));
    d.advance_time(4s);
    ASSERT_EQ(d.responses.size(), 1U);
    EXPECT_EQ(d.responses[0].status, 503);
    EXPECT_FALSE(d.responses[0].headers.get("retry-after").empty());
    EXPECT_EQ(d.sent().size(), 2U);
}

TEST(Verification, QueuedAttemptsToAnUnverifiedServerAreWithdrawn) {
    Driver d(settings_with_backoff());
    d.list({listed("r1", "reader"), listed("w1", "writer"), listed("w2", "writer")});
    std::map<std::string, std::vector<CallId>> waiting;  // decodes without a connection, by server
    for (std::uint64_t i = 1; i <= 6; ++i) {
        d.send_request("m", R"(,"stream":true)", {}, i);
        d.complete_prefill(d.sent().back().call);
        waiting[d.sent().back().server].push_back(d.sent().back().call);
    }
    auto& most = waiting["w1"].size() > waiting["w2"].size() ? waiting["w1"] : waiting["w2"];
    ASSERT_GE(most.size(), 2U);
    fail_verification(d, most.front());
    for (std::size_t i = 1; i < most.size(); ++i) EXPECT_TRUE(d.was_aborted(most[i]));
}

TEST(Verification, RemovedServerIsForgotten) {
    Driver d(settings_with_backoff());
    d.list_default_servers();
    fail_verification(d, d.advance_to_decode());
    const std::string bad = d.servers.back().server;
    d.list({listed(bad, "writer", EndpointState::removed)}, EndpointUpdateKind::delta);
    EXPECT_EQ(d.edge.gauges().unverified_servers, 0U);
    d.advance_time(3s);
    EXPECT_TRUE(verifications(d).empty());
}

}  // namespace
}  // namespace chalksail::core::testing
