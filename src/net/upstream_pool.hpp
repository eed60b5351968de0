// A pool of reusable HTTP/1.1 connections to servers, on a libuv loop. A connection serves one call at a
// time, and stays idle between two calls (ReuseDelay), so that a response is never taken for that of a later
// call. Calls queue while a server has its maximum of connections, and new connections queue for the
// handshake limiter; both waits count towards the dial time-out. The owner chooses the server of a call and
// decides about retries; the pool never sends a call twice. If the server has closed a reused connection in
// the meantime, the call fails like on any other broken connection, as it may have run.
//
// Whether the kernel has accepted a request's last byte is read from the socket's write queue, not from
// libuv's write callbacks: these may run one loop iteration after the write, or not at all once the handle is
// closed. The owner must call report_written() before it makes a decision about a call.
//
// Owns its sockets; one loop, one thread. The handler may also be called from within start() and cancel(), so
// it must only record the event and act on it later. Errors: a failed call is reported to the handler with
// its reason.
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
#include "net/reuse_delay.hpp"
#include "net/server_connections.hpp"
#include "net/tls/handshake_limiter.hpp"
#include "net/upstream_connection.hpp"
#include "net/upstream_target.hpp"

namespace chalksail::net {

struct PoolLimits {
    http::Limits message;
    std::size_t connections_per_server = 1024;
    std::size_t read_bytes = 64 * 1024;   // Read at most of a connection in one turn of the loop
    std::size_t connections = 0;          // Maximum for all servers together; 0: no limit
    std::size_t max_queued_calls = 4096;  // For each server
    Duration dial_timeout = std::chrono::milliseconds(250);
    Duration idle_timeout = std::chrono::seconds(30);
    ReuseDelay::Limits reuse_delay;
    tls::HandshakeLimiter::Limits handshakes;
    // Maximum time after complete() for the response to end.
    Duration completion_timeout = std::chrono::seconds(2);
};

class UpstreamPool : UpstreamConnection::Owner {
public:
    using Call = std::uint64_t;
    struct Handler {
        virtual ~Handler() = default;
        // The call's connection is ready and nothing of the request was written. The handler may update
        // time-dependent headers. If it returns false, the request is not sent, the call fails with
        // ExchangeEnd::expired, and the connection is available to other calls.
        virtual bool on_ready(Call, http::Headers&) { return true; }
        virtual void on_sent(Call) {}     // The request is about to be written
        virtual void on_written(Call) {}  // The kernel has accepted the request's last byte
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
        double priority = 0;  // Among the calls that wait for a handshake, the highest is served first
        // May exceed PoolLimits::connections; meant for a few short calls.
        bool beyond_limit = false;
    };
    // Sends the request, adding Host and Content-Length.
    void start(Call call, const Target& to, UpstreamRequest request, CallOptions options);
    void start(Call call, const Target& to, UpstreamRequest request) {
        start(call, to, std::move(request), CallOptions{});
    }
    // Establishes a connection without sending a request, and keeps it for later calls. With TLS the server
    // is verified. Reports on_done() or on_failed().
    void connect(Call call, const Target& to);
    // Closes the call's connection, or removes the call from the queue. Nothing further is reported for it.
    void cancel(Call call);
    // Closes the sending side of the call's connection. The response is still read; the connection is not
    // reused.
    void half_close(Call call);
    // Ignores the rest of the call's response. Its connection is reused once the response has ended.
    void complete(Call call);
    // Pauses or resumes reading the call's response.
    void set_paused(Call call, bool paused);
    // Calls on_written() for each call whose last byte the kernel has accepted since the last report.
    void report_written();
    void close_all();

    struct Counts {
        std::uint64_t handshakes = 0;
        std::uint64_t handshakes_resumed = 0;
        std::uint64_t handshakes_failed = 0;
        std::size_t handshakes_under_way = 0;
        std::size_t handshakes_waiting = 0;
        std::size_t handshakes_waiting_most = 0;  // Maximum of handshakes_waiting since the start
        std::uint64_t dialled = 0;
        std::uint64_t dial_failed = 0;
        std::uint64_t dials_retried = 0;  // Retried because this machine temporarily lacked a resource
        std::uint64_t reused = 0;
        std::uint64_t stale = 0;        // Idle connections that were found unusable and closed
        std::uint64_t unrequested = 0;  // Connections closed as the server sent bytes that belong to no call
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
    // Removes a reusable connection from the server's idle ones and returns it; nullptr if there is none.
    Connection* take_reusable(const Key& key);
    // Returns whether a new connection may be made. At the total limit, closes the one that has been idle
    // longest, and forgets its server if that was its last connection.
    bool make_room();
    // Returns the number of connections to the server, in any state.
    [[nodiscard]] std::size_t connection_count(const Key& key) const;
    void dial(const Target& target, PendingCall initial_call);
    void try_connect(Connection& connection);
    void start_queued_handshakes();
    void begin_handshake(Connection& connection);
    void on_established(Connection& connection);
    void make_idle(Connection& connection);
    void send(Connection& connection, Call call, UpstreamRequest request);
    // Calls on_written() if the kernel has accepted the connection's whole request.
    void report_if_written(Connection& connection);
    void on_plaintext(Connection& connection, std::string_view bytes);
    // Closes the idle connection on which bytes have arrived.
    void on_unrequested_bytes(Connection& connection);
    void record_unrequested_bytes(const Connection& connection);
    void on_tls_fault(Connection& connection, const tls::Fault& fault);
    void on_stream_ended(Connection& connection);
    void on_response_parts(Connection& connection, std::vector<http::ResponsePart> parts);
    void on_response_end(Connection& connection, const http::ResponseEnd& end);
    void on_failure(Connection& connection, engine::ExchangeEnd ending, const std::string& detail);
    void close(Connection& connection);
    // Separates the connection from its call without a report.
    void detach_call(Connection& connection);
    // Assigns a waiting call to a reusable connection of this server, or to a new one if the limits allow it.
    void dispatch_next(const Key& key);
    // Assigns waiting calls to connections that have become reusable.
    void dispatch_to_reusable(Time now);
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
    std::unordered_map<Call, Connection*> by_call_;  // Includes connections that are being established
    std::set<Connection*> being_established_;
    std::set<Connection*> writing_;  // Busy connections whose request is not known to be fully written
    IdleLimit idle_limit_;
    ReuseDelay reuse_delay_;
    HandshakeQueue handshakes_;
    std::uint64_t sweeps_ = 0;
    Counts counts_;
};

}  // namespace chalksail::net
