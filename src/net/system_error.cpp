#include "net/system_error.hpp"

#include <cerrno>
#include <cstdlib>

namespace chalksail::net {
namespace {

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

bool lacks_resources(int error) {
    return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

// Linux reports errors pending on a new connection from accept(). They concern that connection only, not the
// listener.
ErrorMeaning meaning_of_accept(int error) {
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
        case EPERM: return ErrorMeaning::retry_now;
        default: return ErrorMeaning::resource_shortage;
    }
}

// These errors are returned by the call itself, before the peer has responded: there is no free port, route
// or memory on this machine. EALREADY and EINPROGRESS follow an interrupted call.
ErrorMeaning meaning_of_connect(int error) {
    switch (error) {
        case EINTR: return ErrorMeaning::retry_now;
        case EADDRNOTAVAIL:
        case EADDRINUSE:
        case ENETUNREACH:
        case ENETDOWN:
        case EALREADY:
        case EINPROGRESS: return ErrorMeaning::resource_shortage;
        default:
            return lacks_resources(error) || would_block(error) ? ErrorMeaning::resource_shortage
                                                                : ErrorMeaning::peer_failed;
    }
}

}  // namespace

ErrorMeaning meaning_of(SystemCall call, int error) {
    error = std::abs(error);
    switch (call) {
        case SystemCall::accept:
            return would_block(error) ? ErrorMeaning::nothing_yet : meaning_of_accept(error);
        case SystemCall::socket:
            return lacks_resources(error) ? ErrorMeaning::resource_shortage : ErrorMeaning::peer_failed;
        case SystemCall::connect: return meaning_of_connect(error);
        case SystemCall::peek:
            if (would_block(error)) return ErrorMeaning::nothing_yet;
            if (error == EINTR) return ErrorMeaning::retry_now;
            return lacks_resources(error) ? ErrorMeaning::resource_shortage : ErrorMeaning::peer_failed;
    }
    return ErrorMeaning::peer_failed;
}

}  // namespace chalksail::net
