#include "net/http_server.hpp"

#include <algorithm>
#include <ctime>
#include <utility>

namespace chalksail::net {
namespace {

constexpr std::size_t kReadBufferBytes = 64 * 1024;
// Time-outs last seconds: a few checks per second are precise enough and avoid a timer for each connection.
constexpr std::chrono::milliseconds kSweepInterval{250};
// Turns of the loop for which a request is held while its client's socket has more to read. They read several
// megabytes: more than the system buffers for a connection.
constexpr int kMaxHeldTurns = 100;
constexpr std::chrono::milliseconds kMaxQuietWait{50};
// A client that has sent more than one request is taken to have sent all after this time without a byte.
constexpr std::chrono::milliseconds kInputQuietTime{5};

using Reason = ConnectionEnd::Reason;

const http::Fault kTooManyIncomplete{503, "too many requests are still coming"};

}  // namespace

HttpServer::HttpServer(uv_loop_t& loop, Handler& handler, ServerLimits limits)
    : loop_(loop),
      handler_(handler),
      limits_(limits),
      sweep_timer_(loop, [this] { sweep(); }),
      quiet_input_timer_(loop, [this] { on_quiet_input_timer(); }),
      read_buffer_(loop, kReadBufferBytes),
      deferred_input_(loop, [this](Connection::Id id) { parse_deferred(id); }),
      idle_connections_(limits.idle_connections) {
    sweep_timer_.start_repeating(kSweepInterval);
    sweep_timer_.unref();
}

HttpServer::~HttpServer() {
    close_all();
    while (!listeners_.empty()) listeners_.begin()->second.listener->close();
}

// ---- listening ----

Address HttpServer::listen(const Address& address, Transport transport) {
    auto listener = std::make_unique<Listener>(loop_, static_cast<Listener::Handler&>(*this), address);
    Address bound = listener->address();
    const Listener* const key = listener.get();
    listeners_.emplace(key, ListenerEntry{std::move(listener), transport});
    return bound;
}

void HttpServer::stop_listening() {
    std::vector<Listener*> listeners;
    for (const auto& [key, entry] : listeners_) listeners.push_back(entry.listener.get());
    for (Listener* listener : listeners) listener->stop();  // may remove it from listeners_
}

void HttpServer::on_accept_error(int error) { handler_.on_accept_failed(error); }

void HttpServer::on_accepted(Listener& listener, int descriptor) {
    FileDescriptor accepted(descriptor);
    const bool wants_tls = listeners_.at(&listener).transport == Transport::tls;
    if (wants_tls && tls_ == nullptr) return;
    auto owned = make_connection<Connection>(loop_, read_buffer_, static_cast<Connection::Owner&>(*this),
                                             ++last_connection_, limits_.message);
    if (owned->open(accepted.get()) != 0) return;
    static_cast<void>(accepted.release());  // the connection owns it
    Connection& connection = *owned;
    connection.set_no_delay();
    connections_.emplace(connection.id, std::move(owned));
    counts_.accepted += 1;
    connection.last_byte_at = uv_now_time();
    if (wants_tls) {
        connection.set_tls(tls::Filter::server(tls_, std::time(nullptr)));
        connection.enter(Phase::handshaking);
    }
    make_idle(connection);
    enforce_connection_limit(connection);
    if (!connection.is_in(Phase::closed)) connection.start_reading();
}

void HttpServer::enforce_connection_limit(Connection& connection) {
    if (connections_.size() <= limits_.idle_connections.connections) return;
    const auto evicted =
        idle_connections_.choose_evicted(uv_now_time(), [this](auto id) { return may_have_unread(id); });
    const bool evicts_other = evicted && *evicted != connection.id;
    (evicts_other ? counts_.evicted : counts_.over_limit) += 1;
    close(evicted ? *connections_.at(*evicted) : connection,
          {evicts_other ? Reason::evicted : Reason::over_limit, 0});
}

void HttpServer::make_idle(Connection& connection) {
    connection.since = uv_now_time();
    idle_connections_.add(connection.id, connection.idle_kind, connection.since);
}

bool HttpServer::may_have_unread(const Connection& connection) {
    const auto unread = connection.peek();
    return unread == Connection::Unread::bytes || unread == Connection::Unread::unknown;
}

bool HttpServer::may_have_unread(Connection::Id id) const { return may_have_unread(*connections_.at(id)); }

// ---- reading ----

void HttpServer::on_read_error(Connection& connection, int error) {
    if (error == UV_EOF) return close(connection, {Reason::peer_ended, 0});
    close(connection, {Reason::read_failed, error});
}

void HttpServer::on_bytes(Connection& connection, std::string_view bytes) {
    tls::Filter* const filter = connection.tls();
    if (filter == nullptr) return on_plaintext(connection, bytes);
    auto step = filter->from_peer(bytes);
    connection.tls_output += step.to_peer;
    if (step.connected) {
        connection.enter(Phase::awaiting_request);
        connection.since = uv_now_time();
        counts_.handshakes += 1;
        counts_.handshakes_resumed += filter->resumed() ? 1 : 0;
    }
    if (step.fault && !filter->connected()) counts_.handshakes_failed += 1;
    if (!step.plaintext.empty()) on_plaintext(connection, step.plaintext);
    if (connection.is_in(Phase::closed)) return;
    if (!connection.tls_output.empty()) flush(connection);
    if (!connection.is_in(Phase::closed) && (step.fault || step.ended)) close(connection, {Reason::tls, 0});
}

void HttpServer::on_plaintext(Connection& connection, std::string_view bytes) {
    if (connection.is_ending()) return;
    idle_connections_.remove(connection.id);
    connection.last_byte_at = uv_now_time();
    // Reading continues even when a client pipelines more than the limit, because a close would otherwise go
    // unnoticed. Input over the limit is discarded; the requests before it are still answered. The connection
    // is closed once too much was discarded.
    const bool is_pipelined = connection.is_in(Phase::responding) || connection.held_request ||
                              !connection.unparsed.empty() || has_output_backlog(connection);
    if (connection.discarded_bytes > 0 || (is_pipelined && has_excess_pipelined_input(connection))) {
        connection.discarded_bytes += bytes.size();
        if (connection.discarded_bytes > limits_.discarded_bytes) close(connection, {Reason::sent_ahead, 0});
        return;
    }
    connection.unparsed.append(bytes, connection.last_byte_at);
    if (!is_pipelined) return parse_input(connection);
    update_input_bytes(connection);
}

// A client that does not read its responses gets no further request parsed until it does, so that its
// responses do not accumulate.
bool HttpServer::has_output_backlog(const Connection& connection) const {
    return connection.queued_output_bytes() > limits_.stream_buffer_bytes;
}

void HttpServer::parse_deferred(Connection::Id id) {
    const auto it = connections_.find(id);
    if (it == connections_.end()) return;
    it->second->input_deferred = false;
    parse_input(*it->second);
}

void HttpServer::parse_input(Connection& connection) {
    if (!connection.accepts_request()) return;
    if (connection.held_request)
        return on_whole_request(connection, *std::exchange(connection.held_request, std::nullopt));
    if (connection.unparsed.empty()) return;
    if (connection.is_in(Phase::awaiting_request)) {
        connection.enter(Phase::receiving_request);
        connection.since = uv_now_time();
    }
    auto progress = connection.parse_next();
    if (auto* fault = std::get_if<http::Fault>(&progress)) return reject(connection, *fault);
    if (auto* request = std::get_if<http::Request>(&progress)) {
        connection.held_since = uv_now_time();
        connection.held_turns = 0;
        return on_whole_request(connection, std::move(*request));
    }
    on_partial_request(connection, std::get<http::RequestReader::NeedMore>(progress).send_continue);
}

// Called after the responses to the requests before the discarded bytes.
void HttpServer::reject_discarded(Connection& connection) {
    reject(connection, {503, "too much was sent ahead of the answers"});
}

void HttpServer::on_partial_request(Connection& connection, bool send_continue) {
    update_input_bytes(connection);
    reject_largest_requests();
    if (!connection.accepts_request()) return;
    if (connection.discarded_bytes > 0) return reject_discarded(connection);
    if (!send_continue) return;
    append_output(connection, http::kContinue);
    flush(connection);
}

bool HttpServer::has_excess_pipelined_input(const Connection& connection) const {
    return connection.unparsed.memory_bytes() > limits_.pipelined_bytes ||
           pipelined_bytes_ > limits_.unfinished_bytes / 2;
}

void HttpServer::reject_largest_requests() {
    const auto is_smaller = [](const auto& a, const auto& b) {
        return a.second->incomplete_bytes < b.second->incomplete_bytes;
    };
    while (incomplete_bytes_ > limits_.unfinished_bytes) {
        const auto largest = std::max_element(connections_.begin(), connections_.end(), is_smaller);
        reject(*largest->second, kTooManyIncomplete);
    }
}

// Detects a client that has closed its connection behind the request. libuv reports the close in a later loop
// iteration only, when an attempt may already have been sent to a server, and behind all input that the
// client sent before the close.
void HttpServer::on_whole_request(Connection& connection, http::Request request) {
    const auto unread = connection.peek();
    if (unread == Connection::Unread::bytes && ++connection.held_turns <= kMaxHeldTurns) {
        hold_request(connection, std::move(request));
        return defer_input(connection);
    }
    if (unread == Connection::Unread::nothing && may_send_more(connection)) {
        hold_request(connection, std::move(request));
        if (awaiting_quiet_input_.empty()) quiet_input_timer_.start_once(kInputQuietTime);
        return awaiting_quiet_input_.push_back(connection.id);
    }
    deliver_request(connection, std::move(request));
    if (unread == Connection::Unread::end && connection.is_in(Phase::responding))
        close(connection, {Reason::peer_ended, 0});
}

// The socket of a client that pipelines may be empty for a moment only, while the client's system still has
// bytes to send.
bool HttpServer::may_send_more(const Connection& connection) {
    const Time now = uv_now_time();
    return !connection.unparsed.empty() && now - connection.last_byte_at < kInputQuietTime &&
           now - connection.held_since < kMaxQuietWait;
}

void HttpServer::hold_request(Connection& connection, http::Request request) {
    connection.held_request = std::move(request);
    update_input_bytes(connection);
}

void HttpServer::on_quiet_input_timer() {
    for (const auto id : std::exchange(awaiting_quiet_input_, {})) parse_deferred(id);
}

void HttpServer::deliver_request(Connection& connection, http::Request request) {
    connection.idle_kind = IdleConnections::Kind::reusable;
    update_input_bytes(connection);
    const std::size_t request_bytes = request.memory_bytes();
    if (delivered_bytes_ + request_bytes > limits_.unfinished_bytes)
        return reject(connection, kTooManyIncomplete);
    delivered_bytes_ += request_bytes;
    connection.enter(Phase::responding);
    connection.exchange = {};
    connection.exchange.peer = ++last_peer_;
    connection.exchange.keep_alive = request.keep_alive;
    connection.exchange.head_only = request.method == "HEAD";
    connection.exchange.http_1_0 = request.http_1_0;
    active_requests_.emplace(connection.exchange.peer, &connection);
    handler_.on_request(connection.exchange.peer, std::move(request), connection.parsed_received_at);
}

void HttpServer::update_input_bytes(Connection& connection) {
    const std::size_t held = connection.held_request ? connection.held_request->memory_bytes() : 0;
    set_input_bytes(connection, connection.reader.memory_bytes(), connection.unparsed.memory_bytes() + held);
}

void HttpServer::set_input_bytes(Connection& connection, std::size_t incomplete, std::size_t pipelined) {
    incomplete_bytes_ += incomplete;
    incomplete_bytes_ -= std::exchange(connection.incomplete_bytes, incomplete);
    pipelined_bytes_ += pipelined;
    pipelined_bytes_ -= std::exchange(connection.pipelined_bytes, pipelined);
}

void HttpServer::reject(Connection& connection, const http::Fault& fault) {
    counts_.bad_requests += 1;
    handler_.on_rejected(fault.status, fault.text);
    const std::string body = R"({"error":{"message":")" + fault.text +
                             R"(","type":"invalid_request_error","param":null,"code":null}})";
    http::Headers headers;
    headers.add("Content-Type", "application/json");
    headers.add("Content-Length", std::to_string(body.size()));
    headers.add("Connection", "close");
    append_output(connection, http::format_response_head(fault.status, headers));
    append_output(connection, body);
    connection.enter(Phase::flushing);
    connection.unparsed.clear();
    connection.held_request.reset();
    connection.reader = http::RequestReader(limits_.message);  // frees the part of the request read so far
    update_input_bytes(connection);
    flush(connection);
}

