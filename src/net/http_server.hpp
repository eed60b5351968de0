// HTTP/1.1 on listening sockets, on a libuv loop: requests come out whole, one at a time for each connection;
// responses go in whole or as chunks. What to respond is decided by the owner.
//
// Owns its sockets; one loop, one thread. The handler's calls come from the loop only, or from within flush()
// and the calls that end connections. Limits are the settings'; a peer that exceeds one gets an error
// response (408, 413, 431, 503) or is closed. A half-close of a client counts as a disconnect. Errors:
// listen() throws std::runtime_error; any other is its peer's, and ends that connection.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/units.hpp"
#include "http/message.hpp"
#include "net/client_connection.hpp"
#include "net/connection_end.hpp"
#include "net/idle_connections.hpp"
#include "net/listener.hpp"
#include "net/loop_clock.hpp"
#include "net/loop_handles.hpp"
#include "net/tls/filter.hpp"

namespace chalksail::net {

struct ServerLimits {
    http::Limits message;
    IdleConnectionLimits idle_connections;
    std::size_t stream_buffer_bytes = 64 * 1024;           // bytes queued for a client before on_backlog()
    std::size_t pipelined_bytes = 16 * 1024 * 1024;        // sent ahead of a response, and retained
    std::size_t discarded_bytes = 4 * 1024 * 1024;         // thrown away before the connection is closed
    std::size_t unfinished_bytes = std::size_t{1} << 30U;  // of all requests that are still coming
    Duration head_timeout = std::chrono::seconds(10);  // from a request's first byte to the end of its head
    Duration body_timeout = std::chrono::seconds(30);
    Duration request_idle_timeout{};  // without a byte of a request that has begun; zero: no limit of its own
    Duration stall_timeout = std::chrono::seconds(30);  // without progress of what is written
};

class HttpServer : Listener::Handler, ClientConnection::Owner {
public:
    // A connection with the request in hand; the number is never used again.
    using Peer = std::uint64_t;
    struct Handler {
        virtual ~Handler() = default;
        virtual void on_request(Peer peer, http::Request request) = 0;
        // The peer disconnected, or was closed, while its request was in hand.
        virtual void on_closed(Peer peer, const ConnectionEnd& end) = 0;
        // More than ServerLimits::stream_buffer_bytes is queued for it; false: less than half of that again.
        virtual void on_backlog(Peer, bool) {}
        // A connection with no request in hand ended otherwise than by its peer.
        virtual void on_idle_closed(const ConnectionEnd&) {}
        // accept() failed with this errno; it is tried again.
        virtual void on_accept_failed(int) {}
    };

    HttpServer(uv_loop_t& loop, Handler& handler, ServerLimits limits);
    ~HttpServer() override;
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // For connections accepted from now on, at addresses with TLS.
    void set_tls(std::shared_ptr<tls::Context> context) { tls_ = std::move(context); }
    enum class Transport { plaintext, tls };
    // Returns the address in use: port 0 asks for a free one. May be called for more than one address. With
    // TLS connections are closed unread before set_tls().
    Address listen(const Address& address, Transport transport = Transport::plaintext);
    // Accepts the pending connections, and listens no longer.
    void stop_listening();
    [[nodiscard]] bool listening() const { return !listeners_.empty(); }
    // From now on each connection is shut down once it has no request in hand and nothing of one is unread.
    void drain();
    // Shuts down each connection, with or without a response: the end of the drain time.
    void end_all();
    // Closes all at once.
    void close_all();

    // Calls about a peer that has disconnected are ignored.
    void reply(Peer peer, int status, http::Headers headers, std::string_view body);
    void begin_stream(Peer peer, http::Headers headers, int status = 200);
    void stream(Peer peer, std::string_view bytes);
    void end_stream(Peer peer);
    // Ends its connection behind what was sent so far, without the stream's end.
    void abort_stream(Peer peer);
    // Closes without a response. `reset`: with a TCP reset.
    void abort(Peer peer, bool reset = false);
    // Sends what the calls above have gathered; to be called once after them.
    void flush();

    struct Counts {
        std::uint64_t accepted = 0;
        std::uint64_t over_limit = 0;
        std::uint64_t evicted = 0;
        std::uint64_t bad_requests = 0;
        std::uint64_t timed_out = 0;
        std::uint64_t stalled = 0;
        std::uint64_t handshakes = 0;
        std::uint64_t handshakes_resumed = 0;
        std::uint64_t handshakes_failed = 0;
        std::size_t connections = 0;
        std::size_t in_hand = 0;
    };
    [[nodiscard]] Counts counts() const;

private:
    using Connection = ClientConnection;
    using Phase = ClientConnection::Phase;
    struct ListenerEntry {
        std::unique_ptr<Listener> listener;
        Transport transport = Transport::plaintext;
    };

    // Listener::Handler
    void on_accepted(Listener& listener, int descriptor) override;
    void on_accept_error(int error) override;
    void on_listener_closed(Listener& listener) override { listeners_.erase(&listener); }
    // ClientConnection::Owner
    void on_bytes(Connection& connection, std::string_view bytes) override;
    void on_read_error(Connection& connection, int error) override;
    void on_write_completed(Connection& connection, int status) override;

    // At the limit of connections one is closed for this new one, or this one.
    void make_room_for(Connection& connection);
    void make_idle(Connection& connection);
    [[nodiscard]] static bool may_have_unread(const Connection& connection);
    [[nodiscard]] bool may_have_unread(Connection::Id id) const;
    void on_plaintext(Connection& connection, std::string_view bytes);
    void parse_requests(Connection& connection);
    void on_partial_request(Connection& connection, bool send_continue);
    void on_whole_request(Connection& connection, http::Request request);
    void close_if_disconnected(Connection& connection);
    void count_unfinished(Connection& connection, std::size_t bytes);
    void reject(Connection& connection, const http::Fault& fault);
    void append_output(Connection& connection, std::string_view bytes);
    void schedule_flush(Connection& connection);
    // Writes its output, and goes on with what that has made possible.
    void flush(Connection& connection);
    // False: it failed, and the connection is closed.
    bool write_output(Connection& connection);
    void report_backlog(Connection& connection);
    void read_next_request(Connection& connection);
    void finish_response(Connection& connection);
    void end_when_idle(Connection& connection);
    void shut_down(Connection& connection);
    void close(Connection& connection, ConnectionEnd end);
    // Takes it out of all tables. It is closed when the result goes.
    [[nodiscard]] OwnedConnection<Connection> remove(Connection& connection);

    void sweep();
    [[nodiscard]] bool is_overdue(const Connection& connection, Time now) const;
    void close_overdue_idle(Time now);
    void time_out_request(Connection& connection);
    Connection* find(Peer peer);
    [[nodiscard]] std::vector<Connection*> all() const;

    uv_loop_t& loop_;
    Handler& handler_;
    ServerLimits limits_;
    std::shared_ptr<tls::Context> tls_;
    std::map<const Listener*, ListenerEntry> listeners_;
    Timer sweep_timer_;
    ReadBuffer read_buffer_;
    std::unordered_map<Connection::Id, OwnedConnection<Connection>> connections_;
    std::unordered_map<Peer, Connection*> in_hand_;
    std::vector<Connection::Id> flush_due_;
    std::size_t unfinished_ = 0;  // bytes of requests that are still coming
    IdleConnections idle_connections_;
    Connection::Id last_connection_ = 0;
    Peer last_peer_ = 0;
    bool draining_ = false;
    Counts counts_;
};

}  // namespace chalksail::net
