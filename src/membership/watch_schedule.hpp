// Decides when the endpoint list is requested, when a watch of its changes is opened, and when either call
// has timed out. A change that a broken watch misses must be known within 6 s, so each kind of failure is
// detected and retried well within that time; tests/membership/watch_schedule_test.cpp checks the worst
// cases.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstddef>
#include <optional>

namespace chalksail::membership {

// Size and time limits of a watch.
struct WatchLimits {
    // Maximum size of one object. The largest one, the complete list of 3,200 servers with indentation, takes
    // up to 2 KiB per server.
    std::size_t object_bytes = std::size_t{8} * 1024 * 1024;
    Duration dial_timeout = std::chrono::milliseconds(500);
    // Maximum time without a byte in a list call or inside an object: discovery responds at once and sends an
    // object with hardly a pause.
    Duration object_silence_timeout = std::chrono::milliseconds(700);
    // Maximum duration of a list call, even if single bytes keep arriving.
    Duration list_timeout = std::chrono::milliseconds(1200);
    // Maximum time without a byte between the objects of a watch: discovery sends white space at least every
    // 2 s.
    Duration silence_timeout = std::chrono::milliseconds(2600);
    Duration backoff_initial = std::chrono::milliseconds(50);
    Duration backoff_max = std::chrono::milliseconds(400);
};

// The kinds of calls to discovery: a request for the complete list, then a watch of the changes after it.
enum class WatchCall { list, watch };

// Schedules these calls, with exponential backoff. Reads no clock. Not thread-safe.
class WatchSchedule {
public:
    explicit WatchSchedule(WatchLimits limits) : limits_(limits) {}

    // Records that a call was opened.
    void opened(WatchCall call, Time now);
    // Records that the head of the response arrived.
    void response_began(Time now);
    // Records that bytes of the response's body arrived. `inside_object` means that an object is incomplete.
    void received(Time now, bool inside_object);
    // Records that the open call has delivered the complete list.
    void list_received() { list_received_ = true; }
    // Records that the call ended, for any reason. If it delivered the list, the watch is due at once.
    void ended(Time now);
    // Records that the address of discovery changed: a list call is due at once.
    void target_changed(Time now);

    // Returns whether the open call has timed out.
    [[nodiscard]] bool timed_out(Time now) const;
    // Returns whether the open call is a list call that has not delivered the list. If it times out, its
    // owner keeps it open beside the next one, as the list may still arrive.
    [[nodiscard]] bool may_be_answered_late() const { return open_ == WatchCall::list && !list_received_; }
    // Returns when the open call was opened.
    [[nodiscard]] Time opened_at() const { return opened_at_; }
    // Returns whether the open call has delivered the list.
    [[nodiscard]] bool list_known() const { return list_received_; }
    // Returns the call to open now, if one is due.
    [[nodiscard]] std::optional<WatchCall> due(Time now) const;

private:
    WatchLimits limits_;
    std::optional<WatchCall> open_;
    WatchCall next_ = WatchCall::list;  // kind of the next call; valid while no call is open
    bool list_received_ = false;        // the open call has delivered the list
    bool inside_object_ = false;        // the bytes received so far end inside an object
    Time opened_at_{};
    Time last_received_{};
    Time next_open_{};  // when the next call is due; valid while no call is open
    Duration backoff_{};
};

}  // namespace chalksail::membership
