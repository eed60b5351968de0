#include "membership/watch_schedule.hpp"

#include <algorithm>

namespace chalksail::membership {

void WatchSchedule::opened(Time now) {
    open_ = true;
    first_object_here_ = false;
    midway_ = false;
    opened_at_ = now;
    heard_at_ = now;
}

void WatchSchedule::received(Time now, bool midway, bool whole) {
    heard_at_ = now;
    midway_ = midway;
    if (!whole) return;
    first_object_here_ = true;
    pause_ = {};
}

void WatchSchedule::ended(Time now) {
    open_ = false;
    pause_ = std::clamp(2 * pause_, limits_.retry_least, limits_.retry_most);
    open_at_ = now + pause_;
}

void WatchSchedule::target_changed(Time now) {
    open_ = false;
    pause_ = {};
    open_at_ = now;
}

bool WatchSchedule::silent(Time now) const {
    if (!open_) return false;
    if (!first_object_here_ && now - opened_at_ > limits_.first_object) return true;
    const bool awaited = !first_object_here_ || midway_;
    return now - heard_at_ > (awaited ? limits_.silence_midway : limits_.silence);
}

}  // namespace chalksail::membership
