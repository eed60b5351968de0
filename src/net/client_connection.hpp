// One client connection of the HTTP server: its phase, its current request, and its buffered input and
// output. The server drives the phase transitions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.hpp"
#include "net/idle_connections.hpp"
#include "net/receive_buffer.hpp"
#include "net/tcp_connection.hpp"

namespace chalksail::net {

class ClientConnection : public TcpConnection {
public:
    using Id = std::uint64_t;

    // Receives the socket's events.
    struct Owner {
        virtual ~Owner() = default;
        virtual void on_bytes(ClientConnection& connection, std::string_view bytes) = 0;
        virtual void on_read_error(ClientConnection& connection, int error) = 0;
        virtual void on_write_completed(ClientConnection& connection, int status) = 0;
    };

    //   handshaking -> awaiting_request <-> receiving_request -> responding -> awaiting_request
    // Each of these can change to `flushing`, `flushing` to `lingering`, and any phase to `closed`.
    enum class Phase {
        handshaking,        // TLS handshake; the time-outs of a request apply
        awaiting_request,   // No byte of the next request was received
        receiving_request,  // Part of a request was received
        responding,         // A response to the request in `exchange` is pending
        flushing,           // No further requests are accepted; shuts down once all output is written
        lingering,          // Sending side closed; input is discarded until the peer closes
        closed,
    };

    // The current request, valid while responding.
    struct Exchange {
        std::uint64_t peer = 0;  // HttpServer::Peer
        bool keep_alive = true;
        bool head_only = false;
        bool http_1_0 = false;
        bool backlog_reported = false;
    };

    ClientConnection(uv_loop_t& loop, ReadBuffer& read_buffer, Owner& owner, Id id, http::Limits limits)
        : TcpConnection(loop, read_buffer), id(id), reader(limits), owner_(owner) {}

    [[nodiscard]] Phase phase() const { return phase_; }
    [[nodiscard]] bool is_in(Phase phase) const { return phase_ == phase; }
    // Whether a request or a TLS handshake was received in part.
    [[nodiscard]] bool receiving() const {
        return phase_ == Phase::handshaking || phase_ == Phase::receiving_request;
    }
    // Whether input is parsed as the next request.
    [[nodiscard]] bool accepts_request() const {
        return phase_ == Phase::awaiting_request || phase_ == Phase::receiving_request;
    }
    // Whether the connection is ending and accepts no further requests.
    [[nodiscard]] bool is_ending() const {
        return phase_ == Phase::flushing || phase_ == Phase::lingering || phase_ == Phase::closed;
    }
    // Changes the phase. Once the connection is ending, changes to the same or an earlier phase are ignored.
    void enter(Phase next) {
        if (is_ending() && next <= phase_) return;
        phase_ = next;
    }

    // Returns the number of output bytes that the kernel has not accepted yet.
    [[nodiscard]] std::size_t queued_output_bytes() const { return output.size() + write_queue_size(); }

    // Parses `unparsed`, which must not be empty, up to the end of the next request, or all of it if no
    // request is complete.
    [[nodiscard]] http::RequestReader::Progress parse_next();

    const Id id;
    http::RequestReader reader;
    Exchange exchange;
    std::string tls_output;     // Encrypted bytes of the TLS filter itself: handshake and alerts
    ReceiveBuffer unparsed;     // Received bytes that were not parsed yet
    std::string output;         // Plaintext output that was not passed to the socket yet
    Time since{};               // Start of the message being received, or of the wait for one
    Time last_byte_at{};        // When the last byte was received
    Time parsed_received_at{};  // When the last byte that was parsed had been received
    // Pipelined bytes that were discarded. If there are any, the connection gets an error response and ends
    // after the responses to the requests before them.
    std::size_t discarded_bytes = 0;
    // This connection's shares of the totals of HttpServer.
    std::size_t incomplete_bytes = 0;
    std::size_t pipelined_bytes = 0;
    // How it is listed while idle: `silent` until its first complete request.
    IdleConnections::Kind idle_kind = IdleConnections::Kind::silent;
    bool ends_when_idle = false;   // Shut down after the responses to all requests received so far
    bool flush_scheduled = false;  // HttpServer::flush() will write the output
    bool input_deferred = false;   // its input will be processed in the next turn of the loop
    // A complete request that is not delivered yet, as more input of the client is to be read first.
    std::optional<http::Request> held_request;
    Time held_since{};
    int held_turns = 0;  // for which more input was to be read

private:
    void on_bytes(std::string_view bytes) override { owner_.on_bytes(*this, bytes); }
    void on_read_error(int error) override { owner_.on_read_error(*this, error); }
    void on_write_completed(int status) override { owner_.on_write_completed(*this, status); }

    Owner& owner_;
    Phase phase_ = Phase::awaiting_request;
};

}  // namespace chalksail::net
