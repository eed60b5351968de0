#include "net/upstream_pool.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <ctime>
#include <utility>

#include "base/backoff.hpp"
#include "net/system_error.hpp"

namespace chalksail::net {

using engine::Ending;

namespace {

constexpr std::size_t kPoolReadBuffer = 64 * 1024;
constexpr std::chrono::milliseconds kPoolSweepInterval{
    10};  // dial time-outs are tens of milliseconds and more
constexpr std::uint64_t kSweepsToIdle = 25;
// Between tries of a dial for which this machine lacks something: the sweep looks when it is over.
constexpr Duration kRedialLeast = std::chrono::milliseconds(5);
constexpr Duration kRedialMost = std::chrono::milliseconds(80);

// What the handshakes of one server are counted by.
std::string gate_key(const std::pair<Address, std::string>& key) {
    return format_address(key.first) + ' ' + key.second;
}

}  // namespace

struct UpstreamPool::Connection {
    uv_tcp_t socket{};
    uv_connect_t connect{};
    UpstreamPool* pool = nullptr;
    Target target;
    std::unique_ptr<tls::Filter> filter;  // where the target wants one
    http::ResponseReader reader;
    enum class State { dialling, idle, busy, closing } state = State::dialling;
    Call call = 0;
    tls::HandshakeLimiter::Id shake = 0;  // 0: not at the gate
    Duration rested{};                    // before this call; of a new connection: zero
    bool heard = false;                   // something of this call's answer has come
    bool written = false;                 // the last byte of this call's request was handed to the kernel
    bool write_failed = false;            // some bytes will never be
    bool sending_ended = false;           // closed for sending: of no use for another call
    bool settled = false;                 // nobody listens to the rest of this answer
    bool paused = false;
    Waiting first;                    // to send once connected
    bool short_of_resources = false;  // its dial has not left this machine yet, and is tried again ...
    Time redial_at{};                 // ... from then on
    Backoff redial{kRedialLeast, kRedialMost};
    Time since{};  // of the state

    Connection(http::Limits limits, Target to) : target(std::move(to)), reader(limits) {}
    [[nodiscard]] uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket); }
};

struct UpstreamPool::WriteJob {
    uv_write_t request{};
    std::string bytes;
    Connection* connection = nullptr;  // its handle outlives its writes
};

UpstreamPool::UpstreamPool(uv_loop_t& loop, Handler& handler, PoolLimits limits)
    : loop_(loop),
      handler_(handler),
      limits_(limits),
      sweep_timer_(loop, [this] { sweep(); }),
      read_buffer_(kPoolReadBuffer),
      gate_(limits.handshakes) {
    sweep_timer_.start_repeating(kPoolSweepInterval);
    sweep_timer_.unref();
}

UpstreamPool::~UpstreamPool() { close_all(); }

void UpstreamPool::start(Call call, const Target& to, std::string_view method, std::string_view target,
                         http::Headers headers, std::string_view body, double worth, bool beyond_limit) {
    http::Headers all;
    all.add("Host", to.tls ? to.tls_name : format_address(to.address));
    for (auto& h : headers.all()) all.add(std::move(h.name), std::move(h.value));
    if (method != "GET") all.add("Content-Length", std::to_string(body.size()));
    Message message{std::string(method), std::string(target), std::move(all), std::string(body)};

    if (Connection* c = take_idle(to.key())) {
        counts_.reused += 1;
        return send(*c, call, std::move(message));
    }
    Host& host = hosts_[to.key()];
    Waiting waiting{call, uv_now_time(), std::move(message), std::make_shared<Target>(to), worth};
    if (host.connections < limits_.per_server) {
        if (may_dial() || beyond_limit) return dial(to, host, std::move(waiting));
        if (host.connections == 0) hosts_.erase(to.key());
        return handler_.on_failed(call, Ending::no_resources,
                                  "connections to all servers are at their limit");
    }
    if (host.waiting.size() >= limits_.queue)
        return handler_.on_failed(call, Ending::no_resources, "queue full");
    queued_.emplace(call, to.key());
    host.waiting.push_back(std::move(waiting));
}