// ---- responses ----

HttpServer::Connection* HttpServer::find(Peer peer) {
    const auto it = active_requests_.find(peer);
    return it == active_requests_.end() ? nullptr : it->second;
}

void HttpServer::reply(Peer peer, int status, http::Headers headers, std::string_view body) {
    Connection* const connection = find(peer);
    if (connection == nullptr) return;
    const auto& exchange = connection->exchange;
    headers.add("Content-Length", std::to_string(body.size()));
    if (http::same_name(headers.get("connection"), "close")) connection->ends_when_idle = true;
    else headers.add("Connection", exchange.keep_alive && !draining_ ? "keep-alive" : "close");
    append_output(*connection, http::format_response_head(status, headers));
    if (!exchange.head_only) append_output(*connection, body);
    finish_response(*connection);
}

void HttpServer::begin_stream(Peer peer, http::Headers headers, int status) {
    Connection* const connection = find(peer);
    if (connection == nullptr) return;
    auto& exchange = connection->exchange;
    if (exchange.http_1_0) exchange.keep_alive = false;  // HTTP/1.0 marks a stream's end by closing
    else headers.add("Transfer-Encoding", "chunked");
    headers.add("Connection", exchange.keep_alive && !draining_ ? "keep-alive" : "close");
    append_output(*connection, http::format_response_head(status, headers));
}

