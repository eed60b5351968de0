#include "membership/watch_schedule.hpp"

#include <algorithm>
#include <utility>

namespace chalksail::membership {

void WatchSchedule::opened(WatchCall call, Time now) {
    open_ = call;
    list_received_ = false;
    inside_object_ = false;
    opened_at_ = now;
    last_received_ = now;
}

void WatchSchedule::response_began(Time now) { last_received_ = now; }

void WatchSchedule::received(Time now, bool inside_object) {
    last_received_ = now;
    inside_object_ = inside_object;
    if (open_ == WatchCall::watch) backoff_ = {};
}

void WatchSchedule::ended(Time now) {
    open_.reset();
    if (std::exchange(list_received_, false)) {
        next_ = WatchCall::watch;
        next_open_ = now;
        return;
    }
    next_ = WatchCall::list;
    backoff_ = std::clamp(2 * backoff_, limits_.backoff_initial, limits_.backoff_max);
    next_open_ = now + backoff_;
}

void WatchSchedule::target_changed(Time now) {
    open_.reset();
    list_received_ = false;
    next_ = WatchCall::list;
    backoff_ = {};
    next_open_ = now;
}

bool WatchSchedule::timed_out(Time now) const {
    if (!open_) return false;
    const bool list_call = open_ == WatchCall::list;
    if (list_call && now - opened_at_ > limits_.list_timeout) return true;
    const Duration timeout =
        list_call || inside_object_ ? limits_.object_silence_timeout : limits_.silence_timeout;
    return now - last_received_ > timeout;
}

std::optional<WatchCall> WatchSchedule::due(Time now) const {
    if (open_ || now < next_open_) return std::nullopt;
    return next_;
}

}  // namespace chalksail::membership