// The one used last: the others may be closed for want of use. One on which something has come, be it the end
// or more than was asked for, is of no use: what is written to it would be lost, or answered by what came
// before.
UpstreamPool::Connection* UpstreamPool::take_idle(const Key& key) {
    const Duration longest = idle_limit_.longest(uv_now_time());
    for (;;) {
        const auto host = hosts_.find(key);
        if (host == hosts_.end() || host->second.idle.empty()) return nullptr;
        auto& idle = host->second.idle;
        const Time rested = uv_now_time() - limits_.rest;
        const auto at =
            std::find_if(idle.rbegin(), idle.rend(), [&](const auto* i) { return i->since <= rested; });
        Connection* c = at == idle.rend() ? idle.back() : *at;
        uv_os_fd_t fd = -1;
        char byte = 0;
        const bool quiet = uv_fileno(reinterpret_cast<uv_handle_t*>(&c->socket), &fd) == 0 &&
                           recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
                           meaning_of(SystemCall::peek, errno) != ErrorMeaning::peer;
        if (quiet && uv_now_time() - c->since <= longest) {
            std::erase(idle, c);
            return c;
        }
        counts_.stale += 1;
        close(*c);
    }
}

bool UpstreamPool::may_dial() {
    if (limits_.connections == 0 || all_.size() < limits_.connections) return true;
    Connection* oldest = nullptr;
    for (Connection* c : all_)
        if (c->state == Connection::State::idle && (oldest == nullptr || c->since < oldest->since))
            oldest = c;
    if (oldest == nullptr) return false;
    close(*oldest);
    return true;
}

void UpstreamPool::connect(Call call, const Target& to) {
    Host& host = hosts_[to.key()];
    // Its connections are all in use: that many are verified already, or will tell.
    if (host.connections >= limits_.per_server || !may_dial())
        return handler_.on_failed(call, Ending::no_resources, "connections are at their limit");
    dial(to, host, {call, uv_now_time(), std::nullopt, std::make_shared<Target>(to), 0});
}

void UpstreamPool::dial(const Target& target, Host& host, Waiting first) {
    auto* c = new Connection(limits_.message, target);
    c->pool = this;
    c->since = first.since;
    c->first = std::move(first);
    c->call = c->first.call;
    uv_tcp_init(&loop_, &c->socket);
    c->socket.data = c;
    c->connect.data = c;
    all_.insert(c);
    dialling_.insert(c);
    busy_.emplace(c->call, c);
    host.connections += 1;
    counts_.dialled += 1;
    connect_now(*c);
}

// Guards against servers that are blamed, and requests that are given up, for a moment in which this machine
// has no descriptor, port or memory: until the dial's time is over it is tried again.
void UpstreamPool::connect_now(Connection& c) {
    const Address& address = c.target.address;
    sockaddr_storage where{};
    if (uv_ip4_addr(address.host.c_str(), address.port, reinterpret_cast<sockaddr_in*>(&where)) != 0)
        uv_ip6_addr(address.host.c_str(), address.port, reinterpret_cast<sockaddr_in6*>(&where));
    const int error = uv_tcp_connect(&c.connect, &c.socket, reinterpret_cast<const sockaddr*>(&where),
                                     [](uv_connect_t* r, int status) {
                                         auto& connection = *static_cast<Connection*>(r->data);
                                         if (connection.state == Connection::State::dialling)
                                             connection.pool->connected(connection, status);
                                     });
    c.short_of_resources = error != 0 && meaning_of(SystemCall::connect, error) != ErrorMeaning::peer;
    if (error == 0) return;
    if (!c.short_of_resources) return connected(c, error);
    counts_.dials_retried += 1;
    c.redial_at = uv_now_time() + c.redial.next();
}

void UpstreamPool::connected(Connection& c, int status) {
    if (status != 0) {
        counts_.dial_failed += 1;
        return broke(c, Ending::dial_failed, uv_strerror(status));
    }
    uv_tcp_nodelay(&c.socket, 1);
    start_reading(c);
    if (!c.target.tls) return ready(c);
    // The handshake is part of the dialling, and in its time-out, and so is the wait at the gate: no byte of
    // a request goes out before its end. It waits connected, so that a server that can't be reached takes no
    // place.
    c.shake = ++last_shake_;
    at_gate_.emplace(c.shake, &c);
    gate_.enter(c.shake, gate_key(c.target.key()), c.first.worth);
    open_gate();
    counts_.handshakes_waiting_most = std::max(counts_.handshakes_waiting_most, gate_.waiting());
}

