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
ErrorMeaning of_accept(int error) {
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
        case EPERM: return ErrorMeaning::again;
        default: return ErrorMeaning::shortage;
    }
}

// In the call itself nothing was received from the peer: no port, no route or no memory here. EALREADY
// and EINPROGRESS stand behind a call that was interrupted.
ErrorMeaning of_connect(int error) {
    switch (error) {
        case EINTR: return ErrorMeaning::again;
        case EADDRNOTAVAIL:
        case EADDRINUSE:
        case ENETUNREACH:
        case ENETDOWN:
        case EALREADY:
        case EINPROGRESS: return ErrorMeaning::shortage;
        default:
            return lacks_resources(error) || would_block(error) ? ErrorMeaning::shortage : ErrorMeaning::peer;
    }
}

}  // namespace

ErrorMeaning meaning_of(SystemCall call, int error) {
    error = std::abs(error);
    switch (call) {
        case SystemCall::accept: return would_block(error) ? ErrorMeaning::nothing_yet : of_accept(error);
        case SystemCall::socket: return lacks_resources(error) ? ErrorMeaning::shortage : ErrorMeaning::peer;
        case SystemCall::connect: return of_connect(error);
        case SystemCall::peek:
            if (would_block(error)) return ErrorMeaning::nothing_yet;
            if (error == EINTR) return ErrorMeaning::again;
            return lacks_resources(error) ? ErrorMeaning::shortage : ErrorMeaning::peer;
    }
    return ErrorMeaning::peer;
}

}  // namespace chalksail::net
