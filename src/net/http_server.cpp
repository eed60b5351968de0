#include "net/http_server.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <stdexcept>
#include <utility>

#include "net/system_error.hpp"

namespace chalksail::net {
namespace {

constexpr std::size_t kReadBuffer = 64 * 1024;
constexpr std::chrono::milliseconds kSweepInterval{250};

using Reason = ConnectionEnd::Reason;

std::string_view name(Reason reason) {
    switch (reason) {
        case Reason::peer_ended: return "peer_ended";
        case Reason::read_failed: return "read_failed";
        case Reason::write_failed: return "write_failed";
        case Reason::tls: return "tls";
        case Reason::not_reading: return "not_reading";
        case Reason::sent_ahead: return "sent_ahead";
        case Reason::evicted: return "evicted";
        case Reason::over_limit: return "over_limit";
        case Reason::overdue: return "overdue";
        case Reason::drained: return "drained";
        case Reason::aborted: return "aborted";
        case Reason::stopped: return "stopped";
    }
    return "unknown";
}

// Of a read that ended the connection.
ConnectionEnd end_of_read(ssize_t result) {
    if (result == UV_EOF) return {Reason::peer_ended, 0};
    return {Reason::read_failed, static_cast<int>(result)};
}

struct WriteJob {
    uv_write_t request{};
    std::string bytes;
};

}  // namespace

std::string describe(const ConnectionEnd& end) {
    std::string out(name(end.reason));
    if (end.error != 0) out += " (" + std::string(uv_err_name(end.error)) + ")";
    return out;
}

struct HttpServer::Connection {
    uv_tcp_t socket{};
    HttpServer* server = nullptr;
    std::uint64_t id = 0;
    http::RequestReader reader;
    std::unique_ptr<tls::Filter> filter;
    std::string raw;    // of the filter's own: handshake, alerts
    std::string ahead;  // bytes after the request in hand
    std::string out;    // gathered, not yet handed to the socket
    Peer peer = 0;      // 0: no request in hand
    bool reading = false;
    bool keep_alive = true;
    bool head_only = false;
    bool http_1_0 = false;
    bool streaming = false;
    bool ending = false;        // this side ends it: what was read before that is answered
    bool close_after = false;   // nothing more of it is taken; it is shut down once all is written
    std::size_t discarded = 0;  // bytes sent ahead that were thrown away: it is refused what came after them
    bool closing = false;
    bool dirty = false;
    bool backlog_told = false;
    Time begun{};  // of the message being read, or of the wait for one
    Time heard{};  // the last byte of it
    bool midway = false;
    std::size_t unfinished = 0;   // bytes of the request that is coming
    bool asked = false;           // it has sent a whole request before
    Time last_progress{};         // of writing, while something waits
    std::size_t waiting = 0;      // writes under way
    std::size_t last_queued = 0;  // bytes of them, when last looked at

    explicit Connection(http::Limits limits) : reader(limits) {}
    [[nodiscard]] uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket); }
};

HttpServer::HttpServer(uv_loop_t& loop, Handler& handler, ServerLimits limits)
    : loop_(loop),
      handler_(handler),
      limits_(limits),
      sweep_timer_(loop, [this] { sweep(); }),
      read_buffer_(kReadBuffer),
      idle_connections_(limits.idle_connections) {
    sweep_timer_.start_repeating(kSweepInterval);
    sweep_timer_.unref();
}

HttpServer::~HttpServer() {
    close_all();
    while (!listeners_.empty()) listeners_.begin()->second.listener->close();
}

Address HttpServer::listen(const Address& address, ProtocolKind protocol) {
    auto listener = std::make_unique<Listener>(loop_, static_cast<Listener::Handler&>(*this), address);
    Address bound = listener->address();
    const Listener* const key = listener.get();
    listeners_.emplace(key, ListenerEntry{std::move(listener), protocol});
    return bound;
}

void HttpServer::stop_listening() {
    std::vector<Listener*> listeners;
    for (const auto& [key, entry] : listeners_) listeners.push_back(entry.listener.get());
    for (Listener* listener : listeners) listener->stop();  // may remove it from listeners_
}

void HttpServer::on_accept_error(int error) { handler_.on_accept_failed(error); }