void UpstreamPool::open_gate() {
    while (const auto id = gate_.next()) shake(*at_gate_.at(*id));
}

void UpstreamPool::shake(Connection& c) {
    counts_.handshakes += 1;
    c.filter = tls::Filter::client(c.target.tls, c.target.tls_name, c.target.sessions, std::time(nullptr));
    const auto first = c.filter->start();
    if (first.fault) return tls_fault(c, *first.fault);
    if (!write(c, first.to_peer)) broke(c, Ending::dial_failed, "closed by the server");
}

// The connection is there: what it was dialled for goes out.
void UpstreamPool::ready(Connection& c) {
    dialling_.erase(&c);
    const Call call = c.call;
    busy_.erase(call);
    if (!c.first.message) {
        c.call = 0;
        rest(c);
        return handler_.on_done(call);
    }
    send(c, call, *std::exchange(c.first.message, std::nullopt));
}

void UpstreamPool::start_reading(Connection& c) {
    uv_read_start(
        c.stream(),
        [](uv_handle_t* h, std::size_t, uv_buf_t* buffer) {
            auto& all = static_cast<Connection*>(h->data)->pool->read_buffer_;
            *buffer = uv_buf_init(all.data(), static_cast<unsigned>(all.size()));
        },
        [](uv_stream_t* s, ssize_t n, const uv_buf_t* buffer) {
            auto& connection = *static_cast<Connection*>(s->data);
            if (n > 0) connection.pool->took(connection, {buffer->base, static_cast<std::size_t>(n)});
            else if (n < 0) connection.pool->peer_closed(connection, static_cast<int>(n));
        });
}

void UpstreamPool::send(Connection& c, Call call, Message message) {
    // Guards against a request that is late for its own purpose: the dial or the queue took its time.
    if (!handler_.on_ready(call, message.headers)) {
        c.call = 0;
        handler_.on_failed(call, Ending::expired, "its time was over before its connection was ready");
        return rest(c);
    }
    c.rested = c.state == Connection::State::idle ? uv_now_time() - c.since : Duration{};
    c.state = Connection::State::busy;
    c.call = call;
    c.settled = c.paused = c.heard = c.written = false;
    c.since = uv_now_time();
    c.reader.reset();
    busy_[call] = &c;
    writing_.insert(&c);
    handler_.on_sent(call);  // from here on it may run, whatever the write says
    std::string bytes = http::format_request_head(message.method, message.target, message.headers);
    bytes += message.body;
    if (!write(c, c.filter ? c.filter->send(bytes).to_peer : std::move(bytes)))
        return broke(c, Ending::closed, "write failed");
    report_if_written(c);
}

void UpstreamPool::report_if_written(Connection& c) {
    if (c.state != Connection::State::busy || c.written || c.write_failed) return;
    if (uv_stream_get_write_queue_size(c.stream()) != 0) return;
    c.written = true;
    writing_.erase(&c);
    if (!c.settled) handler_.on_written(c.call);
}

void UpstreamPool::report_written() {
    for (auto* c : std::vector<Connection*>(writing_.begin(), writing_.end())) report_if_written(*c);
}

bool UpstreamPool::write(Connection& c, std::string bytes) {
    if (bytes.empty()) return true;
    // Most requests fit into the socket's buffer: they are out when this returns, without a job of their own.
    if (uv_stream_get_write_queue_size(c.stream()) == 0) {
        uv_buf_t all = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
        const int done = uv_try_write(c.stream(), &all, 1);
        if (done < 0 && done != UV_EAGAIN) return false;
        if (done == static_cast<int>(bytes.size())) return true;
        if (done > 0) bytes.erase(0, static_cast<std::size_t>(done));
    }
    auto* job = new WriteJob;
    job->bytes = std::move(bytes);
    job->request.data = job;
    job->connection = &c;
    uv_buf_t buffer = uv_buf_init(job->bytes.data(), static_cast<unsigned>(job->bytes.size()));
    const int error = uv_write(&job->request, c.stream(), &buffer, 1, [](uv_write_t* w, int status) {
        const std::unique_ptr<WriteJob> over(static_cast<WriteJob*>(w->data));
        Connection& owner = *over->connection;
        // Guards against the queue's size after an error: libuv takes off what will never be written. The
        // failure itself is seen by the reader too, as the end of the connection.
        if (status < 0) owner.write_failed = true;
        else owner.pool->report_if_written(owner);
    });
    if (error != 0) delete job;
    return error == 0;
}

