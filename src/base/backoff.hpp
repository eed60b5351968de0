// Exponential backoff: pauses between attempts that double from a minimum to a maximum. No clock, no I/O, no
// threads.
#pragma once

#include <algorithm>
#include <chalksail/chalksail.hpp>

namespace chalksail {

// The backoff of one sequence of attempts.
class Backoff {
public:
    Backoff(Duration minimum, Duration maximum) : minimum_(minimum), maximum_(maximum) {}

    // Returns the pause before the next attempt.
    [[nodiscard]] Duration next() {
        pause_ = std::clamp(2 * pause_, minimum_, maximum_);
        return pause_;
    }
    // Restarts from the minimum pause, after a success.
    void reset() { pause_ = {}; }

private:
    Duration minimum_;
    Duration maximum_;
    Duration pause_{};
};

}  // namespace chalksail