void HttpServer::on_accepted(Listener& listener, int descriptor) {
    const bool wants_tls = listeners_.at(&listener).protocol == ProtocolKind::tls;
    if (wants_tls && tls_ == nullptr) {
        ::close(descriptor);
        return;
    }
    auto* c = new Connection(limits_.message);
    c->server = this;
    c->id = ++last_connection_;
    uv_tcp_init(&loop_, &c->socket);
    c->socket.data = c;
    if (uv_tcp_open(&c->socket, descriptor) != 0) {
        ::close(descriptor);
        uv_close(reinterpret_cast<uv_handle_t*>(&c->socket),
                 [](uv_handle_t* h) { delete static_cast<Connection*>(h->data); });
        return;
    }
    uv_tcp_nodelay(&c->socket, 1);
    connections_.emplace(c->id, c);
    counts_.accepted += 1;
    c->begun = c->heard = uv_now_time();
    if (wants_tls) {
        c->filter = tls::Filter::server(tls_, std::time(nullptr));
        c->midway = true;  // a handshake has a request's time
    }
    rest(*c);
    if (connections_.size() > limits_.idle_connections.connections) {
        const auto room =
            idle_connections_.choose_evicted(uv_now_time(), [this](auto id) { return unread(id); });
        const bool evicts = room && *room != c->id;
        (evicts ? counts_.evicted : counts_.over_limit) += 1;
        close(room ? *connections_.at(*room) : *c, {evicts ? Reason::evicted : Reason::over_limit, 0});
        if (c->closing) return;
    }
    start_reading(*c);
}

void HttpServer::rest(Connection& c) {
    c.begun = uv_now_time();
    idle_connections_.add(c.id, c.asked ? IdleConnections::Kind::kept : IdleConnections::Kind::silent,
                          c.begun);
}

HttpServer::Unread HttpServer::look(const Connection& c) {
    uv_os_fd_t fd = -1;
    char byte = 0;
    if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&c.socket), &fd) != 0) return Unread::end;
    const auto n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) return Unread::bytes;
    if (n == 0) return Unread::end;
    // Guards against a look that failed itself and is taken for what it would have found: the loop's read
    // will tell.
    switch (meaning_of(SystemCall::peek, errno)) {
        case ErrorMeaning::nothing_yet: return Unread::nothing;
        case ErrorMeaning::peer: return Unread::end;
        case ErrorMeaning::again:
        case ErrorMeaning::shortage: break;
    }
    return Unread::unknown;
}

bool HttpServer::may_have_unread(const Connection& c) {
    const Unread seen = look(c);
    return seen == Unread::bytes || seen == Unread::unknown;
}
bool HttpServer::unread(std::uint64_t id) const { return may_have_unread(*connections_.at(id)); }

void HttpServer::start_reading(Connection& connection) {
    connection.reading = true;
    uv_read_start(
        connection.stream(),
        [](uv_handle_t* h, std::size_t, uv_buf_t* buffer) {
            // One buffer for all: what it holds is taken before the next read.
            auto& all = static_cast<Connection*>(h->data)->server->read_buffer_;
            *buffer = uv_buf_init(all.data(), static_cast<unsigned>(all.size()));
        },
        [](uv_stream_t* s, ssize_t n, const uv_buf_t* buffer) {
            auto& c = *static_cast<Connection*>(s->data);
            if (n > 0) c.server->took(c, {buffer->base, static_cast<std::size_t>(n)});
            else if (n < 0) c.server->close(c, end_of_read(n));
        });
}

void HttpServer::took(Connection& c, std::string_view bytes) {
    if (!c.filter) return plain(c, bytes);
    auto step = c.filter->from_peer(bytes);
    c.raw += step.to_peer;
    if (step.connected) {
        c.midway = false;
        c.begun = uv_now_time();
        counts_.handshakes += 1;
        counts_.handshakes_resumed += c.filter->resumed() ? 1 : 0;
    }
    if (step.fault && !c.filter->connected()) counts_.handshakes_failed += 1;
    if (!step.plain.empty()) plain(c, step.plain);
    if (c.closing) return;
    if (!c.raw.empty()) write_out(c);
    if (!c.closing && (step.fault || step.ended)) close(c, {Reason::tls, 0});
}

void HttpServer::plain(Connection& c, std::string_view bytes) {
    if (c.close_after) return;  // it is on its way out: nothing more of it is taken
    idle_connections_.remove(c.id);
    c.heard = uv_now_time();
    // Guards against a close that nobody hears: a peer that sends on ahead of its answers is read on, but
    // what is over the limit is thrown away. What it had sent before is answered; with too much it is given
    // up.
    const bool too_far = c.ahead.size() > limits_.pipelined_bytes || unfinished_ > limits_.unfinished_bytes;
    if (c.discarded > 0 || (c.peer != 0 && too_far)) {
        c.discarded += bytes.size();
        if (c.discarded > limits_.discarded_bytes) close(c, {Reason::sent_ahead, 0});
        return;
    }
    c.ahead += bytes;
    feed(c);
    if (!c.closing && c.peer != 0) count_unfinished(c, c.ahead.size());
}