void UpstreamPool::took(Connection& c, std::string_view bytes) {
    if (!c.filter) {
        if (!c.target.tls) return plain(c, bytes);
        // Guards against a server that speaks first: it can only be one in the clear.
        counts_.dial_failed += 1;
        return broke(c, Ending::dial_failed, "TLS: spoke before the handshake");
    }
    auto step = c.filter->from_peer(bytes);
    write(c, std::move(step.to_peer));
    if (step.connected) {
        counts_.handshakes_resumed += c.filter->resumed() ? 1 : 0;
        gate_.leave(c.shake);
        at_gate_.erase(std::exchange(c.shake, 0));
        ready(c);
        open_gate();
    }
    if (!step.plain.empty() && c.state != Connection::State::closing) plain(c, step.plain);
    if (c.state == Connection::State::closing) return;
    if (step.fault) return tls_fault(c, *step.fault);
    if (step.ended) ended(c);
}

void UpstreamPool::peer_closed(Connection& c, int result) {
    // Guards against a break that is taken for an end: an answer without a length would be whole with it.
    if (result != UV_EOF && c.state == Connection::State::busy)
        return broke(c, Ending::closed, std::string("connection broke: ") + uv_err_name(result));
    if (!c.filter) return ended(c);
    // Without close_notify a cut looks like an end: it is never taken for the end of an answer.
    const auto step = c.filter->peer_closed();
    if (step.fault) return tls_fault(c, *step.fault);
    ended(c);
}

void UpstreamPool::tls_fault(Connection& c, const tls::Fault& fault) {
    if (c.state == Connection::State::idle) return close(c);
    if (c.state != Connection::State::dialling) return broke(c, Ending::closed, "TLS: " + fault.text);
    counts_.dial_failed += 1;
    counts_.handshakes_failed += 1;
    const bool unproved = fault.kind == tls::FaultKind::verification;
    broke(c, unproved ? Ending::unverified : Ending::dial_failed,
          (unproved ? "TLS, not verified: " : "TLS: ") + fault.text);
}

void UpstreamPool::plain(Connection& c, std::string_view bytes) {
    if (c.state != Connection::State::busy) return close(c);  // nothing was asked for
    if (!std::exchange(c.heard, true) && c.rested > Duration::zero())
        idle_limit_.used(uv_now_time(), c.rested, {}, false);
    pieces(c, c.reader.feed(bytes));
}

void UpstreamPool::ended(Connection& c) {
    if (c.state == Connection::State::idle) return close(c);
    if (c.state == Connection::State::dialling) return broke(c, Ending::dial_failed, "closed by the server");
    auto rest = c.reader.close();
    const bool had = !rest.empty();
    if (had) pieces(c, std::move(rest));
    if (c.state == Connection::State::busy) broke(c, Ending::closed, "closed by the server");
}

void UpstreamPool::pieces(Connection& c, std::vector<http::ResponsePiece> all) {
    const Call call = c.call;
    for (auto& piece : all) {
        if (c.state != Connection::State::busy || c.call != call) return;
        if (std::holds_alternative<http::ResponseEnd>(piece)) {
            const bool keep = std::get<http::ResponseEnd>(piece).keep_alive;
            const bool heard = !c.settled;
            finish(c, keep);
            if (heard) handler_.on_done(call);
            return;
        }
        if (auto* fault = std::get_if<http::Fault>(&piece))
            return broke(c, fault->cut ? Ending::closed : Ending::bad_answer, fault->text);
        if (c.settled) continue;
        if (auto* head = std::get_if<http::ResponseHead>(&piece))
            handler_.on_head(call, head->status, std::move(head->headers));
        else handler_.on_body(call, std::move(std::get<http::BodyPiece>(piece).bytes));
    }
}

