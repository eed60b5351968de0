// Tenants' quotas as token buckets: this gateway's part of each quota, with one second's worth of burst.
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
    // Takes one request from the tenant's bucket. False: the bucket is empty, or the tenant has no quota
    // while others have one.
    [[nodiscard]] bool try_take(const std::string& tenant);

private:
    [[nodiscard]] double rate(const TenantSettings& tenant) const { return tenant.quota_per_s / gateways_; }

    std::vector<TenantSettings> tenants_;
    int gateways_;
    std::map<std::string, double> requests_left_;
};

}  // namespace chalksail::policy
