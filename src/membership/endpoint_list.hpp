// Membership: which model servers exist, their addresses and start times, and whether they may be used.
//
// The package contains the endpoint type, the interface of endpoint sources (endpoint_source.hpp), the order
// in which list updates may be applied (update_sequence.hpp), the timing of a discovery watch
// (watch_schedule.hpp), the conversion of start times to the monotonic clock (wall_clock.hpp) and the record
// of servers that failed TLS verification (verification.hpp). It does no I/O, reads no clock and starts no
// threads; its classes are not thread-safe and belong to the event loop. Its functions report no errors: the
// codec that produced the input has validated it.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/units.hpp"

namespace chalksail::membership {

// One model server: its endpoint as the router sees it, and its addresses.
struct EndpointConfig {
    Endpoint endpoint;
    Address address;
    std::optional<Address> events;  // where it publishes cache events; empty if it publishes none
    std::optional<Address> replay;  // where it replays past cache events; empty if it replays none
};

// An update of the endpoint list. `kind` says whether `endpoints` is a delta or the complete list.
struct EndpointList {
    EndpointUpdateKind kind = EndpointUpdateKind::snapshot;
    std::vector<EndpointConfig> endpoints;
    std::int64_t generation = 0;  // version number of the list at its source; 0 if the source has none
};

}  // namespace chalksail::membership
