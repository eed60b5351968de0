// Identifiers that the core and the network layer use for each other's objects.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>

namespace chalksail::core {

// Identifies a client connection with one open request; assigned by the network layer.
using ClientId = Strong<struct ClientTag, std::uint64_t>;
// Identifies one HTTP exchange with a server; assigned by the core, counted from 1.
using CallId = Strong<struct CallTag, std::uint64_t>;

}  // namespace chalksail::core
