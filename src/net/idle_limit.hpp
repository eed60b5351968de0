// How long a reusable connection may have been idle and still be used. Servers, and what stands between, drop
// idle connections earlier than documented, and their close comes late or never: a request on such a one
// breaks, and may have run. Breaks are counted by how long the connection was idle; an idle time at which too
// many broke is not used again until they are some time past. Free of I/O and clock.
#pragma once

#include <array>
#include <chalksail/chalksail.hpp>
#include <cstddef>

namespace chalksail::net {

class IdleLimit {
public:
    struct Limits {
        double max_broken_share = 0.05;  // of those idle for about as long
        double min_broken = 3;           // fewer may be chance
        Duration half_life = std::chrono::seconds(15);
        // One that had been dropped breaks within some round trips; later it is the server that failed.
        Duration drop_detection = std::chrono::milliseconds(25);
    };
    explicit IdleLimit(Limits limits) : limits_(limits) {}
    IdleLimit() : IdleLimit(Limits{}) {}

    // A request went out on a connection that was idle for so long, and was answered, or broke, `taken`
    // later.
    void record(Time now, Duration idle_for, Duration taken, bool broke);
    // Those that have been idle for longer are not to be used.
    [[nodiscard]] Duration longest_usable(Time now);

private:
    // Idle times are counted in classes: up to the first, up to twice that, four times ...
    static constexpr std::size_t kClasses = 14;
    static constexpr Duration kFirstClass = std::chrono::milliseconds(2);
    struct Count {
        double good = 0;
        double broken = 0;
    };
    static std::size_t class_of(Duration idle_for);
    void decay(Time now);

    Limits limits_;
    std::array<Count, kClasses> counts_{};
    Time decayed_at_{};
};

}  // namespace chalksail::net
