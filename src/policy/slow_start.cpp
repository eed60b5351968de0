#include "slow_start.hpp"

#include <algorithm>
#include <cmath>

#include "statistics.hpp"

namespace chalksail::policy {
namespace {

// Fraction of the budget that is used; the rest absorbs bursts from other gateways.
constexpr double kBudgetFraction = 0.6;
constexpr double kAveragingWindows = 4;  // averaging time of the work sent to warm servers, in windows
constexpr double kMinWork = 1e-9;        // avoids a division by zero; far below one token

}  // namespace

void WarmUpState::restart(Time now, double first_request_delay) {
    sent_.clear();
    first_seen_ = now;
    first_request_delay_ = first_request_delay;
}

SlowStart::SlowStart(const Settings& settings)
    : duration_(settings.slow_start_duration),
      window_(settings.slow_start_overload_window),
      tick_(settings.tick),
      initial_capacity_(settings.slow_start_initial_capacity),
      overload_factor_(settings.slow_start_overload_factor),
      gateways_(settings.gateways) {}

bool SlowStart::admits(const WarmUpState& server, Role role, std::size_t class_index, double request_work,
                       std::int64_t warm_servers, Time now) {
    const Budget& allowed = budget(role, class_index, request_work, warm_servers, now);
    if (now <
        server.first_seen_ + from_seconds(allowed.max_first_request_delay * server.first_request_delay_))
        return false;
    double sent = 0;
    for (const auto& [at, work] : server.sent_)
        if (at + allowed.window > now) sent += work;
    return sent == 0 || sent + request_work <= allowed.work;
}

void SlowStart::record_sent_to_warming(WarmUpState& server, double work, Time now) {
    server.sent_.push_back({now, work});
}

void SlowStart::record_sent_to_warm(Role role, double work, Time now) {
    budgets_.clear();
    auto& [sum, at] = warm_work_[role];
    sum = sum * std::exp(-seconds(now - at) / averaging_seconds()) + work;
    at = now;
}

void SlowStart::record_not_run(Role role, double work) {
    double& sum = warm_work_[role].sum;
    sum = std::max(0.0, sum - work);
}

const SlowStart::Budget& SlowStart::budget(Role role, std::size_t class_index, double request_work,
                                           std::int64_t warm_servers, Time now) {
    const auto [it, inserted] = budgets_.try_emplace(std::pair(role, class_index));
    Budget& result = it->second;
    if (!inserted) return result;
    result.work = kBudgetFraction * overload_factor_ * initial_capacity_ * seconds(window_) *
                  warm_rate(role, warm_servers, now);
    // A budget below one request allows one request in a longer window, and delays the first by a
    // server-specific time.
    const double stretch = std::clamp(request_work / std::max(result.work, kMinWork), 1.0, 1.0 * gateways_);
    result.window = from_seconds(seconds(window_) * stretch) + tick_;
    result.max_first_request_delay = seconds(window_) * (stretch - 1);
    return result;
}

double SlowStart::averaging_seconds() const { return kAveragingWindows * std::max(1.0, seconds(window_)); }

double SlowStart::warm_rate(Role role, std::int64_t warm_servers, Time now) const {
    const auto sent = warm_work_.find(role);
    if (sent == warm_work_.end() || warm_servers == 0) return 0;
    const double span = averaging_seconds();
    return sent->second.sum * std::exp(-seconds(now - sent->second.at) / span) / span /
           static_cast<double>(warm_servers);
}

}  // namespace chalksail::policy
