#include "membership/wall_clock.hpp"

#include <algorithm>

namespace chalksail::membership {

WallClock::WallClock(Time now, Duration wall) : spans_{{now, now.time_since_epoch() - wall}}, latest_(now) {}

void WallClock::observe(Time now, Duration wall) {
    latest_ = std::max(latest_, now);
    const Duration offset = now.time_since_epoch() - wall;
    Span& last = spans_.back();
    if (std::chrono::abs(offset - last.offset) < kLeastStep) return;
    spans_.push_back({now, offset});
    if (spans_.size() > kStepsRemembered) spans_.pop_front();
}

Time WallClock::to_monotonic(Duration wall) const {
    // Steps are seen a little late, and a list may be ahead of the last look at the clocks.
    constexpr Duration kSlack = 2 * kLeastStep;
    Time until = latest_ + kSlack;
    for (auto span = spans_.rbegin(); span != spans_.rend(); ++span) {
        const Time at(span->offset + wall);
        const bool first = std::next(span) == spans_.rend();
        if (at <= until && (first || at >= span->from - kSlack)) return at;
        until = span->from + kSlack;
    }
    // The wall clock never showed it, so far as was seen: what it says now counts.
    return std::min(Time(spans_.back().offset + wall), latest_);
}

Time StartTimes::of(const std::string& server, std::int64_t started_ms, const WallClock& clock) {
    if (started_ms == 0) return {};
    const auto [it, fresh] = known_.try_emplace(server);
    Start& start = it->second;
    if (fresh || start.told_ms != started_ms) {
        const Time at = clock.to_monotonic(std::chrono::milliseconds(started_ms));
        start = {started_ms, std::max(at, Time(Duration(1)))};
    }
    return start.at;
}

}  // namespace chalksail::membership
