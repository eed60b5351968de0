// The router's one timer: set for the earliest time at which time alone can change a decision.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <span>

namespace chalksail::policy {

class StepTimer {
public:
    // Whether the timer is among the events and comes more than this after its time.
    [[nodiscard]] bool fired_late(std::span<const Event> events, Time now, Duration tolerance) const;
    void on_fired(TimerId id);
    // Asks for a step at `next`, no earlier than a tick from now. None: one is set that comes before it.
    [[nodiscard]] std::optional<SetTimer> set(Time next, Time now, Duration tick);

private:
    std::optional<Time> at_;
    TimerId id_{};
};

}  // namespace chalksail::policy
