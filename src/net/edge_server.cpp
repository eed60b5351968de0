#include "net/edge_server.hpp"

#include <algorithm>
#include <cctype>
#include <ctime>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "chat/request.hpp"
#include "net/tls/certificate_reloader.hpp"

namespace chalksail::net {
namespace {

constexpr std::uint64_t kDrainLookMs = 20;
constexpr Duration kAcceptLogPause = std::chrono::seconds(1);  // a shortage gives many errors: one line each

ServerLimits client_limits(const config::EdgeLimits& l) {
    ServerLimits out;
    out.message = {l.head_bytes, l.body_bytes};
    out.unfinished_bytes = l.unfinished_bytes;
    out.idle_connections.connections = static_cast<std::size_t>(l.connections);
    out.idle_connections.first = l.first_timeout;
    out.idle_connections.idle = l.idle_timeout;
    out.idle_connections.pressed = l.idle_pressed;
    out.idle_connections.linger = l.linger;
    out.stream_buffer = l.stream_buffer;
    out.pipelined_bytes = l.pipelined_bytes;
    out.discarded_bytes = l.discarded_bytes;
    out.head_timeout = l.head_timeout;
    out.body_timeout = l.body_timeout;
    out.request_idle = l.request_idle;
    out.stall_timeout = l.stall_timeout;
    return out;
}
ServerLimits admin_limits(const config::EdgeLimits& l) {
    ServerLimits out = client_limits(l);
    out.idle_connections.connections = static_cast<std::size_t>(l.admin_connections);
    return out;
}
PoolLimits pool_limits(const config::EdgeSettings& s) {
    PoolLimits out;
    out.message = {s.limits.head_bytes, 0, s.limits.chunk_bytes};
    out.per_server = static_cast<std::size_t>(s.limits.per_server);
    out.queue = static_cast<std::size_t>(s.limits.dial_queue);
    out.connections = static_cast<std::size_t>(s.limits.server_connections);
    out.dial_timeout = s.module.dial_timeout;
    out.idle = s.limits.server_idle;
    out.rest = s.limits.server_preferred_idle;
    out.settle = s.limits.release_timeout;
    out.handshakes = {static_cast<std::size_t>(s.limits.handshakes),
                      static_cast<std::size_t>(s.limits.handshakes_per_server)};
    return out;
}
ClockOffset offset_now() {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {uv_now_time().time_since_epoch() - std::chrono::duration_cast<Duration>(wall)};
}
// A kind's name as a part of a metric's.
std::string metric_word(std::string name) {
    for (auto& c : name)
        if (std::isalnum(static_cast<unsigned char>(c)) == 0) c = '_';
    return name;
}
// When this turn of the loop began to read its sockets; exact to the loop's milliseconds.
Time turn_begin(const uv_loop_t& loop) {
    return Time(std::chrono::milliseconds(static_cast<std::int64_t>(uv_now(&loop))));
}
std::string milliseconds_text(Duration d) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) + " ms";
}
void close_timer(uv_timer_t*& timer) {
    if (timer == nullptr) return;
    uv_timer_stop(timer);
    uv_close(reinterpret_cast<uv_handle_t*>(timer),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_timer_t*>(h); });
    timer = nullptr;
}

std::shared_ptr<const engine::Vocabulary> vocabulary_of(const config::CacheEvents& c) {
    if (c.vocabulary != config::Vocabulary::tokenizer) return nullptr;
    std::ifstream in(c.tokenizer, std::ios::binary);
    if (!in) throw std::runtime_error("cache-events: " + c.tokenizer + ": can't be read");
    auto read = engine::Vocabulary::parse(std::string{std::istreambuf_iterator<char>(in), {}});
    if (!read) throw std::runtime_error("cache-events: " + c.tokenizer + ": " + read.error());
    return std::make_shared<const engine::Vocabulary>(std::move(*read));
}

}  // namespace

struct EdgeServer::AdminHandler : HttpServer::Handler {
    explicit AdminHandler(EdgeServer& owner) : shell(owner) {}
    void on_request(HttpServer::Peer peer, http::Request request) override {
        shell.admin_request(peer, request);
    }
    void on_closed(HttpServer::Peer, const ConnectionEnd&) override {}
    EdgeServer& shell;
};

