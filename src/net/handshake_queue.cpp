#include "net/handshake_queue.hpp"

#include <string>
#include <utility>

namespace chalksail::net {
namespace {

// Returns the limiter's name for a server.
std::string limiter_key(const UpstreamKey& key) { return format_address(key.first) + ' ' + key.second; }

}  // namespace

void HandshakeQueue::enter(UpstreamConnection& connection) {
    connection.handshake_id = ++last_id_;
    connections_.emplace(connection.handshake_id, &connection);
    limiter_.enter(connection.handshake_id, limiter_key(connection.target.key()),
                   connection.initial_call.priority);
}

void HandshakeQueue::leave(UpstreamConnection& connection) {
    if (connection.handshake_id == 0) return;
    limiter_.leave(connection.handshake_id);
    connections_.erase(std::exchange(connection.handshake_id, 0));
}

UpstreamConnection* HandshakeQueue::next() {
    const auto id = limiter_.next();
    return id ? connections_.at(*id) : nullptr;
}

UpstreamConnection* HandshakeQueue::first_waiting(const UpstreamKey& key) const {
    const auto id = limiter_.first_waiting(limiter_key(key));
    return id ? connections_.at(*id) : nullptr;
}

bool HandshakeQueue::waits_for_total_limit(const UpstreamConnection& connection) const {
    return limiter_.waits_for_total_limit(connection.handshake_id);
}

}  // namespace chalksail::net
