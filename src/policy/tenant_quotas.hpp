// Enforces the tenants' quotas with token buckets: each gateway grants its share of a quota, with a burst of
// one second.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <string>
#include <vector>

namespace chalksail::policy {

class TenantQuotas {
public:
    TenantQuotas(const std::vector<TenantSettings>& tenants, int gateways);

    void refill(double elapsed_seconds);
    // Takes one request from the tenant's bucket. Returns false if the bucket is empty, or if the tenant has
    // no quota while other tenants have one.
    [[nodiscard]] bool try_take(const std::string& tenant);

private:
    [[nodiscard]] double rate(const TenantSettings& tenant) const { return tenant.quota_per_s / gateways_; }

    std::vector<TenantSettings> tenants_;
    int gateways_;
    std::map<std::string, double> requests_left_;
};

}  // namespace chalksail::policy
