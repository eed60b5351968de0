#include "membership/wall_clock.hpp"

#include <algorithm>

namespace chalksail::membership {

WallClock::WallClock(Time now, Duration wall)
    : spans_{{now, now.time_since_epoch() - wall}}, last_observed_(now) {}

void WallClock::observe(Time now, Duration wall) {
    last_observed_ = std::max(last_observed_, now);
    const Duration offset = now.time_since_epoch() - wall;
    if (std::chrono::abs(offset - spans_.back().offset) < kStepThreshold) return;
    spans_.push_back({now, offset});
    if (spans_.size() > kMaxSpans) spans_.pop_front();
}

Time WallClock::to_monotonic(Duration wall) const {
    // Steps are detected with a delay, and a timestamp may be newer than the last reading.
    constexpr Duration kSlack = 2 * kStepThreshold;
    Time end = last_observed_ + kSlack;
    for (auto span = spans_.rbegin(); span != spans_.rend(); ++span) {
        const Time at(span->offset + wall);
        const bool earliest = std::next(span) == spans_.rend();
        if (at <= end && (earliest || at >= span->begin - kSlack)) return at;
        end = span->begin + kSlack;
    }
    // No span contains this time: uses the current offset, limited to the time of the last reading.
    return std::min(Time(spans_.back().offset + wall), last_observed_);
}

Time StartTimes::of(const std::string& server, std::int64_t started_ms, const WallClock& clock) {
    if (started_ms == 0) return {};
    const auto [it, inserted] = starts_.try_emplace(server);
    Start& start = it->second;
    if (inserted || start.reported_ms != started_ms) {
        const Time at = clock.to_monotonic(std::chrono::milliseconds(started_ms));
        start = {started_ms, std::max(at, Time(Duration(1)))};  // Time{} stands for "long ago"
    }
    return start.at;
}

}  // namespace chalksail::membership
