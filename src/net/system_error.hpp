// Classifies the errno of a failed system call: whether the peer or this machine caused the failure, and
// whether to retry the call. All interpretation of error numbers in the network layer belongs here. Pure
// functions, no I/O. Sources: the Linux manual pages accept(2), socket(2), connect(2), recv(2) and tcp(7).
#pragma once

namespace chalksail::net {

enum class SystemCall {
    accept,   // Accepting a pending connection
    socket,   // Opening a socket for a connection or listener; here `peer_failed` means a permanent error
    connect,  // An error of connect() itself; errors reported later are caused by the peer
    peek,     // recv() with MSG_PEEK, to check for unread bytes or a disconnect
};

enum class ErrorMeaning {
    nothing_yet,  // Not an error: nothing is available at the moment
    retry_now,    // The call was interrupted, or one pending connection has failed: call again immediately
    resource_shortage,  // This machine temporarily lacks a resource: retry later; the peer is not at fault
    peer_failed,        // The connection or the route to the peer is lost
};

// `error` is an errno or a libuv error number; its sign does not matter.
[[nodiscard]] ErrorMeaning meaning_of(SystemCall call, int error);

}  // namespace chalksail::net