void HttpServer::stream(Peer peer, std::string_view bytes) {
    Connection* const connection = find(peer);
    if (connection == nullptr || bytes.empty()) return;
    if (connection->exchange.http_1_0) append_output(*connection, bytes);
    else append_output(*connection, http::format_chunk(bytes));
}

void HttpServer::end_stream(Peer peer) {
    Connection* const connection = find(peer);
    if (connection == nullptr) return;
    if (!connection->exchange.http_1_0) append_output(*connection, http::kLastChunk);
    finish_response(*connection);
}

void HttpServer::abort_stream(Peer peer) {
    Connection* const connection = find(peer);
    if (connection == nullptr) return;
    connection->exchange.keep_alive = false;
    finish_response(*connection);
}

void HttpServer::finish_response(Connection& connection) {
    active_requests_.erase(connection.exchange.peer);
    connection.since = uv_now_time();
    connection.enter(connection.exchange.keep_alive ? Phase::awaiting_request : Phase::flushing);
    if (draining_) connection.ends_when_idle = true;
    schedule_flush(connection);
}

void HttpServer::abort(Peer peer, bool reset) {
    Connection* const connection = find(peer);
    if (connection == nullptr) return;
    active_requests_.erase(peer);
    connection->enter(Phase::awaiting_request);
    if (!reset) return close(*connection, {Reason::aborted, 0});
    const auto owned = remove(*connection);
    owned->close_with_reset();
}

