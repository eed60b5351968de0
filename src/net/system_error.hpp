// What the errno of a failed system call means: whether the other side or this machine caused it, and whether
// the call is made again. The only place in the network layer that reads error numbers. Pure functions, no
// I/O. Sources: the Linux manual pages accept(2), socket(2), connect(2), recv(2) and tcp(7).
#pragma once

namespace chalksail::net {

enum class SystemCall {
    accept,   // a connection that waits at a listener
    socket,   // a descriptor for a new connection or listener; `peer` stands for what does not pass by itself
    connect,  // at once, in the call itself; an error that comes later is the other side's
    peek,     // recv with MSG_PEEK: are there unread bytes, or has the peer disconnected?
};

enum class ErrorMeaning {
    nothing_yet,  // no error: nothing is available at the moment
    again,        // interrupted, or about one connection that has ended: make the next call at once
    shortage,     // this machine lacks a resource for the moment: try again later, the peer is not at fault
    peer,         // the connection, or the route to the peer, is lost
};

// `error`: errno, or an error number of libuv's; the sign does not matter.
[[nodiscard]] ErrorMeaning meaning_of(SystemCall call, int error);

}  // namespace chalksail::net
