// The router's only timer. It is set to the earliest time at which a decision may change without a new event.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <span>

namespace chalksail::policy {

class StepTimer {
public:
    // Returns whether the timer is among the events and fired more than `tolerance` after its time.
    [[nodiscard]] bool fired_late(std::span<const Event> events, Time now, Duration tolerance) const;
    void on_fired(TimerId id);
    // Returns the action that sets the timer to `next`, but at least one tick from now. Returns nullopt if a
    // timer is already set for that time or an earlier one.
    [[nodiscard]] std::optional<SetTimer> set(Time next, Time now, Duration tick);

private:
    std::optional<Time> at_;
    TimerId id_{};
};

}  // namespace chalksail::policy
