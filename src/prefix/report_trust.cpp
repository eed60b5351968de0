#include "prefix/report_trust.hpp"

#include <algorithm>

namespace chalksail::prefix {
namespace {

// Weight of one prefill in the score. About five wrong reports in a row end the trust, and about as many
// correct ones restore it.
constexpr double kScoreWeight = 0.2;
constexpr double kDistrustBelow = 0.4;
constexpr double kTrustAbove = 0.7;
// The elapsed time includes queueing, so it has half the weight of the engine's own count.
constexpr double kElapsedWeight = kScoreWeight / 2;

// Shares of the prompt's tokens. A prompt with a smaller cached share than kUncachedShare counts as uncached.
// The elapsed time is compared only if at least kComparableShare was reported as cached.
constexpr double kUncachedShare = 0.2;
constexpr double kComparableShare = 0.5;
// Share of the duration of an uncached prefill. A prefill within this share confirms the report; one that
// takes at least the full duration contradicts it.
constexpr double kCachedTimeShare = 0.6;

constexpr double kPaceWeight = 0.1;
constexpr std::uint64_t kMinPaceSamples = 5;

// Returns the accuracy of the report, 0 or 1, or nullopt if the elapsed time is inconclusive.
std::optional<double> accuracy_by_time(const ObservedPrefill& prefill, const PrefillPace& pace) {
    if (!pace.known() || pace.seconds_per_token() <= 0) return std::nullopt;
    if (prefill.reported_tokens < kComparableShare * prefill.prompt_tokens) return std::nullopt;
    const double share = seconds(prefill.elapsed) / (pace.seconds_per_token() * prefill.prompt_tokens);
    if (share >= 1) return 0;
    if (share <= kCachedTimeShare) return 1;
    return std::nullopt;
}

std::optional<double> accuracy_by_count(const ObservedPrefill& prefill) {
    if (!prefill.cached_tokens) return std::nullopt;
    return std::clamp(*prefill.cached_tokens / prefill.reported_tokens, 0.0, 1.0);
}

}  // namespace

void PrefillPace::observe(const ObservedPrefill& prefill) {
    const double threshold = kUncachedShare * prefill.prompt_tokens;
    if (prefill.reported_tokens >= threshold || prefill.cached_tokens.value_or(0) >= threshold) return;
    const double pace = seconds(prefill.elapsed) / prefill.prompt_tokens;
    samples_ += 1;
    mean_ += std::max(kPaceWeight, 1 / static_cast<double>(samples_)) * (pace - mean_);
}

bool PrefillPace::known() const { return samples_ >= kMinPaceSamples; }

void ReportTrust::observe(const ObservedPrefill& prefill, const PrefillPace& pace) {
    const auto by_time = accuracy_by_time(prefill, pace);
    const auto by_count = accuracy_by_count(prefill);
    // A count that confirms the report is ignored if the prefill took as long as an uncached one.
    const bool count_contradicted = by_time && *by_time == 0 && by_count && *by_count > kDistrustBelow;
    if (by_count && !count_contradicted) score_ += kScoreWeight * (*by_count - score_);
    else if (by_time) score_ += kElapsedWeight * (*by_time - score_);
    if (score_ < kDistrustBelow) trusted_ = false;
    if (score_ > kTrustAbove) trusted_ = true;
}

}  // namespace chalksail::prefix
