// How long a kept connection may have rested and still be used. Servers, and what stands between, drop
// connections earlier than anyone says, and the word of it comes late or never: a request on such a one
// breaks, and may have run. What breaks is counted by how long it had rested; an age at which too many broke
// is not used again until that is some time past. Free of I/O and clock.
#pragma once

#include <array>
#include <chalksail/chalksail.hpp>
#include <cstddef>

namespace chalksail::net {

class IdleLimit {
public:
    struct Limits {
        double broken_share = 0.05;  // of those of an age, and older: more is too many
        double least_broken = 3;     // fewer may be chance
        Duration half_life = std::chrono::seconds(15);
        // One that had been dropped breaks within some round trips; later it is the server that died.
        Duration at_once = std::chrono::milliseconds(25);
    };
    explicit IdleLimit(Limits limits) : limits_(limits) {}
    IdleLimit() : IdleLimit(Limits{}) {}

    // A request went out on a connection that had rested so long, and was answered, or broke, after `taken`.
    void used(Time now, Duration rested, Duration taken, bool broke);
    // Those that have rested for longer are not to be used.
    [[nodiscard]] Duration longest(Time now);

private:
    static constexpr std::size_t kAges = 14;
    static constexpr Duration kFirst =
        std::chrono::milliseconds(2);  // ages: up to this, twice, four times ...
    struct Count {
        double good = 0;
        double broken = 0;
    };
    static std::size_t age_of(Duration rested);
    void fade(Time now);

    Limits limits_;
    std::array<Count, kAges> ages_{};
    Time faded_{};
};

}  // namespace chalksail::net