// The answer is whole: the connection waits for the next call, or goes.
void UpstreamPool::finish(Connection& c, bool keep) {
    // Guards against an answer before its request's last byte: the rest would go out ahead of the next
    // request, and be answered in its place.
    const bool in_order = uv_stream_get_write_queue_size(c.stream()) == 0 && !c.write_failed;
    busy_.erase(c.call);
    writing_.erase(&c);
    c.call = 0;
    if (!keep || c.paused || c.sending_ended || !in_order) return close(c);
    rest(c);
}

// It waits for the next call, or is given what waits.
void UpstreamPool::rest(Connection& c) {
    c.state = Connection::State::idle;
    c.since = uv_now_time();
    const Key key = c.target.key();
    hosts_[key].idle.push_back(&c);
    next(key);
}

void UpstreamPool::broke(Connection& c, Ending ending, const std::string& detail) {
    const Call call = c.call;
    const bool told = !c.settled;
    report_if_written(c);
    // Tells a kept connection that was no longer good from a server that died.
    std::string why = detail;
    if (c.state == Connection::State::busy && !c.heard && c.rested > Duration::zero()) {
        const Time now = uv_now_time();
        idle_limit_.used(now, c.rested, now - c.since, true);
        why += "; kept, unused for " +
               format_duration(std::chrono::duration_cast<std::chrono::milliseconds>(c.rested));
    }
    busy_.erase(call);
    c.call = 0;
    close(c);
    if (told) handler_.on_failed(call, ending, why);
}

void UpstreamPool::close(Connection& c) {
    if (c.state == Connection::State::closing) return;
    c.state = Connection::State::closing;
    all_.erase(&c);
    dialling_.erase(&c);
    writing_.erase(&c);
    const bool at_gate = c.shake != 0;
    if (at_gate) {
        gate_.leave(c.shake);
        at_gate_.erase(std::exchange(c.shake, 0));
    }
    if (c.filter && c.filter->connected()) {
        std::string bye = c.filter->close().to_peer;  // if it goes out at once; nobody waits for it
        uv_buf_t buffer = uv_buf_init(bye.data(), static_cast<unsigned>(bye.size()));
        uv_try_write(c.stream(), &buffer, 1);
    }
    const Key key = c.target.key();
    Host& host = hosts_[key];
    host.connections -= 1;
    std::erase(host.idle, &c);
    uv_close(reinterpret_cast<uv_handle_t*>(&c.socket),
             [](uv_handle_t* h) { delete static_cast<Connection*>(h->data); });
    next(key);
    if (const auto it = hosts_.find(key);
        it != hosts_.end() && it->second.connections == 0 && it->second.waiting.empty())
        hosts_.erase(it);
    if (at_gate) open_gate();
}

// Gives what waits for this server to a connection, if one is there or may be made.
void UpstreamPool::next(const Key& key) {
    // What waits for a handshake takes a connection that has become free: one handshake less for the server.
    const auto waits_at_gate = [&]() -> Connection* {
        const auto id = gate_.waiting_for(gate_key(key));
        return id && at_gate_.at(*id)->first.message ? at_gate_.at(*id) : nullptr;
    };
    while (waits_at_gate() != nullptr) {
        Connection* const free = take_idle(key);
        if (free == nullptr) break;
        Connection* const still = waits_at_gate();
        if (still == nullptr) {  // given to another while a stale one was closed
            hosts_[key].idle.push_back(free);
            break;
        }
        Connection& late = *still;
        const Call call = std::exchange(late.call, 0);
        Message message = *std::exchange(late.first.message, std::nullopt);
        busy_.erase(call);
        close(late);
        counts_.reused += 1;
        send(*free, call, std::move(message));
    }
    if (const auto it = hosts_.find(key); it == hosts_.end() || it->second.waiting.empty()) return;
    Connection* const c = take_idle(key);
    const auto it = hosts_.find(key);
    if (it == hosts_.end()) return;
    Host& host = it->second;
    if (host.waiting.empty()) {  // given to another while a stale one was closed
        if (c != nullptr) host.idle.push_back(c);
        return;
    }
    if (c == nullptr && (host.connections >= limits_.per_server || !may_dial())) return;
    Waiting w = std::move(host.waiting.front());
    host.waiting.pop_front();
    queued_.erase(w.call);
    if (c == nullptr) {
        const auto target = w.target;
        return dial(*target, host, std::move(w));
    }
    counts_.reused += 1;
    send(*c, w.call, std::move(*w.message));
}

