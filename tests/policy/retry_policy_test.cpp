#include "policy/retry_policy.hpp"

#include <gtest/gtest.h>

namespace chalksail::policy {
namespace {

using namespace std::chrono_literals;

constexpr Time kSent{1000s};
constexpr Duration kTick = 4ms;

RequestClassSettings request_class(Idempotency idempotency,
                                   DeduplicationScope scope = DeduplicationScope::all) {
    RequestClassSettings out;
    out.idempotency = idempotency;
    out.deduplication_scope = scope;
    out.deduplication_window = 1s;
    return out;
}

// A decode attempt in zone "a", cell 1, may have run.
AttemptHistory may_have_run() {
    AttemptHistory out;
    out.sends = 1;
    out.first_run_endpoint = Endpoint{{"first"}, "a", "decode", 1};
    out.first_run_sent_at = kSent;
    return out;
}

TEST(RetryPolicy, RequestThatHasNotRunMayBeSentAnywhereAndRejected) {
    const RetryPolicy policy(4, kTick);
    const auto strict = request_class(Idempotency::non_idempotent);
    EXPECT_TRUE(policy.may_retry(strict, {}, kSent));
    EXPECT_TRUE(policy.may_send_to({{"other"}, "b", "decode", 2}, strict, {}, kSent));
    EXPECT_TRUE(RetryPolicy::may_reject(strict, {}));
    EXPECT_EQ(policy.attempts_left(may_have_run()), 3);
}

TEST(RetryPolicy, NonIdempotentRequestThatMayHaveRunIsNeitherRetriedNorRejected) {
    const RetryPolicy policy(4, kTick);
    const auto strict = request_class(Idempotency::non_idempotent);
    EXPECT_FALSE(policy.may_retry(strict, may_have_run(), kSent));
    EXPECT_FALSE(RetryPolicy::may_reject(strict, may_have_run()));
    EXPECT_TRUE(policy.may_retry(request_class(Idempotency::idempotent), may_have_run(), kSent));
}

TEST(RetryPolicy, KeyedRetriesStayWithinDeduplicationScopeAndWindow) {
    const RetryPolicy policy(4, kTick);
    const auto zone = request_class(Idempotency::idempotent_by_key, DeduplicationScope::zone);
    const auto cell = request_class(Idempotency::idempotent_by_key, DeduplicationScope::cell);
    const Endpoint same_zone{{"x"}, "a", "decode", 2};
    EXPECT_TRUE(policy.may_send_to(same_zone, zone, may_have_run(), kSent));
    EXPECT_FALSE(policy.may_send_to(same_zone, cell, may_have_run(), kSent));
    EXPECT_FALSE(policy.may_send_to({{"y"}, "b", "decode", 1}, zone, may_have_run(), kSent));
    // A step may run one tick late, so the last tick of the window is excluded.
    EXPECT_TRUE(policy.may_retry(zone, may_have_run(), kSent + 1s - kTick - 1ns));
    EXPECT_FALSE(policy.may_retry(zone, may_have_run(), kSent + 1s - kTick));
}

TEST(RetryPolicy, KeyedRequestThatMayHaveRunIsRejectedOnlyIfAllServersShareKeys) {
    EXPECT_TRUE(RetryPolicy::may_reject(request_class(Idempotency::idempotent_by_key), may_have_run()));
    EXPECT_FALSE(RetryPolicy::may_reject(
        request_class(Idempotency::idempotent_by_key, DeduplicationScope::zone), may_have_run()));
}

TEST(RetryPolicy, OnlyAnAnswerProvesArrival) {
    EXPECT_TRUE(proves_arrival(AttemptOutcome::error));
    EXPECT_TRUE(proves_arrival(AttemptOutcome::at_capacity));
    EXPECT_FALSE(proves_arrival(AttemptOutcome::reset));
    EXPECT_FALSE(proves_arrival(AttemptOutcome::timeout));
    EXPECT_TRUE(may_have_arrived(AttemptOutcome::reset));
    EXPECT_FALSE(may_have_arrived(AttemptOutcome::connect_failed));
    EXPECT_FALSE(may_have_arrived(AttemptOutcome::not_sent));
}

}  // namespace
}  // namespace chalksail::policy
