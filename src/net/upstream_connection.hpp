// One connection of the pool to a server: its state, and the call that it serves. The pool drives the state
// transitions.
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
    // Receives the socket's events.
    struct Owner {
        virtual ~Owner() = default;
        virtual void on_connected(UpstreamConnection& connection, int status) = 0;
        virtual void on_bytes(UpstreamConnection& connection, std::string_view bytes) = 0;
        virtual void on_read_error(UpstreamConnection& connection, int error) = 0;
        virtual void on_write_completed(UpstreamConnection& connection, int status) = 0;
    };

    //   connecting <-> awaiting_retry, connecting -> handshake_queued -> handshaking -> idle <-> busy
    // Without TLS, `connecting` changes directly to `idle` or `busy`. Any state can change to `closed`.
    enum class State {
        connecting,        // The TCP connection is being established
        awaiting_retry,    // This machine lacked a resource; connect() is retried at `retry_at`
        handshake_queued,  // Connected, and waiting for the handshake limiter
        handshaking,
        idle,
        busy,  // Serving the call in `exchange`
        closed,
    };

    // The call that the connection serves, or is being established for.
    struct Exchange {
        std::uint64_t call = 0;  // 0: none
        Duration idle_before{};  // How long the connection was idle before this call; zero if it is new
        bool response_begun = false;
        bool written = false;            // The kernel has accepted the request's last byte
        bool response_unwanted = false;  // The rest of the response is read but not reported
        bool paused = false;             // Reading is paused by the owner
    };

    UpstreamConnection(uv_loop_t& loop, ReadBuffer& read_buffer, Owner& owner, http::Limits limits, Target to)
        : TcpConnection(loop, read_buffer), target(std::move(to)), reader(limits), owner_(owner) {}

    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] bool is_in(State state) const { return state_ == state; }
    // Whether the connection is not yet ready for a request.
    [[nodiscard]] bool being_established() const { return state_ < State::idle; }
    // Changes the state. `closed` is final.
    void enter(State next) {
        if (state_ != State::closed) state_ = next;
    }

    // Starts to connect. Returns an error if the server cannot be reached. If this machine temporarily lacks
    // a descriptor, port or memory, returns 0 and enters awaiting_retry, so that neither the server is blamed
    // nor the request abandoned.
    int try_connect(Time now);
    // Starts the TLS handshake. The result holds the first bytes to send to the server.
    [[nodiscard]] tls::Step begin_handshake();
    // Whether the connection can serve another call once the response has ended. A response may end before
    // its request was fully written; the rest of it would then be sent ahead of the next request and be
    // answered in its place.
    [[nodiscard]] bool can_be_reused() const;
    // Whether the connection was idle for longer than `idle_timeout`, or an unwanted response did not end
    // within `completion_timeout`.
    [[nodiscard]] bool is_unused(Time now, Duration idle_timeout, Duration completion_timeout) const;
    // Whether input that arrives now may belong to an earlier exchange, as the current request is not written
    // completely: a server responds to a request that it has received.
    [[nodiscard]] bool may_receive_surplus() const;
    // Whether the connection was reused and has received no part of a response. If it fails now, it may have
    // been dropped while it was idle.
    [[nodiscard]] bool broke_after_idle() const;

    const Target target;
    http::ResponseReader reader;
    PendingCall initial_call;  // The call that it is established for, until the request is sent
    Exchange exchange;
    Time since{};                                // Start of the period that the time-outs measure
    Time reusable_at{};                          // An idle connection carries no request before this time
    bool has_served = false;                     // A response was received; more bytes may follow it
    tls::HandshakeLimiter::Id handshake_id = 0;  // 0: neither queued for a handshake nor in one
    Time retry_at{};                             // Time of the next connect(), while awaiting_retry
    Backoff retry_backoff{kRetryMin, kRetryMax};
    bool write_failed = false;  // A queued write failed: its bytes are lost
    bool half_closed = false;   // The sending side is closed: no further call can be sent

private:
    // Pauses between connect() calls while this machine lacks a resource.
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