void UpstreamPool::cancel(Call call) {
    if (const auto q = queued_.find(call); q != queued_.end()) {
        auto& waiting = hosts_[q->second].waiting;
        std::erase_if(waiting, [&](const Waiting& w) { return w.call == call; });
        queued_.erase(q);
        return;
    }
    const auto it = busy_.find(call);
    if (it == busy_.end()) return;
    Connection& c = *it->second;
    busy_.erase(it);
    c.call = 0;
    c.settled = true;
    close(c);
}

void UpstreamPool::end_sending(Call call) {
    const auto it = busy_.find(call);
    if (it == busy_.end() || it->second->state != Connection::State::busy) return;
    Connection& c = *it->second;
    c.sending_ended = true;
    uv_os_fd_t fd = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&c.socket), &fd) == 0) shutdown(fd, SHUT_WR);
}

void UpstreamPool::settle(Call call) {
    const auto it = busy_.find(call);
    if (it == busy_.end()) return;
    it->second->settled = true;
    it->second->since = uv_now_time();
}

void UpstreamPool::flow(Call call, bool paused) {
    const auto it = busy_.find(call);
    if (it == busy_.end()) return;
    Connection& c = *it->second;
    if (c.paused == paused || c.state != Connection::State::busy) return;
    c.paused = paused;
    if (paused) {
        uv_read_stop(c.stream());
        return;
    }
    start_reading(c);
}

void UpstreamPool::sweep() {
    const Time now = uv_now_time();
    std::vector<Connection*> late;
    std::vector<Connection*> unused;
    for (Connection* c : dialling_)
        if (now - c->since > limits_.dial_timeout) late.push_back(c);
    // Idle times are seconds long: a look now and then is exact enough.
    if (++sweeps_ % kSweepsToIdle == 0)
        for (Connection* c : all_) {
            if (c->state == Connection::State::idle && now - c->since > limits_.idle) unused.push_back(c);
            if (c->state == Connection::State::busy && c->settled && now - c->since > limits_.settle)
                unused.push_back(c);
        }
    for (Connection* c : unused) {
        if (c->state == Connection::State::busy) {
            busy_.erase(c->call);
            c->call = 0;
        }
        close(*c);
    }
    std::vector<Connection*> redial;
    for (Connection* c : dialling_)
        if (c->short_of_resources && now >= c->redial_at) redial.push_back(c);
    for (Connection* c : redial)
        if (c->state == Connection::State::dialling) connect_now(*c);
    for (Connection* c : late)
        if (c->state == Connection::State::dialling) {
            if (c->short_of_resources) {
                broke(*c, Ending::no_resources, "this machine is short of descriptors, ports or memory");
                continue;
            }
            // Kept waiting by this gateway's own limit: no word on the server.
            if (gate_.waits_for_all(c->shake)) {
                broke(*c, Ending::no_resources, "no handshake in time: all places are taken");
                continue;
            }
            counts_.dial_failed += 1;
            broke(*c, Ending::dial_failed, "no connection in time");
        }
    std::vector<Call> waited;
    for (const auto& [call, address] : queued_) {
        const auto& queue = hosts_[address].waiting;
        const auto w = std::find_if(queue.begin(), queue.end(),
                                    [&, id = call](const Waiting& x) { return x.call == id; });
        if (w != queue.end() && now - w->since > limits_.dial_timeout) waited.push_back(call);
    }
    std::sort(waited.begin(), waited.end());
    for (const Call call : waited) {
        cancel(call);
        handler_.on_failed(call, Ending::dial_failed, "no free connection in time");
    }
}

void UpstreamPool::close_all() {
    for (auto& [address, host] : hosts_) {
        for (const auto& w : host.waiting) queued_.erase(w.call);
        host.waiting.clear();
    }
    for (Connection* c : std::vector<Connection*>(all_.begin(), all_.end())) {
        busy_.erase(c->call);
        c->call = 0;
        close(*c);
    }
}

UpstreamPool::Counts UpstreamPool::counts() const {
    Counts out = counts_;
    out.connections = all_.size();
    out.waiting = queued_.size();
    out.handshakes_under_way = gate_.under_way();
    out.handshakes_waiting = gate_.waiting();
    return out;
}

}  // namespace chalksail::net
