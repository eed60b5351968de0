// A listening TCP socket on a libuv loop. It calls accept() itself, as libuv's own listener answers ENFILE
// and EMFILE by accepting and closing all pending connections, with the requests in them. Here they stay in
// the backlog until the shortage is over.
//
// One loop, one thread. The handler may close connections, not the listener, from within on_accepted() and
// on_accept_error(). Errors: the constructor throws std::runtime_error if the address can't be listened on;
// later ones are reported to the handler.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <optional>

#include "base/backoff.hpp"
#include "base/units.hpp"
#include "net/file_descriptor.hpp"
#include "net/loop_handles.hpp"

namespace chalksail::net {

class Listener {
public:
    struct Handler {
        virtual ~Handler() = default;
        // A new connection, which is non-blocking. The handler owns the descriptor from now on.
        virtual void on_accepted(Listener& listener, int descriptor) = 0;
        // accept() failed with this errno; it is tried again.
        virtual void on_accept_error(int error) = 0;
        // It has closed its socket, as the last step of stop() or close(), or of a retry behind stop(). The
        // handler may destroy it here.
        virtual void on_listener_closed(Listener& listener) = 0;
    };

    Listener(uv_loop_t& loop, Handler& handler, const Address& address);
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // As bound: with the port that the system chose, where 0 was asked for.
    [[nodiscard]] const Address& address() const { return address_; }
    // Accepts the pending connections, and then closes the socket: what has reached this machine is served.
    // During a shortage it waits for that, for kStopTimeout at most.
    void stop();
    // Closes at once: pending connections are reset.
    void close();

private:
    enum class AcceptResult { nothing_left, shortage };
    // Guards against a gateway that fails to start as its machine is short of something at that moment: it
    // is tried again for kOpenTimeout.
    void open(const Address& address);
    // An errno, or 0.
    int try_open(const Address& address);
    void on_readable();
    AcceptResult accept_all();
    void retry_later();
    void on_retry();

    Handler& handler_;
    Address address_;
    FileDescriptor socket_;
    std::optional<Poll> poll_;  // from the moment the socket is open
    Timer retry_timer_;
    Backoff backoff_;
    bool stopping_ = false;
    Time stop_until_{};
};

}  // namespace chalksail::net
