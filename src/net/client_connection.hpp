// One connection of a client to the HTTP server: its phase, the request in hand, and what waits to be parsed
// or written. The server moves it from phase to phase.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "http/message.hpp"
#include "net/idle_connections.hpp"
#include "net/tcp_connection.hpp"

namespace chalksail::net {

class ClientConnection : public TcpConnection {
public:
    using Id = std::uint64_t;

    // What the socket reports.
    struct Owner {
        virtual ~Owner() = default;
        virtual void on_bytes(ClientConnection& connection, std::string_view bytes) = 0;
        virtual void on_read_error(ClientConnection& connection, int error) = 0;
        virtual void on_write_completed(ClientConnection& connection, int status) = 0;
    };

    //   handshaking -> awaiting_request <-> receiving_request -> responding -> awaiting_request
    // From each of these to `flushing`, from there to `lingering`, and from anywhere to `closed`.
    enum class Phase {
        handshaking,        // TLS; it has a request's time for that
        awaiting_request,   // no byte of the next one has come
        receiving_request,  // a part of it has
        responding,         // `exchange` is the request in hand
        flushing,           // nothing more of it is accepted; it is shut down once all is written
        lingering,          // shut down for sending: what still comes is thrown away until the peer closes
        closed,
    };

    // The request in hand, while responding.
    struct Exchange {
        std::uint64_t peer = 0;  // the server's number for it
        bool keep_alive = true;
        bool head_only = false;
        bool http_1_0 = false;
        bool backlog_reported = false;
    };

    ClientConnection(uv_loop_t& loop, ReadBuffer& read_buffer, Owner& owner, Id id, http::Limits limits)
        : TcpConnection(loop, read_buffer), id(id), reader(limits), owner_(owner) {}

    [[nodiscard]] Phase phase() const { return phase_; }
    [[nodiscard]] bool is_in(Phase phase) const { return phase_ == phase; }
    // A message of the peer's is half here: a request, or a handshake.
    [[nodiscard]] bool receiving() const {
        return phase_ == Phase::handshaking || phase_ == Phase::receiving_request;
    }
    // The next request may come, or is coming.
    [[nodiscard]] bool accepts_request() const {
        return phase_ == Phase::awaiting_request || phase_ == Phase::receiving_request;
    }
    // It is on its way out: nothing more of it is accepted.
    [[nodiscard]] bool ends() const {
        return phase_ == Phase::flushing || phase_ == Phase::lingering || phase_ == Phase::closed;
    }
    // The one place in which the phase changes. A connection that ends never goes back: a later change to an
    // earlier phase, and any after `closed`, is ignored.
    void enter(Phase next) {
        if (ends() && next <= phase_) return;
        phase_ = next;
    }

    const Id id;
    http::RequestReader reader;
    Exchange exchange;
    std::string tls_output;      // of the filter's own: handshake, alerts
    std::string unparsed;        // received bytes behind the request in hand
    std::string output;          // gathered, not yet handed to the socket
    Time since{};                // of the message that is being received, or of the wait for one
    Time last_byte_at{};         // of what was received
    std::size_t discarded = 0;   // bytes sent ahead that were thrown away: what came after them is rejected
    std::size_t unfinished = 0;  // bytes of the request that is coming, as counted by the server
    // As which it is idle: silent until its first whole request.
    IdleConnections::Kind idle_kind = IdleConnections::Kind::silent;
    bool ends_when_idle = false;   // this side ends it; what was read before that is answered
    bool flush_scheduled = false;  // the server's flush() writes its output

private:
    void on_bytes(std::string_view bytes) override { owner_.on_bytes(*this, bytes); }
    void on_read_error(int error) override { owner_.on_read_error(*this, error); }
    void on_write_completed(int status) override { owner_.on_write_completed(*this, status); }

    Owner& owner_;
    Phase phase_ = Phase::awaiting_request;
};

}  // namespace chalksail::net
