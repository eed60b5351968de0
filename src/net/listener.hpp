// A listening TCP socket on a libuv loop. It accepts by itself, as libuv's own listener answers ENFILE and
// EMFILE by accepting and closing all connections that wait, with the requests in them. Here they wait in the
// backlog until the shortage is over.
//
// One loop, one thread. The handler may close connections, not the listener, from within its calls. Errors:
// the constructor throws std::runtime_error if the address can't be listened on; later ones are told to the
// handler.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>

#include "base/backoff.hpp"
#include "base/units.hpp"

namespace chalksail::net {

class Listener {
public:
    struct Handler {
        virtual ~Handler() = default;
        // A new connection, which is non-blocking. The handler owns the descriptor from now on.
        virtual void on_accepted(Listener& listener, int descriptor) = 0;
        // accept() failed with this errno; it is tried again.
        virtual void on_accept_error(int error) = 0;
        // It has closed its socket, and is deleted in a later turn of the loop: not to be used any more.
        virtual void on_listener_closed(Listener& listener) = 0;
    };

    Listener(uv_loop_t& loop, Handler& handler, const Address& address);
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // As bound: with the port that the system chose, where 0 was asked for.
    [[nodiscard]] const Address& address() const { return address_; }
    // Takes the connections that wait, and then closes the socket: what has reached this machine is served.
    // During a shortage it waits for that, for kStopPatience at most. Deletes the listener.
    void stop();
    // Closes at once: connections that wait are reset. Deletes the listener.
    void close();

private:
    ~Listener() = default;  // stop() and close() end it
    enum class Result { nothing_left, shortage };
    // Guards against a gateway that does not come up as its machine is short of something at that moment: it
    // is tried again for kOpenPatience.
    void open(const Address& address);
    // An errno, or 0.
    int try_open(const Address& address);
    void watch();
    void on_readable();
    Result accept_all();
    void retry_later();
    void on_retry();

    uv_loop_t& loop_;
    Handler& handler_;
    Address address_;
    int socket_ = -1;
    uv_poll_t poll_{};
    uv_timer_t retry_{};
    Backoff backoff_;
    bool stopping_ = false;
    Time stop_until_{};
};

}  // namespace chalksail::net
