// Numbers by which the core and the network layer name what the other owns.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>

namespace chalksail::core {

// One connection of a client with one request in hand; chosen by the network layer.
using ClientId = Strong<struct ClientTag, std::uint64_t>;
// One HTTP exchange with a server; chosen by the core, counted from 1.
using CallId = Strong<struct CallTag, std::uint64_t>;

}  // namespace chalksail::core
