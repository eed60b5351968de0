// When a watch of a server list is opened, and when it is given up as silent. A watch that has broken misses
// changes which count as known some seconds later, so each kind of failure has to be found and mended well
// inside that time: see the limits below, and the table of worst cases in
// tests/membership/watch_schedule_test.cpp. Free of I/O and clock; one schedule for each watch.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstddef>

namespace chalksail::membership {

struct WatchLimits {
    // One object: the whole list of the largest fleet (3,200 servers), indented at 2 KiB each.
    std::size_t object_bytes = std::size_t{8} * 1024 * 1024;
    Duration dial_timeout = std::chrono::milliseconds(500);
    // Of a new watch, which is answered at once, and inside an object, which comes in one go or nearly so.
    Duration silence_midway = std::chrono::milliseconds(700);
    // From a call's start to the end of its first object, also where single bytes keep coming.
    Duration first_object = std::chrono::milliseconds(1200);
    // Between objects: discovery says something every 2 s.
    Duration silence = std::chrono::milliseconds(2600);
    Duration retry_least = std::chrono::milliseconds(50);
    Duration retry_most = std::chrono::milliseconds(400);
};

class WatchSchedule {
public:
    explicit WatchSchedule(WatchLimits limits) : limits_(limits) {}

    // A call has been started.
    void opened(Time now);
    // Bytes of its answer have come. `midway`: they end inside an object. `whole`: one or more ended in them.
    void received(Time now, bool midway, bool whole);
    // The call is over, whatever ended it.
    void ended(Time now);
    // The list is at another place: to be opened there at once.
    void target_changed(Time now);

    // Is the call to be given up?
    [[nodiscard]] bool silent(Time now) const;
    // Is a call to be started?
    [[nodiscard]] bool due(Time now) const { return !open_ && now >= open_at_; }

private:
    WatchLimits limits_;
    bool open_ = false;
    bool first_object_here_ = false;  // of this call
    bool midway_ = false;
    Time opened_at_{};
    Time heard_at_{};
    Time open_at_{};  // while none is open
    Duration pause_{};
};

}  // namespace chalksail::membership
