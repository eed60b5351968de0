#include "net/socket_address.hpp"

#include <netinet/in.h>
#include <uv.h>

namespace chalksail::net {

std::optional<SocketAddress> to_socket_address(const Address& address) {
    SocketAddress out;
    if (uv_ip4_addr(address.host.c_str(), address.port, reinterpret_cast<sockaddr_in*>(&out.storage)) == 0) {
        out.size = sizeof(sockaddr_in);
        return out;
    }
    if (uv_ip6_addr(address.host.c_str(), address.port, reinterpret_cast<sockaddr_in6*>(&out.storage)) == 0) {
        out.size = sizeof(sockaddr_in6);
        return out;
    }
    return std::nullopt;
}

}  // namespace chalksail::net
