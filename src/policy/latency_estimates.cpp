#include "latency_estimates.hpp"

#include <algorithm>

namespace chalksail::policy {
namespace {

constexpr double kMostSlowdown = 10;      // a slower server counts as this slow
constexpr double kSmallestPace = 1e-9;    // seconds a token: keeps ratios finite
constexpr double kShortestStream = 1e-3;  // seconds: keeps ratios finite

// Prompt tokens that a prefill attempt waits for, its fixed cost among them.
double tokens_until_done(const Attempt& attempt) {
    return kPrefillOverheadTokens + attempt.uncached_tokens + attempt.tokens_ahead;
}

}  // namespace

double ServerLatency::slowdown() const { return std::clamp(ratio_.value_or(1), 1.0, kMostSlowdown); }

Duration LatencyEstimates::service_time(const Request& request) const {
    const RequestArrived& arrival = request.arrival;
    const double prefill =
        request.state_at
            ? 0
            : prefill_pace() * (kPrefillOverheadTokens + arrival.prompt_tokens - arrival.shared_tokens);
    return from_seconds(prefill + first_token_.value_or(0));
}

Duration LatencyEstimates::attempt_timeout(const Attempt& attempt, Duration first_token_objective) const {
    double usual = 0;
    if (attempt.stage == Stage::prefill)
        usual = std::max(prefill_seconds_.value_or(0), prefill_pace() * tokens_until_done(attempt));
    else usual = first_token_.value_or(0);
    return std::max(first_token_objective / 2, from_seconds(kAttemptTimeoutFactor * usual));
}

std::optional<double> LatencyEstimates::stream_seconds(std::size_t class_index) const {
    const RunningMean& usual = stream_seconds_[class_index];
    if (!usual.observed()) return {};
    return usual.mean();
}

void LatencyEstimates::record_stream(ServerLatency& server, std::size_t class_index, Duration length) {
    RunningMean& usual = stream_seconds_[class_index];
    if (usual.observed()) server.ratio_.add(seconds(length) / std::max(kShortestStream, usual.mean()));
    usual.add(seconds(length));
}

void LatencyEstimates::record_prefill(ServerLatency& server, const Attempt& attempt, Duration elapsed) {
    const double pace = kSmallestPace + seconds(elapsed) / tokens_until_done(attempt);
    if (prefill_pace_.observed()) server.ratio_.add(pace / std::max(kSmallestPace, prefill_pace_.mean()));
    prefill_pace_.add(pace);
    prefill_seconds_.add(seconds(elapsed));
}

void LatencyEstimates::record_unanswered(const Attempt& attempt, Duration elapsed) {
    if (attempt.stage == Stage::prefill) {
        prefill_pace_.add(seconds(elapsed) / tokens_until_done(attempt));
        prefill_seconds_.add(seconds(elapsed));
    } else {
        first_token_.add(seconds(elapsed));
    }
}

}  // namespace chalksail::policy