// Guards against an attempt for a client whose close came right behind its request: libuv reports that in the
// next turn, and a loop that is behind would send the request on before.
void HttpServer::give_up_if_gone(Connection& c) {
    if (look(c) == Unread::end) close(c, {Reason::peer_ended, 0});
}

// Takes the next request out of what has come, unless one is in hand.
void HttpServer::feed(Connection& c) {
    while (c.peer == 0 && !c.ahead.empty() && !c.closing && !c.close_after) {
        if (!c.midway) {
            c.midway = true;
            c.begun = uv_now_time();
        }
        std::string_view rest = c.ahead;
        auto progress = c.reader.feed(rest);
        c.ahead.erase(0, c.ahead.size() - rest.size());
        if (auto* fault = std::get_if<http::Fault>(&progress)) return refuse(c, *fault);
        if (auto* more = std::get_if<http::RequestReader::NeedMore>(&progress)) {
            if (more->send_continue) {
                put(c, http::kContinue);
                write_out(c);
            }
            if (c.ahead.empty()) std::string().swap(c.ahead);
            count_unfinished(c, c.reader.body_bytes());
            // Guards against many that send half of a large request and stay: each is within its own limit.
            if (unfinished_ > limits_.unfinished_bytes)
                return refuse(c, {503, "too many requests are still coming"});
            break;
        }
        auto& request = std::get<http::Request>(progress);
        c.midway = false;
        c.asked = true;
        count_unfinished(c, c.ahead.size());
        c.keep_alive = request.keep_alive;
        c.head_only = request.method == "HEAD";
        c.http_1_0 = request.http_1_0;
        c.peer = ++last_peer_;
        in_hand_.emplace(c.peer, &c);
        if (c.ahead.empty()) std::string().swap(c.ahead);
        handler_.on_request(c.peer, std::move(request));
    }
    if (c.closing || c.close_after) return;
    if (c.peer != 0) give_up_if_gone(c);
    else if (c.discarded > 0) refuse(c, {503, "too much was sent ahead of the answers"});
}

void HttpServer::count_unfinished(Connection& c, std::size_t bytes) {
    unfinished_ += bytes;
    unfinished_ -= std::exchange(c.unfinished, bytes);
}

void HttpServer::refuse(Connection& c, const http::Fault& fault) {
    counts_.bad_requests += 1;
    const std::string body = R"({"error":{"message":")" + fault.text +
                             R"(","type":"invalid_request_error","param":null,"code":null}})";
    http::Headers headers;
    headers.add("Content-Type", "application/json");
    headers.add("Content-Length", std::to_string(body.size()));
    headers.add("Connection", "close");
    put(c, http::format_response_head(fault.status, headers));
    put(c, body);
    c.close_after = true;
    std::string().swap(c.ahead);
    c.reader = http::RequestReader(limits_.message);  // what it has read of the request goes
    count_unfinished(c, 0);
    write_out(c);
}

HttpServer::Connection* HttpServer::find(Peer peer) {
    const auto it = in_hand_.find(peer);
    return it == in_hand_.end() ? nullptr : it->second;
}

void HttpServer::reply(Peer peer, int status, http::Headers headers, std::string_view body) {
    Connection* c = find(peer);
    if (c == nullptr) return;
    headers.add("Content-Length", std::to_string(body.size()));
    if (http::same_name(headers.get("connection"), "close")) c->ending = true;
    else headers.add("Connection", c->keep_alive && !draining_ ? "keep-alive" : "close");
    put(*c, http::format_response_head(status, headers));
    if (!c->head_only) put(*c, body);
    finish_answer(*c);
}

void HttpServer::begin_stream(Peer peer, http::Headers headers, int status) {
    Connection* c = find(peer);
    if (c == nullptr) return;
    c->streaming = true;
    if (c->http_1_0) c->keep_alive = false;  // its end is the close
    else headers.add("Transfer-Encoding", "chunked");
    headers.add("Connection", c->keep_alive && !draining_ ? "keep-alive" : "close");
    put(*c, http::format_response_head(status, headers));
}

void HttpServer::stream(Peer peer, std::string_view bytes) {
    Connection* c = find(peer);
    if (c == nullptr || bytes.empty()) return;
    if (c->http_1_0) put(*c, bytes);
    else put(*c, http::format_chunk(bytes));
}

void HttpServer::end_stream(Peer peer) {
    Connection* c = find(peer);
    if (c == nullptr) return;
    if (!c->http_1_0) put(*c, http::kLastChunk);
    finish_answer(*c);
}

