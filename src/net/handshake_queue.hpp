// The pool's connections that wait for their TLS handshake, or are in it. Which may begin is decided by the
// handshake limiter. No I/O; one thread.
#pragma once

#include <cstddef>
#include <optional>
#include <unordered_map>

#include "net/tls/handshake_limiter.hpp"
#include "net/upstream_connection.hpp"

namespace chalksail::net {

class HandshakeQueue {
public:
    explicit HandshakeQueue(tls::HandshakeLimiter::Limits limits) : limiter_(limits) {}

    // It waits from now on.
    void enter(UpstreamConnection& connection);
    // It has ended, well or not, or waits no longer. Nothing happens where it is not here.
    void leave(UpstreamConnection& connection);
    // One that may begin now, and counts as begun; nullptr if none may.
    [[nodiscard]] UpstreamConnection* next();
    // Of those to this server that wait, the one that comes first; nullptr if there is none.
    [[nodiscard]] UpstreamConnection* first_waiting(const UpstreamKey& key) const;
    // Does it wait for the limit of all servers together, and not for its own server's?
    [[nodiscard]] bool waits_for_total_limit(const UpstreamConnection& connection) const;

    [[nodiscard]] std::size_t under_way() const { return limiter_.under_way(); }
    [[nodiscard]] std::size_t waiting() const { return limiter_.waiting(); }

private:
    tls::HandshakeLimiter limiter_;
    std::unordered_map<tls::HandshakeLimiter::Id, UpstreamConnection*> connections_;
    tls::HandshakeLimiter::Id last_id_ = 0;
};

}  // namespace chalksail::net
