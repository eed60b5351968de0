// Where the endpoint list comes from. The servers of the settings file, the admin listener and the discovery
// watch are such sources; others (a coordination service, watched files) can be added beside them.
#pragma once

#include "membership/endpoint_list.hpp"

namespace chalksail::membership {

// Receives the updates of one EndpointSource, in order.
class EndpointSink {
public:
    virtual ~EndpointSink() = default;
    // The update is in force when this returns.
    virtual void apply(EndpointList update) = 0;
};

// Produces endpoint updates.
class EndpointSource {
public:
    virtual ~EndpointSource() = default;
    // Starts delivering to `sink`, which must outlive the source. What is known already is delivered before
    // this returns.
    virtual void start(EndpointSink& sink) = 0;
};

}  // namespace chalksail::membership
