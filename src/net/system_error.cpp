#include "net/system_error.hpp"

#include <cerrno>
#include <cstdlib>

namespace chalksail::net {
namespace {

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

bool lacks_resources(int error) {
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

// Linux hands errors that are pending on the new connection to accept(): they end that one, not the listener.
FaultMeaning of_accept(int error) {
    switch (error) {
        case EINTR:
        case ECONNABORTED:
        case EPROTO:
        case ENOPROTOOPT:
        case EHOSTDOWN:
        case ENONET:
        case EHOSTUNREACH:
        case ENETUNREACH:
        case ENETDOWN:
        case EOPNOTSUPP:
        case ETIMEDOUT:
        case EPERM: return FaultMeaning::again;
        default: return FaultMeaning::shortage;
    }
}

// In the call itself nothing has been heard of the other side: no port, no route or no memory here. EALREADY
// and EINPROGRESS stand behind a call that was interrupted.
FaultMeaning of_connect(int error) {
    switch (error) {
        case EINTR: return FaultMeaning::again;
        case EADDRNOTAVAIL:
        case EADDRINUSE:
        case ENETUNREACH:
        case ENETDOWN:
        case EALREADY:
        case EINPROGRESS: return FaultMeaning::shortage;
        default:
            return lacks_resources(error) || would_block(error) ? FaultMeaning::shortage : FaultMeaning::peer;
    }
}

}  // namespace

FaultMeaning meaning_of(SystemCall call, int error) {
    error = std::abs(error);
    switch (call) {
        case SystemCall::accept: return would_block(error) ? FaultMeaning::nothing_yet : of_accept(error);
        case SystemCall::socket: return lacks_resources(error) ? FaultMeaning::shortage : FaultMeaning::peer;
        case SystemCall::connect: return of_connect(error);
        case SystemCall::look:
            if (would_block(error)) return FaultMeaning::nothing_yet;
            if (error == EINTR) return FaultMeaning::again;
            return lacks_resources(error) ? FaultMeaning::shortage : FaultMeaning::peer;
    }
    return FaultMeaning::peer;
}

}  // namespace chalksail::net
