// The interface of endpoint sources. The settings file, the admin listener and the discovery watch are
// sources; others (a coordination service, watched files) can be added.
#pragma once

#include "membership/endpoint_list.hpp"

namespace chalksail::membership {

// Receives the updates of one EndpointSource, in order.
class EndpointSink {
public:
    virtual ~EndpointSink() = default;
    // Applies an update. The sink owns it from then on, and applies updates in the order of the calls.
    virtual void apply(EndpointList update) = 0;
};

// Produces endpoint updates.
class EndpointSource {
public:
    virtual ~EndpointSource() = default;
    // Starts delivering to `sink`, which must outlive the source. Delivers an update that is already known
    // before it returns.
    virtual void start(EndpointSink& sink) = 0;
};

}  // namespace chalksail::membership