// ---- writing ----

void HttpServer::append_output(Connection& connection, std::string_view bytes) {
    connection.output += bytes;
    schedule_flush(connection);
}

void HttpServer::schedule_flush(Connection& connection) {
    if (std::exchange(connection.flush_scheduled, true)) return;
    flush_due_.push_back(connection.id);
}

void HttpServer::flush() {
    delivered_bytes_ = 0;
    // The handler may schedule further flushes, as when it ends a connection.
    while (!flush_due_.empty()) {
        const auto ids = std::exchange(flush_due_, {});
        for (const auto id : ids)
            if (const auto it = connections_.find(id); it != connections_.end()) flush(*it->second);
    }
}

void HttpServer::flush(Connection& connection) {
    connection.flush_scheduled = false;
    if (connection.is_in(Phase::closed) || !write_output(connection)) return;
    report_backlog(connection);
    if (connection.accepts_request()) await_next_request(connection);
    if (connection.is_in(Phase::closed)) return;
    const bool all_written = connection.output.empty() && connection.write_queue_size() == 0;
    if (connection.is_ending() && all_written) shut_down(connection);
}

bool HttpServer::write_output(Connection& connection) {
    if (connection.output.empty() && connection.tls_output.empty()) return true;
    std::string bytes = std::exchange(connection.tls_output, {});
    std::string output = std::exchange(connection.output, {});
    if (!output.empty()) bytes += connection.encrypt(std::move(output));
    const int error = connection.write(std::move(bytes));
    if (error != 0) close(connection, {Reason::write_failed, error});
    return error == 0;
}

