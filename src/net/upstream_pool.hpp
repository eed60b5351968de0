// HTTP/1.1 calls to servers over reusable connections, on a libuv loop. One call at a time on a connection;
// calls wait while a server has its most connections, and connections while the handshake limiter says so;
// both waits count in the dial time-out. Where a call goes, and whether it is repeated, is decided by the
// owner; nothing is sent twice here. A call on a reused connection that the server has closed meanwhile ends
// as "closed" like any other break: it may have run.
//
// Whether a request's last byte is out is read from the socket's write queue, never from libuv's write
// callbacks: these may run a turn after the bytes were handed to the kernel, or not at all once the handle is
// closed. report_written() brings the owner up to date and is to be called before anything is decided about a
// call.
//
// Owns its sockets; one loop, one thread. The handler's calls may come from within start() and cancel() too:
// it only records them, and acts later. Errors: a call that fails is reported to the handler, with its
// reason.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/units.hpp"
#include "engine/outcome.hpp"
#include "http/message.hpp"
#include "net/call_queue.hpp"
#include "net/handshake_queue.hpp"
#include "net/idle_limit.hpp"
#include "net/loop_clock.hpp"
#include "net/loop_handles.hpp"
#include "net/server_connections.hpp"
#include "net/tls/handshake_limiter.hpp"
#include "net/upstream_connection.hpp"
#include "net/upstream_target.hpp"

namespace chalksail::net {

struct PoolLimits {
    http::Limits message;
    std::size_t connections_per_server = 1024;
    std::size_t connections = 0;  // to all servers together; 0: no limit of its own
    std::size_t queue = 4096;     // calls waiting for one server
    Duration dial_timeout = std::chrono::milliseconds(250);
    Duration idle = std::chrono::seconds(30);
    // One that has been idle for so long is taken first: a close right behind its response would have come.
    Duration preferred_idle{};
    tls::HandshakeLimiter::Limits handshakes;
    // For the end of a response of which all that matters has come.
    Duration completion_timeout = std::chrono::seconds(2);
};

class UpstreamPool : UpstreamConnection::Owner {
public:
    using Call = std::uint64_t;
    struct Handler {
        virtual ~Handler() = default;
        // Its connection is ready, nothing of it has been handed over. False: it is withheld, and fails as
        // ExchangeEnd::expired; its connection serves others. May change headers that depend on the time.
        virtual bool on_ready(Call, http::Headers&) { return true; }
        virtual void on_sent(Call) {}     // its first byte was handed to a connection
        virtual void on_written(Call) {}  // its last one was
        virtual void on_head(Call call, int status, http::Headers headers) = 0;
        virtual void on_body(Call call, std::string bytes) = 0;
        virtual void on_done(Call call) = 0;
        virtual void on_failed(Call call, engine::ExchangeEnd ending, std::string detail) = 0;
    };

    UpstreamPool(uv_loop_t& loop, Handler& handler, PoolLimits limits);
    ~UpstreamPool() override;
    UpstreamPool(const UpstreamPool&) = delete;
    UpstreamPool& operator=(const UpstreamPool&) = delete;

    struct CallOptions {
        double priority = 0;  // among the calls that wait for a handshake, the highest goes first
        bool beyond_limit =
            false;  // it gets a connection even where all may have no more: for few, short calls
    };
    // Sends the request; Host and Content-Length are added.
    void start(Call call, const Target& to, UpstreamRequest request, CallOptions options);
    void start(Call call, const Target& to, UpstreamRequest request) {
        start(call, to, std::move(request), CallOptions{});
    }
    // Only makes a connection, verified where the target says so, and keeps it for later calls: done, or
    // failed.
    void connect(Call call, const Target& to);
    // Closes its connection, or takes it out of the queue. Nothing more is reported of it.
    void cancel(Call call);
    // Closes its connection for sending. The response is still read; the connection serves no other call.
    void half_close(Call call);
    // Nothing more of its response is wanted: its connection is reused once the response has ended.
    void complete(Call call);
    // Stops reading its response, or goes on.
    void set_paused(Call call, bool paused);
    // Calls on_written() for each call whose last byte the kernel has taken since the last report.
    void report_written();
    void close_all();

    struct Counts {
        std::uint64_t handshakes = 0;
        std::uint64_t handshakes_resumed = 0;
        std::uint64_t handshakes_failed = 0;
        std::size_t handshakes_under_way = 0;
        std::size_t handshakes_waiting = 0;
        std::size_t handshakes_waiting_most = 0;  // since the start
        std::uint64_t dialled = 0;
        std::uint64_t dial_failed = 0;
        std::uint64_t dials_retried = 0;  // this machine was short of a resource for the moment
        std::uint64_t reused = 0;
        std::uint64_t stale = 0;  // idle ones that had been closed, or had sent something
        std::size_t connections = 0;
        std::size_t waiting = 0;
    };
    [[nodiscard]] Counts counts() const;

private:
    using Connection = UpstreamConnection;
    using State = UpstreamConnection::State;
    using Key = UpstreamKey;

    // UpstreamConnection::Owner
    void on_connected(Connection& connection, int status) override;
    void on_bytes(Connection& connection, std::string_view bytes) override;
    void on_read_error(Connection& connection, int error) override;
    void on_write_completed(Connection& connection, int status) override;

    [[nodiscard]] Connection* find(Call call) const;
    // One that is still good, or nullptr.
    Connection* take_idle(const Key& key);
    // May another be made? At the limit for all, the one unused longest is closed.
    bool make_room();
    void dial(const Target& target, ServerConnections& server, PendingCall first);
    void try_connect(Connection& connection);
    void start_queued_handshakes();
    void begin_handshake(Connection& connection);
    void on_ready(Connection& connection);
    void make_idle(Connection& connection);
    void send(Connection& connection, Call call, UpstreamRequest request);
    // Reports it if the kernel has taken all of the connection's request.
    void report_if_written(Connection& connection);
    void on_plaintext(Connection& connection, std::string_view bytes);
    void on_tls_fault(Connection& connection, const tls::Fault& fault);
    void on_stream_ended(Connection& connection);
    void on_response_parts(Connection& connection, std::vector<http::ResponsePart> parts);
    void on_response_end(Connection& connection, bool keep_alive);
    void on_failure(Connection& connection, engine::ExchangeEnd ending, const std::string& detail);
    void close(Connection& connection);
    // Forgets its call, without a report.
    void abandon_call(Connection& connection);
    // Gives what waits for this server to a connection, if one is idle or may be made.
    void dispatch_next(const Key& key);
    void reuse_for_queued_handshakes(const Key& key);

    void sweep();
    void close_unused(Time now);
    void retry_connects(Time now);
    void fail_overdue_connect(Connection& connection);
    void fail_overdue_calls(Time now);

    uv_loop_t& loop_;
    Handler& handler_;
    PoolLimits limits_;
    Timer sweep_timer_;
    ReadBuffer read_buffer_;
    std::map<Key, ServerConnections> servers_;
    CallQueue queue_;
    std::map<Connection*, OwnedConnection<Connection>> connections_;
    std::unordered_map<Call, Connection*> by_call_;  // those with a call, also while being established
    std::set<Connection*> being_established_;
    std::set<Connection*> writing_;  // of the busy ones: the last byte is not known to be out
    IdleLimit idle_limit_;
    HandshakeQueue handshakes_;
    std::uint64_t sweeps_ = 0;
    Counts counts_;
};

}  // namespace chalksail::net
