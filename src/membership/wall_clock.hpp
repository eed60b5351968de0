// Converts wall-clock timestamps to the monotonic clock, correctly across steps of the wall clock. Reads no
// clock itself.
//
// All machines follow the same wall clock, so a timestamp is converted with the offset that was in effect
// when the wall clock showed it. A server's start time is converted only once: the same timestamp reported
// again after a step means the same start.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace chalksail::membership {

// Records the offsets between the two clocks and the time from which each was in effect. Not thread-safe.
class WallClock {
public:
    // `wall` is the time since the Unix epoch, read at the monotonic time `now`.
    WallClock(Time now, Duration wall);

    // Records a reading of both clocks. Call it periodically, and before converting timestamps that were just
    // received. A change of the offset by kStepThreshold or more counts as a step.
    void observe(Time now, Duration wall);
    // Returns the monotonic time at which the wall clock showed `wall`; the later one if it did so twice.
    [[nodiscard]] Time to_monotonic(Duration wall) const;

    // Tolerates the delay between the readings of the two clocks: the process may be suspended in between.
    static constexpr Duration kStepThreshold = std::chrono::milliseconds(500);
    // Limits memory use; the oldest steps are dropped.
    static constexpr std::size_t kMaxSpans = 16;

private:
    // A period in which the offset between the clocks was constant.
    struct Span {
        Time begin{};
        Duration offset{};  // monotonic minus wall
    };
    std::deque<Span> spans_;  // ordered by time; the first one extends back without limit
    Time last_observed_{};
};

// The start times of servers on the monotonic clock. Not thread-safe.
class StartTimes {
public:
    // Returns the monotonic start time of a server. `started_ms` is its start in milliseconds since the Unix
    // epoch on the wall clock; 0 stands for "long ago" and gives Time{}.
    [[nodiscard]] Time of(const std::string& server, std::int64_t started_ms, const WallClock& clock);
    void forget(const std::string& server) { starts_.erase(server); }
    // Drops all servers that are not in `listed`, the entries of a complete list, each with an `id`.
    template <class Entries>
    void forget_all_but(const Entries& listed) {
        std::map<std::string, Start> retained;
        for (const auto& entry : listed)
            if (auto start = starts_.extract(entry.id)) retained.insert(std::move(start));
        starts_.swap(retained);
    }
    [[nodiscard]] std::size_t size() const { return starts_.size(); }

private:
    struct Start {
        std::int64_t reported_ms = 0;
        Time at{};
    };
    std::map<std::string, Start> starts_;
};

}  // namespace chalksail::membership