EdgeServer::EdgeServer(uv_loop_t& loop, const config::EdgeSettings& settings, observe::Log& log,
                       std::unique_ptr<membership::EndpointSource> list)
    : loop_(loop),
      settings_(settings),
      log_(log),
      metrics_(settings.name),
      edge_(settings, vocabulary_of(settings.cache_events)),
      admin_handler_(std::make_unique<AdminHandler>(*this)),
      list_(std::move(list)) {
    std::set<std::string> kinds;
    for (const auto& k : settings_.kinds) kinds.insert(k.name);
    if (list_ == nullptr) {
        settings_source_ = std::make_unique<SettingsSource>(settings_);
        admin_source_ = std::make_unique<AdminSource>(std::move(kinds), offset_now());
    }
    for (const auto& k : settings_.kinds) {
        if (!k.tls) continue;
        auto& certificate_reloader = tls_.try_emplace(k.name, *k.tls).first->second;
        if (certificate_reloader.poll(std::time(nullptr)) != tls::CertificateReloader::PollResult::replaced)
            throw std::runtime_error("kind '" + k.name + "': " + certificate_reloader.error());
    }
    if (settings_.listener_tls) {
        listener_tls_.emplace(*settings_.listener_tls);
        if (listener_tls_->poll(std::time(nullptr)) != tls::CertificateReloader::PollResult::replaced)
            throw std::runtime_error("listener: " + listener_tls_->error());
    }
    clients_ = std::make_unique<HttpServer>(loop_, static_cast<HttpServer::Handler&>(*this),
                                            client_limits(settings_.limits));
    if (settings_.admin)
        admin_ = std::make_unique<HttpServer>(loop_, *admin_handler_, admin_limits(settings_.limits));
    servers_ = std::make_unique<UpstreamPool>(loop_, static_cast<UpstreamPool::Handler&>(*this),
                                              pool_limits(settings_));
    if (listener_tls_) clients_->set_tls(listener_tls_->context());
    if (std::any_of(settings_.kinds.begin(), settings_.kinds.end(),
                    [](const auto& k) { return k.cache_events; })) {
        CacheFeed::Limits limits;
        limits.message = settings_.cache_events.message_bytes;
        limits.queue = static_cast<int>(settings_.cache_events.queue);
        limits.each_turn = static_cast<int>(settings_.cache_events.turn_messages);
        limits.each_turn_bytes = std::max<std::size_t>(1, settings_.cache_events.turn_bytes);
        limits.reconnect_least = settings_.cache_events.reconnect_least;
        limits.reconnect_most = settings_.cache_events.reconnect_most;
        caches_ = std::make_unique<CacheFeed>(loop_, static_cast<CacheFeed::Handler&>(*this), limits);
        if (const auto& c = settings_.cache_events; !c.snapshots.empty()) {
            snapshots_ =
                std::make_unique<store::Store>(c.snapshots + "/" + settings_.name, c.snapshots_bytes);
            if (snapshots_->set_aside())
                log_.warn("cache_snapshots", "the file was not usable, and is set aside");
            inputs_.emplace_back(core::CacheSnapshots{snapshots_->all()});
        }
    }
    address_ = clients_->listen(
        settings_.listen, listener_tls_ ? HttpServer::ProtocolKind::tls : HttpServer::ProtocolKind::clear);
    if (admin_) admin_address_ = admin_->listen(*settings_.admin);

    turn_ = new uv_idle_t;
    uv_idle_init(&loop_, turn_);
    uv_unref(reinterpret_cast<uv_handle_t*>(turn_));
    check_ = new uv_check_t;
    uv_check_init(&loop_, check_);
    check_->data = this;
    uv_check_start(check_, [](uv_check_t* c) {
        auto& shell = *static_cast<EdgeServer*>(c->data);
        const Time begun = turn_begin(shell.loop_);
        shell.pump();
        shell.note_slow_turn(begun);
        if (std::exchange(shell.drain_look_due_, false)) shell.look_at_drain();
    });
    uv_unref(reinterpret_cast<uv_handle_t*>(check_));
    wake_ = new uv_timer_t;
    uv_timer_init(&loop_, wake_);
    wake_->data = this;
    if (!tls_.empty() || listener_tls_) {
        reload_timer_ = new uv_timer_t;
        uv_timer_init(&loop_, reload_timer_);
        reload_timer_->data = this;
        const auto look = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(settings_.limits.tls_poll_interval)
                .count());
        uv_timer_start(
            reload_timer_,
            [](uv_timer_t* t) {
                auto& shell = *static_cast<EdgeServer*>(t->data);
                shell.reload_tls();
                shell.pump_soon();
            },
            look, look);
        uv_unref(reinterpret_cast<uv_handle_t*>(reload_timer_));
    }
    if (list_) {
        list_->start(*this);
    } else {
        admin_source_->start(*this);
        settings_source_->start(*this);
    }
    pump();
}

