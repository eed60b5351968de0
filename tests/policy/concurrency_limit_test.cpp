#include "policy/concurrency_limit.hpp"

#include <gtest/gtest.h>

namespace chalksail::policy {
namespace {

using namespace std::chrono_literals;

constexpr Time kNow{1000s};
constexpr StepContext kDense{kNow, false};

Settings settings(int gateways, bool reports) {
    Settings out;
    out.classes.resize(1);
    out.classes[0].first_token_objective = 1s;
    out.gateways = gateways;
    if (reports) out.report_fields = {ReportField::active, ReportField::memory_share};
    return out;
}

struct Limited {
    Limited(int gateways, bool reports) : limits(settings(gateways, reports)) {
        limits.restart(server, 1000);
    }
    ConcurrencyLimit limits;
    ServerLimit server;
};

TEST(ConcurrencyLimit, StartsAtOneAndAHalfTimesTheGatewaysShareOfMemory) {
    EXPECT_DOUBLE_EQ(Limited(10, false).server.limit(), 150);
    EXPECT_DOUBLE_EQ(Limited(1, false).server.limit(), 1000);
    EXPECT_DOUBLE_EQ(Limited(10, true).server.limit(),
                     900);  // with reports: the threshold of nearly full memory
}

TEST(ConcurrencyLimit, AtCapacityLowersTheLimitOncePerOverload) {
    Limited l(10, false);
    l.limits.record_sent(l.server, 100);
    l.limits.record_at_capacity(l.server, kNow - 1s, kDense);
    EXPECT_DOUBLE_EQ(l.server.limit(), 80);
    EXPECT_FALSE(l.limits.has_capacity(l.server, kDense));
    l.limits.record_at_capacity(l.server, kNow - 1s, kDense);  // sent before the decrease
    EXPECT_DOUBLE_EQ(l.server.limit(), 80);
    l.limits.record_at_capacity(l.server, kNow, {kNow + 1s, false});
    EXPECT_DOUBLE_EQ(l.server.limit(), 64);
}

TEST(ConcurrencyLimit, SuccessRaisesTheLimitOnlyNearIt) {
    Limited l(10, false);
    l.limits.record_success(l.server, 100, kDense);
    EXPECT_DOUBLE_EQ(l.server.limit(), 150);
    l.limits.record_sent(l.server, 140);
    l.limits.record_success(l.server, 100, kDense);
    EXPECT_DOUBLE_EQ(l.server.limit(), 155);
}

TEST(ConcurrencyLimit, RecoversToTheInitialLimitOverTime) {
    Limited l(10, false);
    l.limits.record_sent(l.server, 10);
    l.limits.record_at_capacity(l.server, kNow, kDense);
    EXPECT_DOUBLE_EQ(l.server.limit(), 45);  // the minimum
    EXPECT_TRUE(l.limits.begin_recovery());
    l.limits.recover(l.server, 2);
    EXPECT_DOUBLE_EQ(l.server.limit(), 60);
    EXPECT_TRUE(l.limits.begin_recovery());
    l.limits.recover(l.server, 100);
    EXPECT_DOUBLE_EQ(l.server.limit(), 150);
    EXPECT_FALSE(l.limits.begin_recovery());
}

TEST(ConcurrencyLimit, ReportsRaiseTheLoadUntilTheyExpire) {
    Limited l(10, true);
    l.limits.record_sent(l.server, 100);
    l.limits.record_report(l.server, {0, 0.5}, kDense);
    l.limits.record_sent(l.server, 50);
    EXPECT_DOUBLE_EQ(l.limits.load(l.server, kNow), 550);
    // After three shortest objectives the report expires: own tokens count, or the average report.
    EXPECT_DOUBLE_EQ(l.limits.load(l.server, kNow + 3001ms), 150);
}

TEST(ConcurrencyLimit, LateFirstTokenLowersTheLimitOnlyWithoutReports) {
    Limited l(10, false);
    l.limits.record_sent(l.server, 150);
    l.limits.record_first_token(l.server, 300ms, 1s, kNow, kDense);
    EXPECT_DOUBLE_EQ(l.server.limit(), 150);
    l.limits.record_first_token(l.server, 301ms, 1s, kNow, kDense);
    EXPECT_DOUBLE_EQ(l.server.limit(), 120);
    Limited reporting(10, true);
    reporting.limits.record_first_token(reporting.server, 900ms, 1s, kNow, kDense);
    EXPECT_DOUBLE_EQ(reporting.server.limit(), 900);
}

TEST(ConcurrencyLimit, WithSparseObservationsOneLimitAppliesToAllServers) {
    Limited l(100, false);
    l.limits.update_pool(10'000);
    EXPECT_DOUBLE_EQ(l.limits.pool_capacity(), 150);
    l.limits.record_sent(l.server, 100);
    EXPECT_DOUBLE_EQ(l.limits.pool_capacity(), 50);
    l.limits.record_at_capacity(l.server, kNow, {kNow, true});
    EXPECT_DOUBLE_EQ(l.limits.pool_capacity(), -20);
    EXPECT_DOUBLE_EQ(l.server.limit(), 15);
    // Ended tokens are subtracted at the end of the step.
    l.limits.record_ended(l.server, 100);
    EXPECT_DOUBLE_EQ(l.limits.pool_capacity(), -20);
    l.limits.update_pool(10'000);
    EXPECT_DOUBLE_EQ(l.limits.pool_capacity(), 80);
}

}  // namespace
}  // namespace chalksail::policy
