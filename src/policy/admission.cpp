#include "admission.hpp"

#include <algorithm>
#include <utility>

namespace chalksail::policy {
namespace {

constexpr double kMinUrgency = 1e-9;     // avoids a division by zero
constexpr int kAnswerMarginTicks = 2;    // ticks before the deadline, as a step may run one tick late
constexpr int kAttemptsWithPrefill = 2;  // one prefill attempt and one decode attempt

}  // namespace

Admission::Admission(const Settings& settings, std::string seed, const RequestTable& requests,
                     const LatencyEstimates& latencies, const RetryPolicy& retry_policy)
    : settings_(settings),
      seed_(std::move(seed)),
      requests_(requests),
      latencies_(latencies),
      retry_policy_(retry_policy),
      quotas_(settings.tenants, settings.gateways) {}

bool Admission::record_arrival(const Request& request, Time now) {
    mean_urgency_.add(urgency(request, now));
    return quotas_.try_take(request.arrival.tenant);
}

void Admission::record_prefill(const Request& request, Duration elapsed) {
    prefill_share_.add(request.share_of_objective(elapsed));
}

bool Admission::should_reject(const Request& request, bool has_decode_server,
                              const StepContext& context) const {
    const Time now = context.now;
    if (now + latencies_.service_time(request) + kAnswerMarginTicks * settings_.tick >= request.deadline)
        return true;
    const int attempts_needed = request.kv_state_server ? 1 : kAttemptsWithPrefill;
    if (retry_policy_.attempts_left(request.history) < attempts_needed) return true;
    // After the objective, the request does not wait for a decode server to enter service.
    if (now >= request.objective && !has_decode_server) return true;
    return context.sparse_observations && should_shed(request, now);
}

// Requests with a KV state come first, as it must be released within a time limit; then by urgency, then by
// the earliest objective.
void Admission::sort(std::vector<Request*>& held, Time now) const {
    std::vector<std::pair<Request*, double>> ranked;
    ranked.reserve(held.size());
    for (Request* request : held) ranked.emplace_back(request, urgency(*request, now));
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
        if (a.first->kv_state_server.has_value() != b.first->kv_state_server.has_value())
            return a.first->kv_state_server.has_value();
        if (a.second != b.second) return a.second > b.second;
        return a.first->objective < b.first->objective;
    });
    std::transform(ranked.begin(), ranked.end(), held.begin(), [](const auto& entry) { return entry.first; });
}

bool Admission::overloaded(const StepContext& context) const {
    return context.sparse_observations && prefill_share_.mean() > kPrefillQueueFraction;
}

double Admission::urgency(const Request& request, Time now) const {
    const RequestClassSettings& request_class = *request.class_settings;
    double weight =
        request_class.priority_weight * (request.over_quota ? settings_.over_quota_weight_factor : 1);
    if (now + latencies_.service_time(request) > request.objective)
        weight *= request_class.late_weight_factor;
    if (settings_.weigh_by_work) return weight;
    return weight / std::max(1.0, requests_.mean_work(request.class_index));
}

// In an overload each gateway admits a fraction of the arriving requests, weighted by urgency. It rejects the
// others, and held requests that would miss their objective.
bool Admission::should_shed(const Request& request, Time now) const {
    const double admitted = kPrefillQueueFraction / std::max(kPrefillQueueFraction, prefill_share_.mean());
    if (admitted >= 1 || request.kv_state_server) return false;
    if (!RetryPolicy::may_reject(*request.class_settings, request.history)) return false;
    if (request.added_at < now) return now + latencies_.service_time(request) > request.objective;
    return hash_to_unit_interval(seed_, std::to_string(request.arrival.id.value)) >
           admitted * urgency(request, now) / std::max(kMinUrgency, mean_urgency_.mean());
}

}  // namespace chalksail::policy
