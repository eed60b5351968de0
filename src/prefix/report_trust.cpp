#include "prefix/report_trust.hpp"

#include <algorithm>

namespace chalksail::prefix {
namespace {

// Weight of one prefill in the score: about five wrong reports in a row end the trust, as many right ones
// restore it.
constexpr double kScoreWeight = 0.2;
constexpr double kDistrustBelow = 0.4;
constexpr double kTrustAbove = 0.7;
// Queueing blurs the elapsed time, so it has half the weight of the engine's own count.
constexpr double kElapsedWeight = kScoreWeight / 2;

// Shares of the prompt: below the first it counts as uncached; the elapsed time is compared only if at least
// the second was reported as cached.
constexpr double kUncachedShare = 0.2;
constexpr double kComparableShare = 0.5;
// Of the time of an uncached prefill: at most this means that the report was right, all of it that it was
// wrong.
constexpr double kCachedTimeShare = 0.6;

constexpr double kPaceWeight = 0.1;
constexpr std::uint64_t kMinPaceSamples = 5;

// Accuracy of the report as far as the elapsed time shows it: 0, 1, or none.
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
    // A good count does not outweigh a prefill that took as long as an uncached one.
    const bool count_contradicted = by_time && *by_time == 0 && by_count && *by_count > kDistrustBelow;
    if (by_count && !count_contradicted) score_ += kScoreWeight * (*by_count - score_);
    else if (by_time) score_ += kElapsedWeight * (*by_time - score_);
    if (score_ < kDistrustBelow) trusted_ = false;
    if (score_ > kTrustAbove) trusted_ = true;
}

}  // namespace chalksail::prefix