EdgeServer::~EdgeServer() { finish(); }

// Timers run before the sockets are read: what has come counts before what a time-out decides.
void EdgeServer::pump_soon() {
    if (!finished_) uv_idle_start(turn_, [](uv_idle_t*) {});
}

void EdgeServer::add(core::Input input) {
    inputs_.emplace_back(std::move(input));
    pump_soon();
}

void EdgeServer::on_request(HttpServer::Peer peer, http::Request request) {
    add(core::ClientRequest{{peer}, std::move(request)});
}
void EdgeServer::on_closed(HttpServer::Peer peer, const ConnectionEnd& end) {
    add(core::ClientClosed{{peer}, describe(end)});
}
void EdgeServer::on_idle_closed(const ConnectionEnd& end) { log_.debug("client_closed", describe(end)); }
void EdgeServer::on_accept_failed(int error) {
    const Time now = uv_now_time();
    accept_errors_ += 1;
    if (now < accept_logged_ + kAcceptLogPause) return;
    accept_logged_ = now;
    log_.warn("accept_failed", std::string(uv_err_name(-error)) + "; connections wait in the backlog; " +
                                   std::to_string(accept_errors_) + " such errors since the start");
}
void EdgeServer::on_backlog(HttpServer::Peer peer, bool full) { add(core::ClientBacklog{{peer}, full}); }
bool EdgeServer::on_ready(UpstreamPool::Call call, http::Headers& headers) {
    return edge_.may_begin(uv_now_time(), {call}, headers);
}
void EdgeServer::on_sent(UpstreamPool::Call call) { add(core::CallSent{{call}}); }
void EdgeServer::on_written(UpstreamPool::Call call) { add(core::CallWritten{{call}}); }
void EdgeServer::on_head(UpstreamPool::Call call, int status, http::Headers headers) {
    add(core::CallHead{{call}, status, std::move(headers)});
}
void EdgeServer::on_body(UpstreamPool::Call call, std::string bytes) {
    add(core::CallBody{{call}, std::move(bytes)});
}
void EdgeServer::on_done(UpstreamPool::Call call) { add(core::CallDone{{call}}); }
void EdgeServer::on_failed(UpstreamPool::Call call, engine::Ending ending, std::string detail) {
    add(core::CallFailed{{call}, ending, std::move(detail)});
}

void EdgeServer::on_cache_message(const std::string& server, std::uint64_t sequence, std::string payload,
                                  bool replayed) {
    add(core::CacheEventMessage{server, sequence, std::move(payload), replayed});
}
void EdgeServer::on_cache_replay_ended(const std::string& server) { add(core::CacheReplayEnded{server}); }

void EdgeServer::pump() {
    if (pumping_ || finished_) return;
    pumping_ = true;
    for (;;) {
        servers_->report_written();
        const Time now = uv_now_time();
        const auto wake = edge_.next_wake();
        if (inputs_.empty() && (!wake || *wake > now)) break;
        for (auto& output : edge_.step(now, std::exchange(inputs_, {}))) carry_out(output);
        clients_->flush();
    }
    if (admin_) admin_->flush();
    uv_idle_stop(turn_);
    if (const auto wake = edge_.next_wake()) {
        const auto left =
            std::chrono::duration_cast<std::chrono::microseconds>(*wake - uv_now_time()).count();
        const auto ms = static_cast<std::uint64_t>(std::max<std::int64_t>(0, (left + 999) / 1000));
        uv_update_time(&loop_);
        uv_timer_start(
            wake_, [](uv_timer_t* t) { static_cast<EdgeServer*>(t->data)->pump_soon(); }, ms, 0);
    } else {
        uv_timer_stop(wake_);
    }
    pumping_ = false;
}

void EdgeServer::note_slow_turn(Time begun) {
    const auto report = slow_turns_.ended(begun, uv_now_time());
    if (!report) return;
    log_.warn("slow_turn", "the loop stood still for " + milliseconds_text(report->longest) +
                               " at worst; such turns: " + std::to_string(report->count) + "; " +
                               std::to_string(edge_.gauges().open_requests) + " requests are open, " +
                               std::to_string(edge_.endpoint_count()) + " servers known");
}

