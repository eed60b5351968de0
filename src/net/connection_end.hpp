// Why a connection of a client ended.
#pragma once

#include <string>

namespace chalksail::net {

struct ConnectionEnd {
    enum class Reason {
        peer_ended,    // the peer closed it, or its sending side
        read_failed,   // with `error`
        write_failed,  // with `error`
        tls,           // the peer broke the protocol, or closed it
        not_reading,   // it read none of the pending bytes for the stall time-out
        sent_ahead,    // it sent too much ahead of its responses
        evicted,       // one connection too many, and it was idle
        over_limit,    // one connection too many, and none was idle
        overdue,       // idle, or ended by this side, for longer than its limit
        drained,       // the end of the drain time
        aborted,       // by the owner
        stopped,       // this server is being destroyed
    };
    Reason reason = Reason::peer_ended;
    int error = 0;  // libuv's, where the system reported one
};

// "read_failed (ETIMEDOUT)"
[[nodiscard]] std::string describe(const ConnectionEnd& end);

}  // namespace chalksail::net
