// HTTP/1.1 on a listening socket, on a libuv loop: requests come out whole, one at a time for each
// connection; answers go in whole or as chunks. Thin: what to answer is the owner's.
//
// Owns its sockets; one loop, one thread. The handler's calls never re-enter it: they come from the loop
// only. Limits are the settings'; a peer over one is answered (408, 413, 431) or closed. A half-close of a
// client counts as hanging up. Errors: listen() throws std::runtime_error; all else is the peer's trouble and
// ends its connection.
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
#include "net/idle_connections.hpp"
#include "net/listener.hpp"
#include "net/loop_clock.hpp"
#include "net/tls/filter.hpp"

namespace chalksail::net {

struct ServerLimits {
    http::Limits message;
    IdleConnectionLimits idle_connections;
    std::size_t stream_buffer = 64 * 1024;
    std::size_t pipelined_bytes = 16 * 1024 * 1024;  // sent ahead of an answer, and kept
    std::size_t discarded_bytes =
        4 * 1024 * 1024;  // more than that, thrown away before the connection is closed
    std::size_t unfinished_bytes = std::size_t{1} << 30U;  // of all requests that are still coming
    Duration head_timeout = std::chrono::seconds(10);  // from a request's first byte to the end of its head
    Duration body_timeout = std::chrono::seconds(30);
    Duration request_idle{};  // without a byte of a request that has begun; zero: no limit of its own
    Duration stall_timeout = std::chrono::seconds(30);
};

// Why a connection of a client ended.
struct ConnectionEnd {
    enum class Reason {
        peer_ended,    // the peer closed it, or its sending side
        read_failed,   // with `error`
        write_failed,  // with `error`
        tls,           // the peer broke the protocol, or closed it
        not_reading,   // it took nothing of what waits for it for the stall time-out
        sent_ahead,    // it sent too much ahead of its answers
        evicted,       // one connection too many, and it was idle
        over_limit,    // one connection too many, and none was idle
        overdue,       // idle, or ended by this side, for longer than its limit
        drained,       // the end of the drain time
        aborted,       // by the owner
        stopped,       // this listener is being destroyed
    };
    Reason reason = Reason::peer_ended;
    int error = 0;  // libuv's, where the system said one
};
// "read_failed (ETIMEDOUT)"
[[nodiscard]] std::string describe(const ConnectionEnd& end);

class HttpServer : Listener::Handler {
public:
    // A connection with the request in hand; the number never comes back.
    using Peer = std::uint64_t;
    struct Handler {
        virtual ~Handler() = default;
        virtual void on_request(Peer peer, http::Request request) = 0;
        // The peer went away, or was given up, while its request was in hand.
        virtual void on_closed(Peer peer, const ConnectionEnd& end) = 0;
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

    // What connections accepted from now on speak at listeners that want TLS.
    void set_tls(std::shared_ptr<tls::Context> context) { tls_ = std::move(context); }
    enum class ProtocolKind { clear, tls };
    // Returns the address in use: port 0 asks for a free one. May be called for more than one address. At one
    // that speaks TLS nothing is accepted before set_tls().
    Address listen(const Address& address, ProtocolKind protocol = ProtocolKind::clear);
    // Takes what has reached this machine, and listens no longer.
    void stop_listening();
    [[nodiscard]] bool listening() const { return !listeners_.empty(); }
    // From now on each connection is shut down once it has no request in hand and nothing of one is unread.
    void drain();
    // Shuts down each connection, with or without an answer: the end of the drain time.
    void end_all();
    // Closes all at once.
    void close_all();

    // Calls about a peer that has gone are ignored.
    void reply(Peer peer, int status, http::Headers headers, std::string_view body);
    void begin_stream(Peer peer, http::Headers headers, int status = 200);
    void stream(Peer peer, std::string_view bytes);
    void end_stream(Peer peer);
    // Ends its connection after what has been said so far, without the stream's end.
    void cut(Peer peer);
    // Closes without an answer. `reset`: with a TCP reset.
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
    struct Connection;
    void on_accepted(Listener& listener, int descriptor) override;
    void on_accept_error(int error) override;
    void on_listener_closed(Listener& listener) override { listeners_.erase(&listener); }
    void rest(Connection& c);
    // What a look at its socket finds that was not read yet. `unknown`: the look failed; something may be
    // there.
    enum class Unread { nothing, bytes, end, unknown };
    [[nodiscard]] static Unread look(const Connection& c);
    [[nodiscard]] static bool may_have_unread(const Connection& c);
    [[nodiscard]] bool unread(std::uint64_t id) const;
    void end_when_idle(Connection& c);
    void shut_down(Connection& c);
    void give_up_if_gone(Connection& c);
    void count_unfinished(Connection& c, std::size_t bytes);
    static void start_reading(Connection& connection);
    void feed(Connection& c);
    void took(Connection& c, std::string_view bytes);
    void plain(Connection& c, std::string_view bytes);
    void refuse(Connection& c, const http::Fault& fault);
    void put(Connection& c, std::string_view bytes);
    void write_out(Connection& c);
    void finish_answer(Connection& c);
    void close(Connection& c, ConnectionEnd end);
    void sweep();
    Connection* find(Peer peer);
    [[nodiscard]] std::vector<Connection*> all() const;

    uv_loop_t& loop_;
    Handler& handler_;
    ServerLimits limits_;
    std::shared_ptr<tls::Context> tls_;
    struct ListenerEntry {
        std::unique_ptr<Listener> listener;
        ProtocolKind protocol = ProtocolKind::clear;
    };
    std::map<const Listener*, ListenerEntry> listeners_;
    Timer sweep_timer_;
    std::vector<char> read_buffer_;
    std::unordered_map<std::uint64_t, Connection*> connections_;
    std::unordered_map<Peer, Connection*> in_hand_;
    std::vector<std::uint64_t> dirty_;
    std::size_t unfinished_ = 0;  // bytes of requests that are still coming
    IdleConnections idle_connections_;
    std::uint64_t last_connection_ = 0;
    Peer last_peer_ = 0;
    bool draining_ = false;
    Counts counts_;
};

}  // namespace chalksail::net
