#include "tenant_quotas.hpp"

#include <algorithm>

namespace chalksail::policy {

TenantQuotas::TenantQuotas(const std::vector<TenantSettings>& tenants, int gateways)
    : tenants_(tenants), gateways_(gateways) {
    for (const auto& tenant : tenants_) requests_left_[tenant.name] = rate(tenant);
}

void TenantQuotas::refill(double elapsed_seconds) {
    for (const auto& tenant : tenants_) {
        double& left = requests_left_[tenant.name];
        left = std::min(left + rate(tenant) * elapsed_seconds, std::max(1.0, rate(tenant)));
    }
}

bool TenantQuotas::try_take(const std::string& tenant) {
    if (tenants_.empty()) return true;
    const auto left = requests_left_.find(tenant);
    if (left == requests_left_.end() || left->second < 1) return false;
    left->second -= 1;
    return true;
}

}  // namespace chalksail::policy
