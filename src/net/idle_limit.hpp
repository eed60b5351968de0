// Learns how long a connection may have been idle and still be reused. Servers and intermediaries drop idle
// connections earlier than documented, and their close arrives late or never; a request on such a connection
// fails and may have run. Failures are counted by idle time. An idle time at which too many requests failed
// is avoided until these failures have decayed. No I/O and no clock.
#pragma once

#include <array>
#include <chalksail/chalksail.hpp>
#include <cstddef>

namespace chalksail::net {

class IdleLimit {
public:
    struct Limits {
        double max_broken_share = 0.05;  // Of the requests on connections with a similar idle time
        double min_broken = 3;           // Fewer failures may be chance
        Duration half_life = std::chrono::seconds(15);
        // A request on a dropped connection fails within a few round trips. A later failure is the server's.
        Duration drop_detection = std::chrono::milliseconds(25);
    };
    explicit IdleLimit(Limits limits) : limits_(limits) {}
    IdleLimit() : IdleLimit(Limits{}) {}

    // Records a request on a connection that had been idle for `idle_for`. After `elapsed`, its response
    // began or, if `broke` is true, the connection failed.
    void record(Time now, Duration idle_for, Duration elapsed, bool broke);
    // Returns the idle time above which a connection must not be reused.
    [[nodiscard]] Duration longest_usable(Time now);

private:
    // Idle times are counted in buckets with doubling upper bounds: kFirstBucketMax, twice that, and so on.
    static constexpr std::size_t kBuckets = 14;
    static constexpr Duration kFirstBucketMax = std::chrono::milliseconds(2);
    struct Count {
        double good = 0;
        double broken = 0;
    };
    static std::size_t bucket_of(Duration idle_for);
    void decay(Time now);

    Limits limits_;
    std::array<Count, kBuckets> counts_{};
    Time decayed_at_{};
};

}  // namespace chalksail::net