void HttpServer::finish_answer(Connection& c) {
    in_hand_.erase(c.peer);
    c.peer = 0;
    c.streaming = false;
    c.backlog_told = false;
    c.begun = uv_now_time();
    if (!c.keep_alive) c.close_after = true;
    if (draining_) c.ending = true;
    if (!c.dirty) {
        c.dirty = true;
        dirty_.push_back(c.id);
    }
}

void HttpServer::cut(Peer peer) {
    Connection* c = find(peer);
    if (c == nullptr) return;
    c->keep_alive = false;
    finish_answer(*c);
}

void HttpServer::abort(Peer peer, bool reset) {
    Connection* c = find(peer);
    if (c == nullptr) return;
    in_hand_.erase(peer);
    c->peer = 0;
    if (reset && !c->closing) {
        connections_.erase(c->id);
        c->closing = true;
        idle_connections_.remove(c->id);
        count_unfinished(*c, 0);
        uv_tcp_close_reset(&c->socket, [](uv_handle_t* h) { delete static_cast<Connection*>(h->data); });
        return;
    }
    close(*c, {Reason::aborted, 0});
}

void HttpServer::put(Connection& c, std::string_view bytes) {
    c.out += bytes;
    if (c.dirty) return;
    c.dirty = true;
    dirty_.push_back(c.id);
}

void HttpServer::flush() {
    // Requests that were waiting behind an answer may come out here, and be answered by the handler at once.
    while (!dirty_.empty()) {
        const auto ids = std::exchange(dirty_, {});
        for (const auto id : ids)
            if (const auto it = connections_.find(id); it != connections_.end()) write_out(*it->second);
    }
}

void HttpServer::write_out(Connection& c) {
    c.dirty = false;
    if (c.closing) return;
    if (!c.out.empty() || !c.raw.empty()) {
        std::string bytes = std::exchange(c.raw, {});
        const std::string answer = std::exchange(c.out, {});
        if (!answer.empty()) bytes += c.filter ? c.filter->send(answer).to_peer : answer;
        std::size_t done = 0;
        if (uv_stream_get_write_queue_size(c.stream()) == 0) {
            uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
            const int n = uv_try_write(c.stream(), &buffer, 1);
            if (n < 0 && n != UV_EAGAIN) return close(c, {Reason::write_failed, n});
            if (n > 0) done = static_cast<std::size_t>(n);
        }
        if (done < bytes.size()) {
            if (c.waiting == 0) c.last_progress = uv_now_time();
            auto* job = new WriteJob;
            job->bytes = bytes.substr(done);
            job->request.data = job;
            c.waiting += 1;
            uv_buf_t buffer = uv_buf_init(job->bytes.data(), static_cast<unsigned>(job->bytes.size()));
            const int error = uv_write(&job->request, c.stream(), &buffer, 1, [](uv_write_t* w, int status) {
                auto* done_job = static_cast<WriteJob*>(w->data);
                auto& owner = *static_cast<Connection*>(w->handle->data);
                owner.waiting -= 1;
                delete done_job;
                if (owner.closing) return;
                if (status < 0) return owner.server->close(owner, {Reason::write_failed, status});
                owner.last_progress = uv_now_time();
                owner.server->write_out(owner);
            });
            if (error != 0) {
                delete job;
                return close(c, {Reason::write_failed, error});
            }
        }
    }
    const std::size_t queued = uv_stream_get_write_queue_size(c.stream());
    if (c.peer != 0 && !c.backlog_told && queued > limits_.stream_buffer) {
        c.backlog_told = true;
        handler_.on_backlog(c.peer, true);
    } else if (c.peer != 0 && c.backlog_told && queued <= limits_.stream_buffer / 2) {
        c.backlog_told = false;
        handler_.on_backlog(c.peer, false);
    }
    if (c.peer == 0 && !c.close_after) {
        if (!c.reading) start_reading(c);
        feed(c);
        if (c.closing || c.peer != 0) return;
        if (!c.close_after && !c.midway && c.out.empty()) {
            rest(c);
            if (c.ending) end_when_idle(c);
        }
    }
    if (c.peer == 0 && c.close_after && c.out.empty() && uv_stream_get_write_queue_size(c.stream()) == 0)
        shut_down(c);
}

// Ends a connection with no request in hand, unless one is on its way in: what comes before the shutdown is
// answered, what comes after it is not taken, and its client sends it elsewhere.
void HttpServer::end_when_idle(Connection& c) {
    c.ending = true;
    const bool answering = c.peer != 0 || !c.out.empty() || uv_stream_get_write_queue_size(c.stream()) != 0;
    if (c.close_after || answering || c.midway || may_have_unread(c)) return;
    c.close_after = true;
    shut_down(c);
}