void HttpServer::on_write_completed(Connection& connection, int status) {
    if (status < 0) return close(connection, {Reason::write_failed, status});
    flush(connection);
}

void HttpServer::report_backlog(Connection& connection) {
    if (!connection.is_in(Phase::responding)) return;
    auto& exchange = connection.exchange;
    const std::size_t queued = connection.write_queue_size();
    const bool changes = exchange.backlog_reported ? queued <= limits_.stream_buffer_bytes / 2
                                                   : queued > limits_.stream_buffer_bytes;
    if (!changes) return;
    exchange.backlog_reported = !exchange.backlog_reported;
    handler_.on_backlog(exchange.peer, exchange.backlog_reported);
}

void HttpServer::await_next_request(Connection& connection) {
    connection.start_reading();
    if (connection.held_request) return;
    if (!connection.unparsed.empty()) {
        if (!has_output_backlog(connection)) defer_input(connection);
        return;
    }
    if (connection.discarded_bytes > 0) return reject_discarded(connection);
    if (!connection.is_in(Phase::awaiting_request)) return;
    make_idle(connection);
    if (connection.ends_when_idle) end_when_idle(connection);
}

void HttpServer::defer_input(Connection& connection) {
    if (!std::exchange(connection.input_deferred, true)) deferred_input_.defer(connection.id);
}

// ---- the end of a connection ----

// Ends a connection without a pending request, unless it has unread input. Requests received before the
// shutdown are answered; later ones are not accepted, and the client can send them elsewhere.
void HttpServer::end_when_idle(Connection& connection) {
    connection.ends_when_idle = true;
    const bool idle = connection.is_in(Phase::awaiting_request) && connection.unparsed.empty() &&
                      connection.output.empty() && connection.write_queue_size() == 0;
    if (!idle || may_have_unread(connection)) return;
    connection.enter(Phase::flushing);
    shut_down(connection);
}

// Performs an orderly close after all output was written. Closing the socket while the client still sends
// would cause a TCP reset, which can destroy the last response. So only the sending side is closed, and input
// is discarded until the client closes too or the linger time-out expires.
void HttpServer::shut_down(Connection& connection) {
    if (connection.is_in(Phase::lingering)) return;
    connection.enter(Phase::lingering);
    idle_connections_.add(connection.id, IdleConnections::Kind::closing, uv_now_time());
    if (connection.tls() != nullptr) return close(connection, {Reason::overdue, 0});
    // Shut down immediately: a request that arrived before the next loop iteration would be read but not
    // answered, and the client could not know that it is safe to send it again.
    const int error = connection.shut_down_sending();
    if (error != 0) return close(connection, {Reason::write_failed, error});
    connection.start_reading();
}

