// What a system call that failed says: whose fault it is, and whether the call is made again. The one place
// in the network layer that reads error numbers. Pure functions, no I/O. Sources: Linux's pages accept(2),
// socket(2), connect(2), recv(2) and tcp(7).
#pragma once

namespace chalksail::net {

enum class SystemCall {
    accept,   // a connection that waits at a listener
    socket,   // a descriptor for a new connection or listener; `peer` stands for what does not pass by itself
    connect,  // at once, in the call itself; an error that comes later is the other side's
    look,     // recv with MSG_PEEK: is something there, or has the peer gone?
};

enum class FaultMeaning {
    nothing_yet,  // no fault: there is nothing to take at the moment
    again,        // interrupted, or of one connection that is gone: make the next call at once
    shortage,     // this machine lacks something for the moment: try again a little later, blame nobody
    peer,         // the connection, or the way to the other side, is gone
};

// `error`: errno, or an error number of libuv's; the sign does not matter.
[[nodiscard]] FaultMeaning meaning_of(SystemCall call, int error);

}  // namespace chalksail::net