// All that is to be said is out. Closing while the client still sends would be a reset, which eats the last
// answer: it is told the end, and what it sends is thrown away until it closes too, for a while. The one way
// in which this side ends a connection in good order.
void HttpServer::shut_down(Connection& c) {
    if (idle_connections_.is_closing(c.id)) return;
    idle_connections_.add(c.id, IdleConnections::Kind::closing, uv_now_time());
    if (c.filter) return close(c, {Reason::overdue, 0});
    // At once, not by uv_shutdown(), which waits for the loop's next turn: a request read in between would be
    // neither answered nor left to be sent again.
    uv_os_fd_t fd = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&c.socket), &fd) != 0 || shutdown(fd, SHUT_WR) != 0)
        return close(c, {Reason::write_failed, -errno});
    if (!c.reading) start_reading(c);
}

void HttpServer::close(Connection& c, ConnectionEnd end) {
    if (c.closing) return;
    c.closing = true;
    idle_connections_.remove(c.id);
    count_unfinished(c, 0);
    if (c.filter && c.filter->connected()) {
        std::string bye = c.filter->close().to_peer;
        uv_buf_t buffer = uv_buf_init(bye.data(), static_cast<unsigned>(bye.size()));
        uv_try_write(c.stream(), &buffer, 1);
    }
    connections_.erase(c.id);
    if (c.peer != 0) {
        const Peer peer = c.peer;
        in_hand_.erase(peer);
        c.peer = 0;
        handler_.on_closed(peer, end);
    } else if (end.reason != Reason::peer_ended && end.reason != Reason::stopped) {
        handler_.on_idle_closed(end);
    }
    uv_close(reinterpret_cast<uv_handle_t*>(&c.socket),
             [](uv_handle_t* h) { delete static_cast<Connection*>(h->data); });
}

std::vector<HttpServer::Connection*> HttpServer::all() const {
    std::vector<Connection*> out;
    out.reserve(connections_.size());
    for (const auto& [id, c] : connections_) out.push_back(c);
    return out;
}

void HttpServer::drain() {
    draining_ = true;
    for (auto* c : all()) end_when_idle(*c);
}

void HttpServer::end_all() {
    draining_ = true;
    for (auto* c : all()) {
        if (c->peer != 0) {
            const Peer peer = std::exchange(c->peer, 0);
            in_hand_.erase(peer);
            handler_.on_closed(peer, {Reason::drained, 0});
        }
        c->close_after = true;
        write_out(*c);
    }
}

void HttpServer::close_all() {
    for (auto* c : all()) close(*c, {Reason::stopped, 0});
}

// Time-outs are seconds long: looking a few times a second is exact enough, and costs no timer for each
// connection.
void HttpServer::sweep() {
    const Time now = uv_now_time();
    std::vector<Connection*> stalled;
    std::vector<Connection*> slow;
    for (auto& [id, c] : connections_) {
        if (c->waiting > 0) {
            // Any part that the peer takes is progress, also where a write has not ended yet.
            const auto queued = uv_stream_get_write_queue_size(c->stream());
            if (queued < c->last_queued) c->last_progress = now;
            c->last_queued = queued;
            if (now - c->last_progress > limits_.stall_timeout) stalled.push_back(c);
        } else if (c->peer == 0 && c->midway && !c->close_after) {
            const bool idle =
                limits_.request_idle > Duration::zero() && now - c->heard > limits_.request_idle;
            if (idle || now - c->begun >
                            limits_.head_timeout + (c->reader.in_body() ? limits_.body_timeout : Duration{}))
                slow.push_back(c);
        }
    }
    for (const auto id : idle_connections_.overdue(now, connections_.size(), draining_,
                                                   [this](auto i) { return unread(i); })) {
        Connection& c = *connections_.at(id);
        if (idle_connections_.is_closing(id)) close(c, {Reason::overdue, 0});
        else end_when_idle(c);
    }
    for (auto* c : slow) {
        counts_.timed_out += 1;
        if (c->filter && !c->filter->connected()) {  // nothing can be said to it yet
            counts_.handshakes_failed += 1;
            close(*c, {Reason::overdue, 0});
            continue;
        }
        refuse(*c, {408, "request not sent in time"});
    }
    for (auto* c : stalled) {
        counts_.stalled += 1;
        close(*c, {Reason::not_reading, 0});
    }
}

HttpServer::Counts HttpServer::counts() const {
    Counts out = counts_;
    out.connections = connections_.size();
    out.in_hand = in_hand_.size();
    return out;
}

}  // namespace chalksail::net
