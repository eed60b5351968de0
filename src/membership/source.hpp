// Where the list of servers comes from. A source tells its sink of each change, whole or as changes, in
// order; the sink takes it into force before it returns. The settings' own servers and the admin listener are
// two sources; others (a coordination service, watched files) come beside them. No I/O here.
#pragma once

#include "membership/endpoint_list.hpp"

namespace chalksail::membership {

class ListSink {
public:
    virtual ~ListSink() = default;
    // In force when this returns.
    virtual void take(EndpointList list) = 0;
};

class ListSource {
public:
    virtual ~ListSource() = default;
    // From now on the sink is told; it outlives the source. What is known already is told at once.
    virtual void start(ListSink& sink) = 0;
};

}  // namespace chalksail::membership
