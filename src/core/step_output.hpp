// Collects the results of one step of the core, in order: effects for the network layer, and events for the
// router.
//
// The coordinator (edge.hpp) owns the only instance and passes it to the parts as an argument; they must not
// store it. The order of both lists is part of the core's behaviour: the same inputs give the same lists.
#pragma once

#include <chalksail/chalksail.hpp>
#include <utility>
#include <vector>

#include "core/effects.hpp"

namespace chalksail::core {

class StepOutput {
public:
    // Appends an effect for the network layer.
    template <class Effect>
    void emit(Effect effect) {
        effects_.emplace_back(std::move(effect));
    }
    // Appends the effect that logs and counts this record.
    template <class Record>
    void record(Record record) {
        effects_.emplace_back(EmitRecord{std::move(record)});
    }
    // Appends an event for the router's next step.
    template <class RouterEvent>
    void notify(RouterEvent event) {
        events_.emplace_back(std::move(event));
    }

    [[nodiscard]] bool has_events() const { return !events_.empty(); }
    [[nodiscard]] std::vector<Output> take_effects() { return std::exchange(effects_, {}); }
    [[nodiscard]] std::vector<Event> take_events() { return std::exchange(events_, {}); }

private:
    std::vector<Output> effects_;
    std::vector<Event> events_;
};

}  // namespace chalksail::core
