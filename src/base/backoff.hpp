// Pauses between tries that double from a least to a most. No clock, no I/O.
#pragma once

#include <algorithm>
#include <chalksail/chalksail.hpp>

namespace chalksail {

class Backoff {
public:
    Backoff(Duration least, Duration most) : least_(least), most_(most) {}

    // The pause before the next try.
    [[nodiscard]] Duration next() {
        pause_ = std::clamp(2 * pause_, least_, most_);
        return pause_;
    }
    // A try went well.
    void reset() { pause_ = {}; }

private:
    Duration least_;
    Duration most_;
    Duration pause_{};
};

}  // namespace chalksail