void EdgeServer::reload_tls() {
    const auto look = [&](tls::CertificateReloader& certificate_reloader, const std::string& whose) {
        const auto looked = certificate_reloader.poll(std::time(nullptr));
        if (looked == tls::CertificateReloader::PollResult::replaced) {
            ++tls_replaced_;
            log_.info("tls_replaced", whose + ": new files are in use");
        }
        if (looked == tls::CertificateReloader::PollResult::refused) {
            ++tls_refused_;
            log_.error("tls_refused",
                       whose + ": " + certificate_reloader.error() + "; the last good files stay in use");
        }
        return looked == tls::CertificateReloader::PollResult::replaced;
    };
    bool trust_changed = false;
    for (auto& [kind, certificate_reloader] : tls_)
        trust_changed = look(certificate_reloader, "kind '" + kind + "'") || trust_changed;
    if (trust_changed) inputs_.emplace_back(core::TrustStoreChanged{});
    if (listener_tls_ && look(*listener_tls_, "listener")) clients_->set_tls(listener_tls_->context());
}

Target EdgeServer::target_of(const core::Call& call) {
    Target out(call.address);
    const auto it = tls_.find(call.server_kind);
    if (it == tls_.end()) return out;
    out.tls = it->second.context();
    out.tls_name = tls::expected_name(it->second.pattern(), call.server);
    out.sessions = &it->second.sessions();
    return out;
}

void EdgeServer::carry_out(core::Output& output) {
    if (auto* bytes = std::get_if<core::StreamBytes>(&output)) {
        clients_->stream(bytes->client.value, bytes->bytes);
    } else if (auto* reply = std::get_if<core::SendResponse>(&output)) {
        clients_->reply(reply->client.value, reply->status, std::move(reply->headers), reply->body);
    } else if (auto* begin = std::get_if<core::StreamBegin>(&output)) {
        clients_->begin_stream(begin->client.value, std::move(begin->headers));
    } else if (auto* end = std::get_if<core::StreamEnd>(&output)) {
        clients_->end_stream(end->client.value);
    } else if (const auto* cut = std::get_if<core::AbortStream>(&output)) {
        clients_->cut(cut->client.value);
    } else if (auto* call = std::get_if<core::Call>(&output)) {
        if (call->kind == core::CallKind::verify)
            return servers_->connect(call->call.value, target_of(*call));
        servers_->start(call->call.value, target_of(*call), call->method, call->target,
                        std::move(call->headers), call->body, call->priority,
                        call->kind == core::CallKind::release);
    } else if (const auto* abort = std::get_if<core::CallAbort>(&output)) {
        servers_->cancel(abort->call.value);
    } else if (const auto* ends = std::get_if<core::HalfCloseCall>(&output)) {
        servers_->end_sending(ends->call.value);
    } else if (const auto* settled = std::get_if<core::CompleteCall>(&output)) {
        servers_->settle(settled->call.value);
    } else if (const auto* flow = std::get_if<core::SetCallPaused>(&output)) {
        servers_->flow(flow->call.value, flow->paused);
    } else if (const auto* follow = std::get_if<core::SubscribeCacheEvents>(&output)) {
        try {
            caches_->follow(follow->server, follow->events, follow->replay);
        } catch (const std::runtime_error& error) {
            // Its text is guessed, as if it published nothing.
            log_.error("cache_events", error.what());
        }
    } else if (const auto* leave = std::get_if<core::UnsubscribeCacheEvents>(&output)) {
        caches_->leave(leave->server);
    } else if (const auto* replay = std::get_if<core::ReplayCacheEvents>(&output)) {
        caches_->replay(replay->server, replay->from);
    } else if (const auto* keep = std::get_if<core::StoreCacheSnapshot>(&output)) {
        store_snapshot([&] {
            snapshots_->put(keep->server, keep->snapshot);
            snapshots_written_ += 1;
        });
    } else if (const auto* drop = std::get_if<core::DropCacheSnapshot>(&output)) {
        store_snapshot([&] { snapshots_->erase(drop->server); });
    } else if (const auto* note = std::get_if<core::EmitRecord>(&output)) {
        if (admin_) metrics_.count(note->record);  // else nobody can ask for them
        log_.write(note->record);
    } else if (const auto* gone = std::get_if<core::EndpointForgotten>(&output)) {
        metrics_.forget(gone->server);
    }
}

void EdgeServer::apply(membership::EndpointList update) { add(std::move(update)); }

