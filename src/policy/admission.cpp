#include "admission.hpp"

#include <algorithm>
#include <utility>

namespace chalksail::policy {
namespace {

constexpr double kSmallestUrgency = 1e-9;  // keeps a ratio finite
constexpr int kTicksToAnswer = 2;          // before the deadline: a step may be one late
constexpr int kAttemptsFromPrefill = 2;    // a prefill and a decode

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

bool Admission::rejects(const Request& request, bool has_decode_server, const StepContext& context) const {
    const Time now = context.now;
    if (now + latencies_.service_time(request) + kTicksToAnswer * settings_.tick >= request.deadline)
        return true;
    const int attempts_needed = request.state_at ? 1 : kAttemptsFromPrefill;
    if (retry_policy_.attempts_left(request.history) < attempts_needed) return true;
    // A decode server that comes after the objective comes too late.
    if (now >= request.objective && !has_decode_server) return true;
    return context.sparse_observations && sheds(request, now);
}

// KV states first, as their time runs; then the most urgent, then the one whose objective ends first.
void Admission::sort(std::vector<Request*>& held, Time now) const {
    std::vector<std::pair<Request*, double>> ranked;
    ranked.reserve(held.size());
    for (Request* request : held) ranked.emplace_back(request, urgency(*request, now));
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
        if (a.first->state_at.has_value() != b.first->state_at.has_value())
            return a.first->state_at.has_value();
        if (a.second != b.second) return a.second > b.second;
        return a.first->objective < b.first->objective;
    });
    std::transform(ranked.begin(), ranked.end(), held.begin(), [](const auto& entry) { return entry.first; });
}

bool Admission::overloaded(const StepContext& context) const {
    return context.sparse_observations && prefill_share_.mean() > kPrefillQueueShare;
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

// In an overload each gateway admits a part of what arrives, by urgency; it rejects the rest, and what would
// miss its objective after waiting.
bool Admission::sheds(const Request& request, Time now) const {
    const double admitted = kPrefillQueueShare / std::max(kPrefillQueueShare, prefill_share_.mean());
    if (admitted >= 1 || request.state_at) return false;
    if (!RetryPolicy::may_reject(*request.class_settings, request.history)) return false;
    if (request.arrived_at < now) return now + latencies_.service_time(request) > request.objective;
    return hash_to_unit_interval(seed_, std::to_string(request.arrival.id.value)) >
           admitted * urgency(request, now) / std::max(kSmallestUrgency, mean_urgency_.mean());
}

}  // namespace chalksail::policy
