// The endpoint list as membership sources deliver it: each model server with the addresses at which it is
// reached. Plain values; no I/O.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <vector>

#include "base/units.hpp"

namespace chalksail::membership {

// One model server: what the routing module knows of it, and where it listens.
struct EndpointConfig {
    Endpoint endpoint;
    Address address;
    std::optional<Address> events;  // where it publishes its cache events, if it does
    std::optional<Address> replay;  // where it replays past ones
};

// A change of the endpoint list; `kind` says whether `endpoints` are all of them.
struct EndpointList {
    EndpointUpdateKind kind = EndpointUpdateKind::snapshot;
    std::vector<EndpointConfig> endpoints;
};

}  // namespace chalksail::membership
