#include "net/upstream_pool.hpp"

#include <algorithm>
#include <utility>

namespace chalksail::net {

using engine::ExchangeEnd;

namespace {

// Dial time-outs are tens of milliseconds or longer.
constexpr std::chrono::milliseconds kPoolSweepInterval{10};
// Idle time-outs last seconds, so checking them once in so many sweeps is precise enough.
constexpr std::uint64_t kSweepsPerIdleCheck = 25;

}  // namespace

UpstreamPool::UpstreamPool(uv_loop_t& loop, Handler& handler, PoolLimits limits)
    : loop_(loop),
      handler_(handler),
      limits_(limits),
      sweep_timer_(loop, [this] { sweep(); }),
      read_buffer_(loop, limits.read_bytes),
      reuse_delay_(limits.reuse_delay),
      handshakes_(limits.handshakes) {
    sweep_timer_.start_repeating(kPoolSweepInterval);
    sweep_timer_.unref();
}

UpstreamPool::~UpstreamPool() { close_all(); }

// ---- starting a call ----

void UpstreamPool::start(Call call, const Target& to, UpstreamRequest request, CallOptions options) {
    add_framing_headers(request, to);
    const Key key = to.key();
    if (Connection* const reusable = take_reusable(key)) {
        counts_.reused += 1;
        return send(*reusable, call, std::move(request));
    }
    PendingCall pending{call, uv_now_time(), std::move(request), std::make_shared<Target>(to),
                        options.priority};
    if (connection_count(key) < limits_.connections_per_server) {
        if (make_room() || options.beyond_limit) return dial(to, std::move(pending));
        return handler_.on_failed(call, ExchangeEnd::no_resources,
                                  "connections to all servers are at their limit");
    }
    if (queue_.size(key) >= limits_.max_queued_calls)
        return handler_.on_failed(call, ExchangeEnd::no_resources, "the server's call queue is full");
    queue_.push(key, std::move(pending));
}

// Skips and closes idle connections that have unread input. After an end of stream a request would be lost;
// unrequested bytes would be taken for its response.
UpstreamPool::Connection* UpstreamPool::take_reusable(const Key& key) {
    const Duration longest = idle_limit_.longest_usable(uv_now_time());
    for (;;) {
        const auto server = servers_.find(key);
        if (server == servers_.end()) return nullptr;
        const Time now = uv_now_time();
        Connection* const connection = server->second.find_reusable(now);
        if (connection == nullptr) return nullptr;
        const auto unread = connection->peek();
        const bool is_open = unread != Connection::Unread::end && unread != Connection::Unread::bytes;
        if (is_open && now - connection->since <= longest) {
            std::erase(server->second.idle, connection);
            return connection;
        }
        counts_.stale += 1;
        // With TLS they may be records of the TLS session itself.
        if (unread == Connection::Unread::bytes && connection->tls() == nullptr)
            on_unrequested_bytes(*connection);
        else close(*connection);
    }
}

bool UpstreamPool::make_room() {
    if (limits_.connections == 0 || connections_.size() < limits_.connections) return true;
    Connection* oldest = nullptr;
    for (const auto& [connection, owned] : connections_)
        if (connection->is_in(State::idle) && (oldest == nullptr || connection->since < oldest->since))
            oldest = connection;
    if (oldest == nullptr) return false;
    close(*oldest);
    return true;
}

// ---- establishing a connection ----

void UpstreamPool::connect(Call call, const Target& to) {
    // At the limit no further connection is needed: the existing ones already show whether the server can be
    // verified.
    if (connection_count(to.key()) >= limits_.connections_per_server || !make_room())
        return handler_.on_failed(call, ExchangeEnd::no_resources, "connection limit reached");
    dial(to, {call, uv_now_time(), std::nullopt, std::make_shared<Target>(to), 0});
}

std::size_t UpstreamPool::connection_count(const Key& key) const {
    const auto server = servers_.find(key);
    return server == servers_.end() ? 0 : server->second.count;
}

void UpstreamPool::dial(const Target& target, PendingCall initial_call) {
    auto owned = make_connection<Connection>(loop_, read_buffer_, static_cast<Connection::Owner&>(*this),
                                             limits_.message, target);
    Connection& connection = *owned;
    connection.since = initial_call.since;
    connection.exchange.call = initial_call.call;
    connection.initial_call = std::move(initial_call);
    connections_.emplace(&connection, std::move(owned));
    being_established_.insert(&connection);
    by_call_.emplace(connection.exchange.call, &connection);
    servers_[target.key()].count += 1;
    counts_.dialled += 1;
    try_connect(connection);
}

void UpstreamPool::try_connect(Connection& connection) {
    const int error = connection.try_connect(uv_now_time());
    if (error != 0) return on_connected(connection, error);
    if (connection.is_in(State::awaiting_retry)) counts_.dials_retried += 1;
}

void UpstreamPool::on_connected(Connection& connection, int status) {
    if (status != 0) {
        counts_.dial_failed += 1;
        return on_failure(connection, ExchangeEnd::dial_failed, uv_strerror(status));
    }
    connection.set_no_delay();
    connection.start_reading();
    if (!connection.target.tls) return on_established(connection);
    // The handshake and the wait for the limiter count towards the dial time-out, as no byte of a request is
    // sent before. Only connected sockets queue, so that an unreachable server does not use up the limit.
    connection.enter(State::handshake_queued);
    handshakes_.enter(connection);
    start_queued_handshakes();
    counts_.handshakes_waiting_most = std::max(counts_.handshakes_waiting_most, handshakes_.waiting());
}

void UpstreamPool::start_queued_handshakes() {
    while (Connection* const next = handshakes_.next()) begin_handshake(*next);
}

void UpstreamPool::begin_handshake(Connection& connection) {
    counts_.handshakes += 1;
    const auto first_flight = connection.begin_handshake();
    if (first_flight.fault) return on_tls_fault(connection, *first_flight.fault);
    if (connection.write(first_flight.to_peer) != 0)
        on_failure(connection, ExchangeEnd::dial_failed, "closed by the server");
}

// Sends the call that the connection was established for, if it has a request.
void UpstreamPool::on_established(Connection& connection) {
    being_established_.erase(&connection);
    const Call call = connection.exchange.call;
    by_call_.erase(call);
    if (!connection.initial_call.request) {
        connection.exchange.call = 0;
        make_idle(connection);
        return handler_.on_done(call);
    }
    send(connection, call, *std::exchange(connection.initial_call.request, std::nullopt));
}

// Makes the connection available, and assigns it to a waiting call if there is one.
void UpstreamPool::make_idle(Connection& connection) {
    connection.enter(State::idle);
    connection.since = uv_now_time();
    const Key key = connection.target.key();
    servers_[key].idle.push_back(&connection);
    dispatch_next(key);
}

// ---- requests ----

void UpstreamPool::send(Connection& connection, Call call, UpstreamRequest request) {
    // The handler rejects the request if its deadline passed during the dial or in the queue.
    if (!handler_.on_ready(call, request.headers)) {
        connection.exchange.call = 0;
        handler_.on_failed(call, ExchangeEnd::expired, "deadline passed before the connection was ready");
        return make_idle(connection);
    }
    const Time now = uv_now_time();
    connection.exchange = {};
    connection.exchange.call = call;
    if (connection.is_in(State::idle)) connection.exchange.idle_before = now - connection.since;
    connection.enter(State::busy);
    connection.since = now;
    connection.reader.reset();
    by_call_[call] = &connection;
    writing_.insert(&connection);
    handler_.on_sent(call);  // the server may run it from here on, whatever the write returns
    std::string bytes = http::format_request_head(request.method, request.target, request.headers);
    bytes += request.body;
    if (connection.write(connection.encrypt(std::move(bytes))) != 0)
        return on_failure(connection, ExchangeEnd::connection_closed, "write to the server failed");
    report_if_written(connection);
}

void UpstreamPool::on_write_completed(Connection& connection, int status) {
    // After a failed write the queue's size proves nothing: libuv removes bytes that will never be written.
    // The failure itself also shows up on the reading side, as the end of the connection.
    if (status < 0) connection.write_failed = true;
    else report_if_written(connection);
}

void UpstreamPool::report_if_written(Connection& connection) {
    auto& exchange = connection.exchange;
    if (!connection.is_in(State::busy) || exchange.written || connection.write_failed) return;
    if (connection.write_queue_size() != 0) return;
    exchange.written = true;
    writing_.erase(&connection);
    if (!exchange.response_unwanted) handler_.on_written(exchange.call);
}

void UpstreamPool::report_written() {
    for (auto* connection : std::vector<Connection*>(writing_.begin(), writing_.end()))
        report_if_written(*connection);
}

// ---- responses ----

void UpstreamPool::on_bytes(Connection& connection, std::string_view bytes) {
    tls::Filter* const filter = connection.tls();
    if (filter == nullptr) {
        if (!connection.target.tls) return on_plaintext(connection, bytes);
        // Guards against a server that sends first: it can only be one without TLS.
        counts_.dial_failed += 1;
        return on_failure(connection, ExchangeEnd::dial_failed, "TLS: spoke before the handshake");
    }
    auto step = filter->from_peer(bytes);
    connection.write(std::move(step.to_peer));
    if (step.connected) {
        counts_.handshakes_resumed += filter->resumed() ? 1 : 0;
        handshakes_.leave(connection);
        on_established(connection);
        start_queued_handshakes();
    }
    if (!step.plaintext.empty() && !connection.is_in(State::closed)) on_plaintext(connection, step.plaintext);
    if (connection.is_in(State::closed)) return;
    if (step.fault) return on_tls_fault(connection, *step.fault);
    if (step.ended) on_stream_ended(connection);
}

void UpstreamPool::on_read_error(Connection& connection, int error) {
    // A read error must not count as an end of stream: it would complete a response without a length.
    if (error != UV_EOF && connection.is_in(State::busy))
        return on_failure(connection, ExchangeEnd::connection_closed,
                          std::string("read from the server failed: ") + uv_err_name(error));
    if (connection.tls() == nullptr) return on_stream_ended(connection);
    // Without close_notify a truncated stream looks like a complete one, so it never ends a response.
    const auto step = connection.tls()->peer_closed();
    if (step.fault) return on_tls_fault(connection, *step.fault);
    on_stream_ended(connection);
}

void UpstreamPool::on_tls_fault(Connection& connection, const tls::Fault& fault) {
    if (connection.is_in(State::idle)) return close(connection);
    if (!connection.being_established())
        return on_failure(connection, ExchangeEnd::connection_closed, "TLS: " + fault.text);
    counts_.dial_failed += 1;
    counts_.handshakes_failed += 1;
    if (fault.kind == tls::FaultKind::verification)
        return on_failure(connection, ExchangeEnd::unverified, "TLS, not verified: " + fault.text);
    on_failure(connection, ExchangeEnd::dial_failed, "TLS: " + fault.text);
}

void UpstreamPool::on_plaintext(Connection& connection, std::string_view bytes) {
    if (!connection.is_in(State::busy)) return on_unrequested_bytes(connection);
    if (connection.may_receive_surplus()) {
        connection.exchange.response_begun = true;  // the connection was not dropped while it was idle
        record_unrequested_bytes(connection);
        return on_failure(connection, ExchangeEnd::connection_closed,
                          "received bytes before the request was written");
    }
    auto& exchange = connection.exchange;
    if (!std::exchange(exchange.response_begun, true) && exchange.idle_before > Duration::zero())
        idle_limit_.record(uv_now_time(), exchange.idle_before, {}, false);
    on_response_parts(connection, connection.reader.feed(bytes));
}

void UpstreamPool::on_unrequested_bytes(Connection& connection) {
    record_unrequested_bytes(connection);
    close(connection);
}

void UpstreamPool::record_unrequested_bytes(const Connection& connection) {
    counts_.unrequested += 1;
    reuse_delay_.record_unrequested_bytes(connection.target.key(), uv_now_time());
}

void UpstreamPool::on_stream_ended(Connection& connection) {
    if (connection.is_in(State::idle)) return close(connection);
    if (connection.being_established())
        return on_failure(connection, ExchangeEnd::dial_failed, "closed by the server");
    auto rest = connection.reader.close();
    if (!rest.empty()) on_response_parts(connection, std::move(rest));
    if (connection.is_in(State::busy))
        on_failure(connection, ExchangeEnd::connection_closed, "closed by the server");
}

void UpstreamPool::on_response_parts(Connection& connection, std::vector<http::ResponsePart> parts) {
    const Call call = connection.exchange.call;
    for (auto& part : parts) {
        if (!connection.is_in(State::busy) || connection.exchange.call != call) return;
        const bool wanted = !connection.exchange.response_unwanted;
        if (const auto* end = std::get_if<http::ResponseEnd>(&part)) {
            on_response_end(connection, *end);
            if (wanted) handler_.on_done(call);
            return;
        }
        if (const auto* fault = std::get_if<http::Fault>(&part))
            return on_failure(connection,
                              fault->cut ? ExchangeEnd::connection_closed : ExchangeEnd::malformed_response,
                              fault->text);
        if (!wanted) continue;
        if (auto* head = std::get_if<http::ResponseHead>(&part))
            handler_.on_head(call, head->status, std::move(head->headers));
        else handler_.on_body(call, std::move(std::get<http::ResponseBodyPart>(part).bytes));
    }
}

// Keeps the connection for the next call, or closes it.
void UpstreamPool::on_response_end(Connection& connection, const http::ResponseEnd& end) {
    const bool reusable = end.keep_alive && connection.can_be_reused();
    if (end.surplus) record_unrequested_bytes(connection);
    connection.has_served = true;
    connection.reusable_at = reuse_delay_.reusable_at(connection.target.key(), uv_now_time());
    detach_call(connection);
    if (reusable) make_idle(connection);
    else close(connection);
}

// ---- ending a connection ----

void UpstreamPool::on_failure(Connection& connection, ExchangeEnd ending, const std::string& detail) {
    report_if_written(connection);
    const auto exchange = connection.exchange;
    // Distinguishes a reused connection that was dropped while idle from a server that failed.
    std::string reason = detail;
    if (connection.broke_after_idle()) {
        const Time now = uv_now_time();
        idle_limit_.record(now, exchange.idle_before, now - connection.since, true);
        reason +=
            "; connection was reused after an idle time of " +
            format_duration(std::chrono::duration_cast<std::chrono::milliseconds>(exchange.idle_before));
    }
    detach_call(connection);
    close(connection);
    if (!exchange.response_unwanted) handler_.on_failed(exchange.call, ending, reason);
}

void UpstreamPool::detach_call(Connection& connection) {
    by_call_.erase(connection.exchange.call);
    writing_.erase(&connection);
    connection.exchange.call = 0;
}

void UpstreamPool::close(Connection& connection) {
    if (connection.is_in(State::closed)) return;
    connection.enter(State::closed);
    auto owned = std::move(connections_.extract(&connection).mapped());
    being_established_.erase(&connection);
    writing_.erase(&connection);
    const bool had_handshake = connection.handshake_id != 0;
    handshakes_.leave(connection);
    connection.send_close_notify();
    const Key key = connection.target.key();
    ServerConnections& server = servers_[key];
    server.count -= 1;
    std::erase(server.idle, &connection);
    owned.reset();
    dispatch_next(key);
    const auto it = servers_.find(key);
    if (it != servers_.end() && it->second.count == 0 && queue_.empty(key)) servers_.erase(it);
    if (had_handshake) start_queued_handshakes();
}

// ---- waiting calls ----

void UpstreamPool::dispatch_next(const Key& key) {
    reuse_for_queued_handshakes(key);
    if (queue_.empty(key)) return;
    Connection* const reusable = take_reusable(key);
    if (queue_.empty(key)) {  // closing a stale connection has dispatched the last waiting call
        if (reusable != nullptr) servers_[key].idle.push_back(reusable);
        return;
    }
    const bool at_server_limit = connection_count(key) >= limits_.connections_per_server;
    if (reusable == nullptr && (at_server_limit || !make_room())) return;
    PendingCall pending = queue_.pop(key);
    if (reusable == nullptr) {
        const auto target = pending.target;
        return dial(*target, std::move(pending));
    }
    counts_.reused += 1;
    send(*reusable, pending.call, std::move(*pending.request));
}

void UpstreamPool::dispatch_to_reusable(Time now) {
    if (queue_.size() == 0 && handshakes_.waiting() == 0) return;
    const auto has_waiting_call = [this](const Key& key) {
        return !queue_.empty(key) || handshakes_.first_waiting(key) != nullptr;
    };
    std::vector<Key> ready;
    for (const auto& [key, server] : servers_)
        if (server.find_reusable(now) != nullptr && has_waiting_call(key)) ready.push_back(key);
    for (const Key& key : ready) dispatch_next(key);
}

// Moves calls that wait for a handshake to idle connections, which saves the server the handshakes.
void UpstreamPool::reuse_for_queued_handshakes(const Key& key) {
    const auto first_with_request = [&]() -> Connection* {
        Connection* const first = handshakes_.first_waiting(key);
        return first != nullptr && first->initial_call.request ? first : nullptr;
    };
    while (first_with_request() != nullptr) {
        Connection* const reusable = take_reusable(key);
        if (reusable == nullptr) return;
        Connection* const queued = first_with_request();
        if (queued == nullptr) {  // closing a stale connection has dispatched the last waiting call
            servers_[key].idle.push_back(reusable);
            return;
        }
        const Call call = queued->exchange.call;
        UpstreamRequest request = *std::exchange(queued->initial_call.request, std::nullopt);
        detach_call(*queued);
        close(*queued);
        counts_.reused += 1;
        send(*reusable, call, std::move(request));
    }
}

// ---- operations on a call ----

UpstreamPool::Connection* UpstreamPool::find(Call call) const {
    const auto it = by_call_.find(call);
    return it == by_call_.end() ? nullptr : it->second;
}

void UpstreamPool::cancel(Call call) {
    if (queue_.remove(call)) return;
    Connection* const connection = find(call);
    if (connection == nullptr) return;
    connection->exchange.response_unwanted = true;
    detach_call(*connection);
    close(*connection);
}

void UpstreamPool::half_close(Call call) {
    Connection* const connection = find(call);
    if (connection == nullptr || !connection->is_in(State::busy)) return;
    connection->half_closed = true;
    connection->shut_down_sending();
}

void UpstreamPool::complete(Call call) {
    Connection* const connection = find(call);
    if (connection == nullptr) return;
    connection->exchange.response_unwanted = true;
    connection->since = uv_now_time();
}

void UpstreamPool::set_paused(Call call, bool paused) {
    Connection* const connection = find(call);
    if (connection == nullptr || !connection->is_in(State::busy)) return;
    if (std::exchange(connection->exchange.paused, paused) == paused) return;
    if (paused) connection->stop_reading();
    else connection->start_reading();
}

// ---- time-outs ----

void UpstreamPool::sweep() {
    const Time now = uv_now_time();
    const auto overdue = select_if(being_established_, [&](const Connection* connection) {
        return now - connection->since > limits_.dial_timeout;
    });
    if (++sweeps_ % kSweepsPerIdleCheck == 0) close_unused(now);
    retry_connects(now);
    dispatch_to_reusable(now);
    for (Connection* connection : overdue)
        if (connection->being_established()) fail_overdue_connect(*connection);
    fail_overdue_calls(now);
}

void UpstreamPool::close_unused(Time now) {
    std::vector<Connection*> unused;
    for (const auto& [connection, owned] : connections_)
        if (connection->is_unused(now, limits_.idle_timeout, limits_.completion_timeout))
            unused.push_back(connection);
    for (Connection* connection : unused) {
        if (connection->is_in(State::busy)) detach_call(*connection);
        close(*connection);
    }
}

void UpstreamPool::retry_connects(Time now) {
    const auto is_due = [now](const Connection* connection) {
        return connection->is_in(State::awaiting_retry) && now >= connection->retry_at;
    };
    for (Connection* connection : select_if(being_established_, is_due))
        if (connection->is_in(State::awaiting_retry)) try_connect(*connection);
}

void UpstreamPool::fail_overdue_connect(Connection& connection) {
    if (connection.is_in(State::awaiting_retry))
        return on_failure(connection, ExchangeEnd::no_resources,
                          "cannot connect: this machine lacks descriptors, ports or memory");
    // The delay was caused by the gateway's own limit and says nothing about the server.
    if (handshakes_.waits_for_total_limit(connection))
        return on_failure(connection, ExchangeEnd::no_resources,
                          "TLS handshake not started within the dial time-out: handshake limit reached");
    counts_.dial_failed += 1;
    on_failure(connection, ExchangeEnd::dial_failed, "not connected within the dial time-out");
}

void UpstreamPool::fail_overdue_calls(Time now) {
    for (const Call call : queue_.overdue(now, limits_.dial_timeout)) {
        cancel(call);
        handler_.on_failed(call, ExchangeEnd::dial_failed,
                           "no connection became free within the dial time-out");
    }
}

void UpstreamPool::close_all() {
    queue_.clear();
    while (!connections_.empty()) {
        Connection& connection = *connections_.begin()->first;
        detach_call(connection);
        close(connection);
    }
}

UpstreamPool::Counts UpstreamPool::counts() const {
    Counts out = counts_;
    out.connections = connections_.size();
    out.waiting = queue_.size();
    out.handshakes_under_way = handshakes_.under_way();
    out.handshakes_waiting = handshakes_.waiting();
    return out;
}

}  // namespace chalksail::net
