// What decides for an edge: the module, or a baseline that the laboratory compares it with. The contract is
// that of chalksail::Router; the edge's guards stand between either and the wire.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstddef>
#include <span>
#include <vector>

namespace chalksail::core {

class RoutingPolicy {
public:
    virtual ~RoutingPolicy() = default;
    [[nodiscard]] virtual std::vector<Action> step(Time now, std::span<const Event> events) = 0;
    [[nodiscard]] virtual std::size_t tracked_requests() const = 0;
};

}  // namespace chalksail::core