void EdgeServer::admin_request(HttpServer::Peer peer, const http::Request& request) {
    http::Headers headers;
    headers.add("Content-Type", "application/json");
    const auto path = request.path();
    if (path == "/servers" && admin_source_ == nullptr)
        return admin_->reply(peer, 404, headers,
                             chat::format_error({404, "the list comes from elsewhere",
                                                 "invalid_request_error", "", "not_found"}));
    if (path == "/servers" && request.method == "POST") {
        if (const auto wrong = admin_source_->post(request.body)) {
            log_.warn("list_refused", *wrong);
            return admin_->reply(peer, 400, headers,
                                 chat::format_error({400, *wrong, "invalid_request_error", "servers", ""}));
        }
        // Whoever gets this answer knows that the edge has been told.
        return admin_->reply(peer, 200, headers, R"({"taken":true})");
    }
    if (path == "/servers" && request.method == "GET")
        return admin_->reply(peer, 200, headers,
                             format_server_list(edge_.endpoints(), admin_source_->offset()));
    if (path == "/metrics" && request.method == "GET") {
        const auto g = edge_.gauges();
        const auto c = clients_->counts();
        const auto s = servers_->counts();
        metrics_.set("open_requests", static_cast<double>(g.open_requests));
        metrics_.set("started_streams", static_cast<double>(g.started_streams));
        metrics_.set("calls_out", static_cast<double>(g.calls));
        metrics_.set("states_held", static_cast<double>(g.kv_states_held));
        metrics_.set("client_connections", static_cast<double>(c.connections));
        metrics_.set("client_connections_over_limit", static_cast<double>(c.over_limit));
        metrics_.set("client_accept_errors", static_cast<double>(accept_errors_));
        metrics_.set("client_bad_requests", static_cast<double>(c.bad_requests));
        metrics_.set("client_stalled", static_cast<double>(c.stalled));
        metrics_.set("client_timed_out", static_cast<double>(c.timed_out));
        metrics_.set("server_connections", static_cast<double>(s.connections));
        metrics_.set("server_dials", static_cast<double>(s.dialled));
        metrics_.set("server_dials_failed", static_cast<double>(s.dial_failed));
        metrics_.set("server_connections_reused", static_cast<double>(s.reused));
        metrics_.set("servers_not_verified", static_cast<double>(g.unverified_servers));
        metrics_.set("tls_handshakes_under_way", static_cast<double>(s.handshakes_under_way));
        metrics_.set("tls_handshakes_waiting", static_cast<double>(s.handshakes_waiting));
        metrics_.set("tls_files_replaced", static_cast<double>(tls_replaced_));
        metrics_.set("tls_handshakes_waiting_most", static_cast<double>(s.handshakes_waiting_most));
        metrics_.set("tls_files_refused", static_cast<double>(tls_refused_));
        metrics_.set("tls_handshakes", static_cast<double>(s.handshakes));
        metrics_.set("tls_handshakes_resumed", static_cast<double>(s.handshakes_resumed));
        metrics_.set("tls_handshakes_failed", static_cast<double>(s.handshakes_failed));
        if (listener_tls_) {
            metrics_.set("listener_tls_valid_seconds",
                         static_cast<double>(listener_tls_->context()->valid_until() - std::time(nullptr)));
            metrics_.set("listener_tls_handshakes", static_cast<double>(c.handshakes));
            metrics_.set("listener_tls_handshakes_resumed", static_cast<double>(c.handshakes_resumed));
            metrics_.set("listener_tls_handshakes_failed", static_cast<double>(c.handshakes_failed));
        }
        for (const auto& [kind, certificate_reloader] : tls_)
            metrics_.set(
                "tls_valid_seconds_" + metric_word(kind),
                static_cast<double>(certificate_reloader.context()->valid_until() - std::time(nullptr)));
        if (caches_) {
            const auto& p = g.prefixes;
            const auto heard = caches_->counts();
            metrics_.set("prefix_servers_followed", static_cast<double>(heard.followed));
            metrics_.set("prefix_servers_told", static_cast<double>(p.trusted));
            metrics_.set("prefix_blocks", static_cast<double>(p.blocks));
            metrics_.set("prefix_messages", static_cast<double>(p.messages));
            metrics_.set("prefix_messages_bad", static_cast<double>(p.malformed_messages + heard.malformed));
            metrics_.set("prefix_gaps", static_cast<double>(p.gaps));
            metrics_.set("prefix_gaps_unfilled", static_cast<double>(p.unfilled_gaps));
            metrics_.set("prefix_restarts", static_cast<double>(p.restarts));
            metrics_.set("prefix_snapshots_written", static_cast<double>(snapshots_written_));
            metrics_.set("prefix_snapshots_proved", static_cast<double>(p.snapshots_verified));
            metrics_.set("prefix_snapshots_unproved", static_cast<double>(p.snapshots_discarded));
        }
        metrics_.set("server_queue", static_cast<double>(s.waiting));
        http::Headers text;
        text.add("Content-Type", "text/plain; version=0.0.4");
        return admin_->reply(peer, 200, text, metrics_.page());
    }
    if (path == "/health" && request.method == "GET")
        return admin_->reply(peer, shutdown_ ? 503 : 200, headers,
                             shutdown_ ? R"({"status":"draining"})" : R"({"status":"ok"})");
    admin_->reply(peer, 404, headers,
                  chat::format_error({404, "no such path", "invalid_request_error", "", "not_found"}));
}

