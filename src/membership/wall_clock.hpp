// Times that others tell by the wall clock, in the monotonic one that the module goes by, while the wall
// clock is stepped forward and back. No clock of its own, no I/O.
//
// Every machine reads one wall clock: a time told is what it showed at that moment, so the offset that held
// then counts. What was told of a server first stays: told again behind a step, it is the same start.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace chalksail::membership {

class WallClock {
public:
    // `wall`: since the epoch, read at the monotonic time `now`.
    WallClock(Time now, Duration wall);

    // To be called now and then, and before times that were just told are asked for. Takes a change of the
    // offset of kLeastStep and more for a step.
    void observe(Time now, Duration wall);
    // When the wall clock showed that. Where it has shown it twice, the later one.
    [[nodiscard]] Time to_monotonic(Duration wall) const;

    // Reading two clocks takes a moment, and a process may be held up in between.
    static constexpr Duration kLeastStep = std::chrono::milliseconds(500);
    static constexpr std::size_t kStepsRemembered = 16;

private:
    struct Span {
        Time from{};
        Duration offset{};  // monotonic less wall
    };
    std::deque<Span> spans_;  // in order; the first goes back without end
    Time latest_{};
};

// When servers started, by the monotonic clock. Zero stands for "long ago".
class StartTimes {
public:
    // `started_ms`: by the wall clock, since the epoch; 0: long ago.
    [[nodiscard]] Time of(const std::string& server, std::int64_t started_ms, const WallClock& clock);
    void forget(const std::string& server) { known_.erase(server); }
    // `listed`: entries of a whole list, with an `id` each.
    template <class Entries>
    void forget_all_but(const Entries& listed) {
        std::map<std::string, Start> kept;
        for (const auto& entry : listed)
            if (auto known = known_.extract(entry.id)) kept.insert(std::move(known));
        known_.swap(kept);
    }
    [[nodiscard]] std::size_t size() const { return known_.size(); }

private:
    struct Start {
        std::int64_t told_ms = 0;
        Time at{};
    };
    std::map<std::string, Start> known_;
};

}  // namespace chalksail::membership
