// The reason why a client connection ended.
#pragma once

#include <string>

namespace chalksail::net {

struct ConnectionEnd {
    enum class Reason {
        peer_ended,    // The peer closed the connection or its sending side
        read_failed,   // A read failed with `error`
        write_failed,  // A write failed with `error`
        tls,           // The peer violated the TLS protocol or closed the TLS stream
        not_reading,   // The peer read none of the pending output within the stall time-out
        sent_ahead,    // The peer pipelined more than the limit
        evicted,       // Idle, and closed for a new connection at the connection limit
        over_limit,    // New, and refused at the connection limit as no other connection was idle
        overdue,       // Exceeded the time-out for a handshake, for an idle connection, or for lingering
        drained,       // The drain time expired
        aborted,       // Closed by HttpServer::abort()
        stopped,       // The server closed all connections
    };
    Reason reason = Reason::peer_ended;
    int error = 0;  // libuv error number; 0 if the system reported none
};

// Returns the reason's name and the error's, as in "read_failed (ETIMEDOUT)".
[[nodiscard]] std::string describe(const ConnectionEnd& end);

}  // namespace chalksail::net
