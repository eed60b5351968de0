#include "step_timer.hpp"

#include <algorithm>

namespace chalksail::policy {

bool StepTimer::fired_late(std::span<const Event> events, Time now, Duration tolerance) const {
    return std::any_of(events.begin(), events.end(), [&](const Event& event) {
        const auto* fired = std::get_if<TimerFired>(&event);
        return fired != nullptr && fired->id == id_ && now > at_.value_or(now) + tolerance;
    });
}

void StepTimer::on_fired(TimerId id) {
    if (id == id_) at_.reset();
}

std::optional<SetTimer> StepTimer::set(Time next, Time now, Duration tick) {
    if (at_ && *at_ <= next && *at_ > now) return {};
    at_ = std::max(next, now + tick);
    id_ = {id_.value + 1};
    return SetTimer{*at_, id_};
}

}  // namespace chalksail::policy
