// A listening TCP socket on a libuv loop. It calls accept() itself: on EMFILE, libuv's own listener accepts
// and closes all pending connections and so loses their requests. Here, on ENFILE and EMFILE, they stay in
// the backlog until descriptors are available again.
//
// One loop, one thread. From within on_accepted() and on_accept_error() the handler may close connections,
// but not the listener. Errors: the constructor throws std::runtime_error if it can't listen on the address;
// later errors are reported to the handler.
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
        // A connection was accepted. Its descriptor is non-blocking and is now owned by the handler.
        virtual void on_accepted(Listener& listener, int descriptor) = 0;
        // accept() failed with this errno; the listener retries.
        virtual void on_accept_error(int error) = 0;
        // The listener has closed its socket, as the last step of stop(), close(), or a retry after stop().
        // The handler may destroy the listener here.
        virtual void on_listener_closed(Listener& listener) = 0;
    };

    Listener(uv_loop_t& loop, Handler& handler, const Address& address);
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    // Returns the bound address, with the port that the system chose if port 0 was requested.
    [[nodiscard]] const Address& address() const { return address_; }
    // Accepts the pending connections and then closes the socket, so that connections already in the backlog
    // are served. During a resource shortage it retries for kStopTimeout at most.
    void stop();
    // Closes the socket immediately; pending connections are reset.
    void close();

private:
    enum class AcceptResult { nothing_left, resource_shortage };
    // Opens the socket, retrying for kOpenTimeout so that a brief resource shortage does not fail the start.
    void open(const Address& address);
    // Returns an errno, or 0.
    int try_open(const Address& address);
    void on_readable();
    AcceptResult accept_all();
    void retry_later();
    void on_retry();

    Handler& handler_;
    Address address_;
    FileDescriptor socket_;
    std::optional<Poll> poll_;  // Set once the socket is open
    Timer retry_timer_;
    Backoff backoff_;
    bool stopping_ = false;
    Time stop_until_{};
};

}  // namespace chalksail::net
