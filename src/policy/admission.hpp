// Admission control: orders held requests, sheds load in an overload and applies the tenants' quotas.
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
    // All referenced objects must outlive this one. `seed` differs between gateways, so that they do not all
    // shed the same requests.
    Admission(const Settings& settings, std::string seed, const RequestTable& requests,
              const LatencyEstimates& latencies, const RetryPolicy& retry_policy);

    void refill_quotas(double elapsed_seconds) { quotas_.refill(elapsed_seconds); }
    // Records an arrival. Returns whether it is within its tenant's quota.
    [[nodiscard]] bool record_arrival(const Request& request, Time now);
    // Records that a prefill attempt of the request ended or was cancelled after `elapsed`.
    void record_prefill(const Request& request, Duration elapsed);

    // Returns whether to answer the request now because it can no longer be served in time, or because it is
    // shed.
    [[nodiscard]] bool should_reject(const Request& request, bool has_decode_server,
                                     const StepContext& context) const;
    // Sorts held requests into the order in which they are to be served.
    void sort(std::vector<Request*>& held, Time now) const;
    // Returns whether prefills queue for so long that gateways shed load. Always false without sparse
    // observations.
    [[nodiscard]] bool overloaded(const StepContext& context) const;

private:
    // Returns the priority weight per unit of work if the request starts now.
    [[nodiscard]] double urgency(const Request& request, Time now) const;
    [[nodiscard]] bool should_shed(const Request& request, Time now) const;

    const Settings& settings_;
    std::string seed_;
    const RequestTable& requests_;
    const LatencyEstimates& latencies_;
    const RetryPolicy& retry_policy_;
    TenantQuotas quotas_;
    RunningMean prefill_share_;  // duration of a prefill as a fraction of the latency objective
    RunningMean mean_urgency_;   // mean urgency of arriving requests
};

}  // namespace chalksail::policy
