// When a watch of the endpoint list is opened, and when it is given up as silent. A change that a broken
// watch misses must be known within 6 s, so each kind of failure is detected and retried well within that
// time; tests/membership/watch_schedule_test.cpp checks the worst cases.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstddef>

namespace chalksail::membership {

// Size and time limits of a watch.
struct WatchLimits {
    // One object: the complete list of the largest fleet (3,200 servers), indented, at 2 KiB each.
    std::size_t object_bytes = std::size_t{8} * 1024 * 1024;
    Duration dial_timeout = std::chrono::milliseconds(500);
    // Without a byte before the first object has ended, or inside a later one: discovery answers a new watch
    // at once, and sends an object in one go or nearly so.
    Duration object_silence_timeout = std::chrono::milliseconds(700);
    // From the start of a call to the end of its first object, also while single bytes keep coming.
    Duration first_object_timeout = std::chrono::milliseconds(1200);
    // Without a byte between objects: discovery sends at least white space every 2 s.
    Duration silence_timeout = std::chrono::milliseconds(2600);
    Duration backoff_initial = std::chrono::milliseconds(50);
    Duration backoff_max = std::chrono::milliseconds(400);
};

// The timing of one watch, with exponential backoff between calls. Reads no clock. Not thread-safe.
class WatchSchedule {
public:
    explicit WatchSchedule(WatchLimits limits) : limits_(limits) {}

    // A call was started.
    void opened(Time now);
    // Bytes of the response arrived. `inside_object`: they end inside an object. `object_completed`: at least
    // one object ended in them.
    void received(Time now, bool inside_object, bool object_completed);
    // The call ended, for whatever reason.
    void ended(Time now);
    // Discovery moved to another address: a call to it is due at once.
    void target_changed(Time now);

    // Has the open call been silent for too long?
    [[nodiscard]] bool silent(Time now) const;
    // Is a call to be started?
    [[nodiscard]] bool due(Time now) const { return !open_ && now >= next_open_; }

private:
    WatchLimits limits_;
    bool open_ = false;
    bool first_object_received_ = false;  // in the open call
    bool inside_object_ = false;
    Time opened_at_{};
    Time last_received_{};
    Time next_open_{};  // while no call is open
    Duration backoff_{};
};

}  // namespace chalksail::membership
