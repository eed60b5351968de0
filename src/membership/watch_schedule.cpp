#include "membership/watch_schedule.hpp"

#include <algorithm>

namespace chalksail::membership {

void WatchSchedule::opened(Time now) {
    open_ = true;
    first_object_received_ = false;
    inside_object_ = false;
    opened_at_ = now;
    last_received_ = now;
}

void WatchSchedule::received(Time now, bool inside_object, bool object_completed) {
    last_received_ = now;
    inside_object_ = inside_object;
    if (!object_completed) return;
    first_object_received_ = true;
    backoff_ = {};
}

void WatchSchedule::ended(Time now) {
    open_ = false;
    backoff_ = std::clamp(2 * backoff_, limits_.backoff_initial, limits_.backoff_max);
    next_open_ = now + backoff_;
}

void WatchSchedule::target_changed(Time now) {
    open_ = false;
    backoff_ = {};
    next_open_ = now;
}

bool WatchSchedule::silent(Time now) const {
    if (!open_) return false;
    if (!first_object_received_ && now - opened_at_ > limits_.first_object_timeout) return true;
    const bool object_expected = !first_object_received_ || inside_object_;
    const Duration timeout = object_expected ? limits_.object_silence_timeout : limits_.silence_timeout;
    return now - last_received_ > timeout;
}

}  // namespace chalksail::membership
