// Converts addresses from the settings to socket addresses. Pure functions.
#pragma once

#include <sys/socket.h>

#include <optional>

#include "base/units.hpp"

namespace chalksail::net {

struct SocketAddress {
    sockaddr_storage storage{};
    socklen_t size = 0;
    [[nodiscard]] const sockaddr* get() const { return reinterpret_cast<const sockaddr*>(&storage); }
};

// Returns nothing if the host is not an IP address.
[[nodiscard]] std::optional<SocketAddress> to_socket_address(const Address& address);

}  // namespace chalksail::net
