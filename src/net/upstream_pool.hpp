// HTTP/1.1 calls to servers over kept connections, on a libuv loop. One call at a time on a connection; calls
// wait while a server has its most connections, and connections while the handshake gate says so; both waits
// count in the dial time-out. Thin: where, what
// and whether again is the owner's; nothing is sent twice here. A call on a kept connection that the server
// has closed meanwhile ends as "closed" like any other break: it may have run.
//
// Whether a request's last byte is out is asked of the socket's write queue, never of libuv's write
// callbacks: these may run a turn after the bytes were handed to the kernel, or not at all once the handle is
// closed. report_written() brings the owner up to date and is to be called before anything is decided about a
// call.
//
// Owns its sockets; one loop, one thread. The handler's calls may come from within start() and cancel() too:
// it only takes note, and acts later.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <deque>
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
#include "net/idle_limit.hpp"
#include "net/loop_clock.hpp"
#include "net/loop_handles.hpp"
#include "net/tls/filter.hpp"
#include "net/tls/handshake_limiter.hpp"

namespace chalksail::net {

struct PoolLimits {
    http::Limits message;
    std::size_t per_server = 1024;
    std::size_t connections = 0;  // to all servers together; 0: no limit of its own
    std::size_t queue = 4096;     // calls waiting for one server
    Duration dial_timeout = std::chrono::milliseconds(250);
    Duration idle = std::chrono::seconds(30);
    Duration rest{};  // one that has rested so long is taken first: a close right behind its answer would
                      // have come
    tls::HandshakeLimiter::Limits handshakes;
    Duration settle = std::chrono::seconds(2);  // for the end of an answer of which all that matters is here
};

// Where a call goes: an address, and how the server there is verified. Without a context the bytes go in the
// clear; with one they never do, whatever fails.
struct Target {
    Target(Address to) : address(std::move(to)) {}  // NOLINT: an address alone is a target
    Address address;
    std::shared_ptr<tls::Context> tls;
    std::string tls_name;                   // that the server must prove
    tls::SessionCache* sessions = nullptr;  // outlives the pool
    [[nodiscard]] std::pair<Address, std::string> key() const {
        return {address, tls ? tls_name : std::string()};
    }
};

class UpstreamPool {
public:
    using Call = std::uint64_t;
    struct Handler {
        virtual ~Handler() = default;
        // Its connection is ready, nothing of it has been handed over. False: it is kept back, and fails as
        // Ending::expired; its connection serves others. May change headers that depend on the time.
        virtual bool on_ready(Call, http::Headers&) { return true; }
        virtual void on_sent(Call) {}     // its first byte was handed to a connection
        virtual void on_written(Call) {}  // its last one was
        virtual void on_head(Call call, int status, http::Headers headers) = 0;
        virtual void on_body(Call call, std::string bytes) = 0;
        virtual void on_done(Call call) = 0;
        virtual void on_failed(Call call, engine::Ending ending, std::string detail) = 0;
    };

    UpstreamPool(uv_loop_t& loop, Handler& handler, PoolLimits limits);
    ~UpstreamPool();
    UpstreamPool(const UpstreamPool&) = delete;
    UpstreamPool& operator=(const UpstreamPool&) = delete;

    // Sends the request; Host, Content-Length and Connection are added. `worth` orders what waits for a
    // handshake. `beyond_limit`: it is made a connection even where all may have no more: few, and short.
    void start(Call call, const Target& to, std::string_view method, std::string_view target,
               http::Headers headers, std::string_view body, double worth = 0, bool beyond_limit = false);
    // Only makes a connection, verified where the target says so, and keeps it for later calls: done, or
    // failed.
    void connect(Call call, const Target& to);
    // Closes its connection, or takes it out of the queue. Nothing more is heard of it.
    void cancel(Call call);
    // Closes its connection for sending. What the server still says is heard; the connection serves no other
    // call.
    void end_sending(Call call);
    // Nothing more of its answer is wanted: its connection is kept once the answer has ended.
    void settle(Call call);
    void flow(Call call, bool paused);
    // Calls on_written() for each call whose last byte the kernel has taken since it was last told.
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
        std::uint64_t dials_retried = 0;  // this machine was short of something for the moment
        std::uint64_t reused = 0;
        std::uint64_t stale = 0;  // kept ones that had been closed, or had said something
        std::size_t connections = 0;
        std::size_t waiting = 0;
    };
    [[nodiscard]] Counts counts() const;

private:
    struct Connection;
    struct WriteJob;
    // A request as it will be written: formatted when its connection is ready.
    struct Message {
        std::string method;
        std::string target;
        http::Headers headers;
        std::string body;
    };
    struct Waiting {
        Call call = 0;
        Time since{};
        std::optional<Message> message;  // nothing: only the connection is wanted
        std::shared_ptr<Target> target;
        double worth = 0;
    };
    struct Host {
        std::size_t connections = 0;
        std::vector<Connection*> idle;
        std::deque<Waiting> waiting;
    };

    using Key = std::pair<Address, std::string>;  // address, and the name proved there
    // One that is still good, or nullptr.
    Connection* take_idle(const Key& key);
    // May another be made? At the limit for all, the one unused longest goes.
    bool may_dial();
    void dial(const Target& target, Host& host, Waiting first);
    void connect_now(Connection& c);
    void connected(Connection& c, int status);
    void open_gate();
    void shake(Connection& c);
    void rest(Connection& c);
    static void start_reading(Connection& c);
    void ready(Connection& c);
    void send(Connection& c, Call call, Message message);
    static bool write(Connection& c, std::string bytes);
    // Tells the handler if the kernel has taken all of the connection's request.
    void report_if_written(Connection& c);
    void took(Connection& c, std::string_view bytes);
    void plain(Connection& c, std::string_view bytes);
    void tls_fault(Connection& c, const tls::Fault& fault);
    void peer_closed(Connection& c, int result);
    void ended(Connection& c);
    void pieces(Connection& c, std::vector<http::ResponsePiece> all);
    void finish(Connection& c, bool keep);
    void broke(Connection& c, engine::Ending ending, const std::string& detail);
    void close(Connection& c);
    void next(const Key& key);
    void sweep();

    uv_loop_t& loop_;
    Handler& handler_;
    PoolLimits limits_;
    Timer sweep_timer_;
    std::vector<char> read_buffer_;
    std::map<Key, Host> hosts_;
    std::unordered_map<Call, Connection*> busy_;
    std::unordered_map<Call, Key> queued_;
    std::set<Connection*> all_;
    std::set<Connection*> dialling_;
    std::set<Connection*> writing_;  // of those with a call: its last byte is not known to be out
    IdleLimit idle_limit_;
    tls::HandshakeLimiter gate_;
    std::unordered_map<tls::HandshakeLimiter::Id, Connection*> at_gate_;  // waiting or in their handshake
    tls::HandshakeLimiter::Id last_shake_ = 0;
    std::uint64_t sweeps_ = 0;
    Counts counts_;
};

}  // namespace chalksail::net
