// The pool's connections that wait for their TLS handshake or are performing it. The handshake limiter
// decides which one may begin. No I/O. Not thread-safe.
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

    // Adds a connection that waits for its handshake.
    void enter(UpstreamConnection& connection);
    // Removes a connection whose handshake has ended or was abandoned. Does nothing if it is not queued.
    void leave(UpstreamConnection& connection);
    // Returns a connection that may begin its handshake, and counts it as begun; nullptr if there is none.
    [[nodiscard]] UpstreamConnection* next();
    // Returns the server's waiting connection with the highest priority; nullptr if there is none.
    [[nodiscard]] UpstreamConnection* first_waiting(const UpstreamKey& key) const;
    // Whether the connection waits because of the total limit and not because of its server's limit.
    [[nodiscard]] bool waits_for_total_limit(const UpstreamConnection& connection) const;

    [[nodiscard]] std::size_t under_way() const { return limiter_.under_way(); }
    [[nodiscard]] std::size_t waiting() const { return limiter_.waiting(); }

private:
    tls::HandshakeLimiter limiter_;
    std::unordered_map<tls::HandshakeLimiter::Id, UpstreamConnection*> connections_;
    tls::HandshakeLimiter::Id last_id_ = 0;
};

}  // namespace chalksail::net