void EdgeServer::drain() {
    if (shutdown_) return;
    const Time now = uv_now_time();
    shutdown_.emplace(now, settings_.limits);
    log_.info("drain", "stops accepting; " + std::to_string(edge_.gauges().open_requests) +
                           " requests are open; new ones are taken for " +
                           milliseconds_text(settings_.limits.drain_grace));
    // Clients go on with the connections that they have: each that is closed early may cost the request that
    // is on its way there.
    if (settings_.limits.drain_grace > Duration::zero())
        add(core::ShutdownAnnounced{now + settings_.limits.drain_answers});
    else take_step(shutdown_->next(now));
    drain_timer_ = new uv_timer_t;
    uv_timer_init(&loop_, drain_timer_);
    drain_timer_->data = this;
    uv_timer_start(
        drain_timer_,
        [](uv_timer_t* t) {
            auto& shell = *static_cast<EdgeServer*>(t->data);
            shell.drain_look_due_ = true;
            shell.pump_soon();
        },
        kDrainLookMs, kDrainLookMs);
}

// Called behind a turn's reads. Guards against a listener that is closed over connections that nobody has
// accepted: with what was written to them they would be reset.
void EdgeServer::look_at_drain() {
    const Time now = uv_now_time();
    take_step(shutdown_->next(now));
    const auto gauges = edge_.gauges();
    const core::Shutdown::Outstanding outstanding{gauges.open_requests, gauges.calls,
                                                  clients_->counts().connections, clients_->listening()};
    if (shutdown_->over(now, outstanding)) finish();
}

void EdgeServer::take_step(core::Shutdown::Step step) {
    switch (step) {
        case core::Shutdown::Step::wait: return;
        case core::Shutdown::Step::stop_accepting:
            clients_->stop_listening();
            clients_->drain();
            return add(core::DrainStarted{});
        case core::Shutdown::Step::answer_all:
            log_.warn("drain", "time is over; " + std::to_string(edge_.gauges().open_requests) +
                                   " requests are ended");
            return add(core::DrainExpired{});
        case core::Shutdown::Step::end_connections: return clients_->end_all();
    }
}

// Without a snapshot the index only has to be filled anew: never a reason to stop.
void EdgeServer::store_snapshot(const std::function<void()>& write) {
    try {
        write();
    } catch (const std::runtime_error& error) {
        log_.error("cache_snapshots", error.what());
    }
}

void EdgeServer::finish() {
    if (finished_) return;
    finished_ = true;
    if (shutdown_)
        log_.info("drain", "ends after " + milliseconds_text(shutdown_->age(uv_now_time())) + "; " +
                               std::to_string(edge_.gauges().open_requests) + " requests unanswered");
    uv_idle_stop(turn_);
    uv_close(reinterpret_cast<uv_handle_t*>(turn_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_idle_t*>(h); });
    turn_ = nullptr;
    close_timer(wake_);
    close_timer(drain_timer_);
    close_timer(reload_timer_);
    uv_check_stop(check_);
    uv_close(reinterpret_cast<uv_handle_t*>(check_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_check_t*>(h); });
    check_ = nullptr;
    list_.reset();
    caches_.reset();
    if (snapshots_) store_snapshot([&] { snapshots_->flush(); });
    snapshots_.reset();
    clients_.reset();
    admin_.reset();
    servers_.reset();
    log_.flush();
}

}  // namespace chalksail::net
