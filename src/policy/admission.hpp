// Admission: the order in which held requests are served, which of them are shed in an overload, and the
// tenants' quotas.
#pragma once

#include <chalksail/chalksail.hpp>
#include <string>
#include <vector>

#include "latency_estimates.hpp"
#include "request_table.hpp"
#include "retry_policy.hpp"
#include "statistics.hpp"
#include "tenant_quotas.hpp"

namespace chalksail::policy {

class Admission {
public:
    // All must outlive it. `seed` is this gateway's own: each sheds other requests.
    Admission(const Settings& settings, std::string seed, const RequestTable& requests,
              const LatencyEstimates& latencies, const RetryPolicy& retry_policy);

    void refill_quotas(double elapsed_seconds) { quotas_.refill(elapsed_seconds); }
    // Counts an arrival. Returns whether it is within its tenant's quota.
    [[nodiscard]] bool record_arrival(const Request& request, Time now);
    // A prefill attempt of the request has ended or been abandoned after this time.
    void record_prefill(const Request& request, Duration elapsed);

    // Whether the request can no longer be served in time, or is shed: it is then answered at once.
    [[nodiscard]] bool rejects(const Request& request, bool has_decode_server,
                               const StepContext& context) const;
    // Puts held requests in the order in which they are served.
    void sort(std::vector<Request*>& held, Time now) const;
    // Whether prefills queue so long that gateways shed load. Observed with sparse observations only.
    [[nodiscard]] bool overloaded(const StepContext& context) const;

private:
    // The priority weight for each unit of work if the request starts now.
    [[nodiscard]] double urgency(const Request& request, Time now) const;
    [[nodiscard]] bool sheds(const Request& request, Time now) const;

    const Settings& settings_;
    std::string seed_;
    const RequestTable& requests_;
    const LatencyEstimates& latencies_;
    const RetryPolicy& retry_policy_;
    TenantQuotas quotas_;
    RunningMean prefill_share_;  // of the objective that a prefill takes
    RunningMean mean_urgency_;   // of arrivals
};

}  // namespace chalksail::policy
