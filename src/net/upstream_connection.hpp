// One connection of the pool to a server: how far it is established, and the call that it serves. The pool
// moves it from state to state.
#pragma once

#include <cstdint>
#include <string_view>

#include "base/backoff.hpp"
#include "http/message.hpp"
#include "net/call_queue.hpp"
#include "net/tcp_connection.hpp"
#include "net/tls/handshake_limiter.hpp"
#include "net/upstream_target.hpp"

namespace chalksail::net {

class UpstreamConnection : public TcpConnection {
public:
    // What the socket reports.
    struct Owner {
        virtual ~Owner() = default;
        virtual void on_connected(UpstreamConnection& connection, int status) = 0;
        virtual void on_bytes(UpstreamConnection& connection, std::string_view bytes) = 0;
        virtual void on_read_error(UpstreamConnection& connection, int error) = 0;
        virtual void on_write_completed(UpstreamConnection& connection, int status) = 0;
    };

    //   connecting <-> awaiting_retry, connecting -> handshake_queued -> handshaking -> idle <-> busy
    // Without TLS from connecting straight to idle or busy; from anywhere to `closed`.
    enum class State {
        connecting,        // the system establishes it
        awaiting_retry,    // this machine was short of a resource; it is tried again at `retry_at`
        handshake_queued,  // connected, and waits for the handshake limiter
        handshaking,
        idle,
        busy,  // `exchange` is under way
        closed,
    };

    // The call that it serves, or is established for.
    struct Exchange {
        std::uint64_t call = 0;  // 0: none
        Duration idle_before{};  // how long it was idle before this call; of a new connection: zero
        bool response_begun = false;
        bool written = false;            // the last byte of the request was handed to the kernel
        bool response_unwanted = false;  // the rest of its response interests nobody
        bool paused = false;
    };

    UpstreamConnection(uv_loop_t& loop, ReadBuffer& read_buffer, Owner& owner, http::Limits limits, Target to)
        : TcpConnection(loop, read_buffer), target(std::move(to)), reader(limits), owner_(owner) {}

    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] bool is_in(State state) const { return state_ == state; }
    // No request could be written to it yet.
    [[nodiscard]] bool being_established() const { return state_ < State::idle; }
    // The one place in which the state changes. A closed one stays closed.
    void enter(State next) {
        if (state_ != State::closed) state_ = next;
    }

    // Guards against servers that are blamed, and requests that are given up, for a moment in which this
    // machine has no descriptor, port or memory: it goes to awaiting_retry then. An error says that it can't
    // be reached.
    int try_connect(Time now);
    // The result has the first bytes for the server.
    [[nodiscard]] tls::Step begin_handshake();
    // While idle: nothing has come, neither an end nor bytes that were not requested.
    [[nodiscard]] bool is_quiet() const;
    // For another call, once the response has ended. Guards against a response before its request's last
    // byte: the rest would go out ahead of the next request, and be answered in its place.
    [[nodiscard]] bool can_be_reused() const;
    // Idle for longer than `idle`, or with a response that nobody wants and that does not end in time.
    [[nodiscard]] bool is_unused(Time now, Duration idle, Duration completion_timeout) const;
    // It was reused, and nothing of a response came: it may have been closed while it was idle.
    [[nodiscard]] bool broke_after_idle() const;

    const Target target;
    http::ResponseReader reader;
    PendingCall first;  // what it is established for, until its request is sent
    Exchange exchange;
    Time since{};                                // of the state that time-outs run from
    tls::HandshakeLimiter::Id handshake_id = 0;  // 0: neither queued nor in its handshake
    Time retry_at{};                             // while awaiting_retry
    Backoff retry_backoff{kRetryMin, kRetryMax};
    bool write_failed = false;  // some bytes will never be written
    bool half_closed = false;   // closed for sending: of no use for another call

private:
    // Between tries of a connect for which this machine lacks a resource.
    static constexpr Duration kRetryMin = std::chrono::milliseconds(5);
    static constexpr Duration kRetryMax = std::chrono::milliseconds(80);

    void on_connected(int status) override { owner_.on_connected(*this, status); }
    void on_bytes(std::string_view bytes) override { owner_.on_bytes(*this, bytes); }
    void on_read_error(int error) override { owner_.on_read_error(*this, error); }
    void on_write_completed(int status) override { owner_.on_write_completed(*this, status); }

    Owner& owner_;
    State state_ = State::connecting;
};

}  // namespace chalksail::net
