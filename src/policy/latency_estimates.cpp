#include "latency_estimates.hpp"

#include <algorithm>

namespace chalksail::policy {
namespace {

constexpr double kMaxSlowdown = 10;           // upper bound of a server's slowdown
constexpr double kMinSecondsPerToken = 1e-9;  // avoids a division by zero
constexpr double kMinStreamSeconds = 1e-3;    // avoids a division by zero

// Returns the prompt tokens that a prefill attempt waits for, including its fixed cost.
double tokens_until_done(const Attempt& attempt) {
    return kPrefillOverheadTokens + attempt.uncached_tokens + attempt.tokens_ahead;
}

}  // namespace

double ServerLatency::slowdown() const { return std::clamp(ratio_.value_or(1), 1.0, kMaxSlowdown); }

Duration LatencyEstimates::service_time(const Request& request) const {
    const RequestArrived& arrival = request.arrival;
    const double prefill = request.kv_state_server
                               ? 0
                               : prefill_seconds_per_token() *
                                     (kPrefillOverheadTokens + arrival.prompt_tokens - arrival.shared_tokens);
    return from_seconds(prefill + first_token_.value_or(0));
}

Duration LatencyEstimates::attempt_timeout(const Attempt& attempt, Duration first_token_objective) const {
    double expected = 0;
    if (attempt.stage == Stage::prefill)
        expected =
            std::max(prefill_seconds_.value_or(0), prefill_seconds_per_token() * tokens_until_done(attempt));
    else expected = first_token_.value_or(0);
    return std::max(first_token_objective / 2, from_seconds(kAttemptTimeoutFactor * expected));
}

std::optional<double> LatencyEstimates::stream_seconds(std::size_t class_index) const {
    const RunningMean& mean_seconds = stream_seconds_[class_index];
    if (!mean_seconds.observed()) return {};
    return mean_seconds.mean();
}

void LatencyEstimates::record_stream(ServerLatency& server, std::size_t class_index, Duration length) {
    RunningMean& mean_seconds = stream_seconds_[class_index];
    if (mean_seconds.observed())
        server.ratio_.add(seconds(length) / std::max(kMinStreamSeconds, mean_seconds.mean()));
    mean_seconds.add(seconds(length));
}

void LatencyEstimates::record_prefill(ServerLatency& server, const Attempt& attempt, Duration elapsed) {
    const double seconds_per_token = kMinSecondsPerToken + seconds(elapsed) / tokens_until_done(attempt);
    if (prefill_seconds_per_token_.observed())
        server.ratio_.add(seconds_per_token /
                          std::max(kMinSecondsPerToken, prefill_seconds_per_token_.mean()));
    prefill_seconds_per_token_.add(seconds_per_token);
    prefill_seconds_.add(seconds(elapsed));
}

void LatencyEstimates::record_unanswered(const Attempt& attempt, Duration elapsed) {
    if (attempt.stage == Stage::prefill) {
        prefill_seconds_per_token_.add(seconds(elapsed) / tokens_until_done(attempt));
        prefill_seconds_.add(seconds(elapsed));
    } else {
        first_token_.add(seconds(elapsed));
    }
}

}  // namespace chalksail::policy