OwnedConnection<HttpServer::Connection> HttpServer::remove(Connection& connection) {
    connection.enter(Phase::closed);
    idle_connections_.remove(connection.id);
    set_input_bytes(connection, 0, 0);
    const auto it = connections_.find(connection.id);
    auto owned = std::move(it->second);
    connections_.erase(it);
    return owned;
}

void HttpServer::close(Connection& connection, ConnectionEnd end) {
    if (connection.is_in(Phase::closed)) return;
    const bool had_request = connection.is_in(Phase::responding);
    const auto owned = remove(connection);
    connection.send_close_notify();
    if (had_request) {
        active_requests_.erase(connection.exchange.peer);
        handler_.on_closed(connection.exchange.peer, end);
    } else if (end.reason != Reason::peer_ended && end.reason != Reason::stopped) {
        handler_.on_idle_closed(end);
    }
}

std::vector<HttpServer::Connection*> HttpServer::all_connections() const {
    std::vector<Connection*> out;
    out.reserve(connections_.size());
    for (const auto& [id, connection] : connections_) out.push_back(connection.get());
    return out;
}

void HttpServer::drain() {
    draining_ = true;
    for (auto* connection : all_connections()) end_when_idle(*connection);
}

void HttpServer::end_all() {
    draining_ = true;
    for (auto* connection : all_connections()) {
        const bool had_request = connection->is_in(Phase::responding);
        connection->enter(Phase::flushing);
        if (had_request) {
            active_requests_.erase(connection->exchange.peer);
            handler_.on_closed(connection->exchange.peer, {Reason::drained, 0});
        }
        flush(*connection);
    }
}

void HttpServer::close_all() {
    for (auto* connection : all_connections()) close(*connection, {Reason::stopped, 0});
}

// ---- time-outs ----

void HttpServer::sweep() {
    const Time now = uv_now_time();
    std::vector<Connection*> stalled;
    std::vector<Connection*> slow;
    for (auto& [id, connection] : connections_) {
        if (connection->has_pending_writes()) {
            if (connection->stalled_for(now) > limits_.stall_timeout) stalled.push_back(connection.get());
        } else if (connection->receiving() && is_overdue(*connection, now)) {
            slow.push_back(connection.get());
        }
    }
    close_overdue_idle(now);
    for (auto* connection : slow) time_out_request(*connection);
    for (auto* connection : stalled) {
        counts_.stalled += 1;
        close(*connection, {Reason::not_reading, 0});
    }
}

// Whether an incomplete request or TLS handshake has exceeded a time-out.
bool HttpServer::is_overdue(const Connection& connection, Time now) const {
    const bool silent = limits_.request_idle_timeout > Duration::zero() &&
                        now - connection.last_byte_at > limits_.request_idle_timeout;
    const Duration longest =
        limits_.head_timeout + (connection.reader.in_body() ? limits_.body_timeout : Duration{});
    return silent || now - connection.since > longest;
}

void HttpServer::close_overdue_idle(Time now) {
    const auto overdue = idle_connections_.overdue(now, connections_.size(), draining_,
                                                   [this](auto id) { return may_have_unread(id); });
    for (const auto id : overdue) {
        Connection& connection = *connections_.at(id);
        if (connection.is_in(Phase::lingering)) close(connection, {Reason::overdue, 0});
        else end_when_idle(connection);
    }
}

void HttpServer::time_out_request(Connection& connection) {
    counts_.timed_out += 1;
    if (connection.is_in(Phase::handshaking)) {  // no response can be sent yet
        counts_.handshakes_failed += 1;
        return close(connection, {Reason::overdue, 0});
    }
    reject(connection, {408, "request not sent in time"});
}

HttpServer::Counts HttpServer::counts() const {
    Counts out = counts_;
    out.connections = connections_.size();
    out.active_requests = active_requests_.size();
    out.input_bytes = incomplete_bytes_ + pipelined_bytes_;
    for (const auto& [id, connection] : connections_) out.output_bytes += connection->queued_output_bytes();
    return out;
}

}  // namespace chalksail::net
