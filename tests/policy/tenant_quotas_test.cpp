#include "policy/tenant_quotas.hpp"

#include <gtest/gtest.h>

namespace chalksail::policy {
namespace {

TEST(TenantQuotas, AGatewayGrantsItsShareOfTheQuotaWithABurstOfOneSecond) {
    TenantQuotas quotas({{"a", 8}}, 4);
    EXPECT_TRUE(quotas.try_take("a"));
    EXPECT_TRUE(quotas.try_take("a"));
    EXPECT_FALSE(quotas.try_take("a"));
    quotas.refill(0.5);
    EXPECT_TRUE(quotas.try_take("a"));
    EXPECT_FALSE(quotas.try_take("a"));
    quotas.refill(100);
    EXPECT_TRUE(quotas.try_take("a"));
    EXPECT_TRUE(quotas.try_take("a"));
    EXPECT_FALSE(quotas.try_take("a"));
}

TEST(TenantQuotas, AShareBelowOneRequestPerSecondAccumulatesToOneRequest) {
    TenantQuotas quotas({{"a", 1}}, 10);
    EXPECT_FALSE(quotas.try_take("a"));
    quotas.refill(10.5);
    EXPECT_TRUE(quotas.try_take("a"));
}

TEST(TenantQuotas, UnknownTenantHasNoQuotaUnlessNoTenantsAreConfigured) {
    EXPECT_FALSE(TenantQuotas({{"a", 8}}, 1).try_take("b"));
    EXPECT_TRUE(TenantQuotas({}, 1).try_take("b"));
}

}  // namespace
}  // namespace chalksail::policy
