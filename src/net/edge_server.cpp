#include "net/edge_server.hpp"

#include <algorithm>
#include <ctime>
#include <fstream>
#include <iterator>
#include <set>
#include <stdexcept>
#include <utility>

#include "net/edge_server_limits.hpp"
#include "net/gateway_gauges.hpp"
#include "net/loop_clock.hpp"

namespace chalksail::net {
namespace {

// Limits the log to one line per interval while accept() fails repeatedly, as when file descriptors run out.
constexpr Duration kAcceptErrorLogInterval = std::chrono::seconds(1);
constexpr Duration kClientEventsLogInterval = std::chrono::seconds(1);
constexpr std::size_t kBytesPerMb = std::size_t{1024} * 1024;

std::string in_mb(std::size_t bytes) { return std::to_string(bytes / kBytesPerMb) + " MB"; }
std::string in_kb(std::size_t bytes) { return std::to_string(bytes / 1024) + " KB"; }

ClockOffset wall_clock_offset() {
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return {uv_now_time().time_since_epoch() - std::chrono::duration_cast<Duration>(wall)};
}

std::shared_ptr<const engine::Vocabulary> read_vocabulary(const config::CacheEvents& settings) {
    if (settings.vocabulary != config::Vocabulary::tokenizer) return nullptr;
    std::ifstream in(settings.tokenizer, std::ios::binary);
    if (!in) throw std::runtime_error("cache-events: " + settings.tokenizer + ": can't be read");
    auto vocabulary = engine::Vocabulary::parse(std::string{std::istreambuf_iterator<char>(in), {}});
    if (!vocabulary)
        throw std::runtime_error("cache-events: " + settings.tokenizer + ": " + vocabulary.error());
    return std::make_shared<const engine::Vocabulary>(std::move(*vocabulary));
}

std::chrono::milliseconds to_milliseconds(Duration duration) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

}  // namespace

EdgeServer::EdgeServer(uv_loop_t& loop, const config::EdgeSettings& settings, observe::Log& log,
                       std::unique_ptr<membership::EndpointSource> endpoint_source)
    : loop_(loop),
      settings_(settings),
      log_(log),
      metrics_(settings.name),
      edge_(settings, read_vocabulary(settings.cache_events)),
      certificates_(settings_, log),
      endpoint_source_(std::move(endpoint_source)),
      shutdown_(loop, *this, log, settings_.limits),
      client_events_(kClientEventsLogInterval),
      memory_monitor_(settings_.limits.memory_bytes) {
    if (endpoint_source_ == nullptr) create_endpoint_sources();
    http_server_ = std::make_unique<HttpServer>(loop_, static_cast<HttpServer::Handler&>(*this),
                                                client_limits(settings_.limits));
    if (settings_.admin)
        admin_ = std::make_unique<AdminEndpoint>(loop_, admin_limits(settings_.limits),
                                                 static_cast<AdminEndpoint::Gateway&>(*this),
                                                 admin_source_.get(), log_);
    upstream_pool_ = std::make_unique<UpstreamPool>(loop_, static_cast<UpstreamPool::Handler&>(*this),
                                                    upstream_limits(settings_));
    open_cache_feed();
    effects_.emplace(EffectExecutor::Resources{*http_server_, *upstream_pool_, certificates_, log_, metrics_,
                                               cache_feed_.get(), cache_snapshots_.get(), admin_ != nullptr});
    listen();
    scheduler_.emplace(loop_, [this](Time turn_began) { on_turn(turn_began); });
    start_tls_polling();
    start_endpoint_sources();
    dispatch();
}

EdgeServer::~EdgeServer() { finish(); }

// ---- startup ----

void EdgeServer::create_endpoint_sources() {
    std::set<std::string> kinds;
    for (const auto& kind : settings_.kinds) kinds.insert(kind.name);
    settings_source_ = std::make_unique<SettingsSource>(settings_);
    admin_source_ = std::make_unique<AdminSource>(std::move(kinds), wall_clock_offset());
}

void EdgeServer::open_cache_feed() {
    const bool any_publishes = std::any_of(settings_.kinds.begin(), settings_.kinds.end(),
                                           [](const auto& kind) { return kind.cache_events; });
    if (!any_publishes) return;
    const auto& events = settings_.cache_events;
    cache_feed_ = std::make_unique<CacheFeed>(loop_, static_cast<CacheFeed::Handler&>(*this),
                                              cache_feed_limits(events));
    if (events.snapshot_folder.empty()) return;
    cache_snapshots_ = std::make_unique<CacheSnapshotStore>(events.snapshot_folder + "/" + settings_.name,
                                                            events.snapshot_folder_bytes, log_);
    inputs_.emplace_back(core::CacheSnapshots{cache_snapshots_->all()});
}

void EdgeServer::listen() {
    const auto tls = certificates_.listener_context();
    if (tls) http_server_->set_tls(tls);
    address_ = http_server_->listen(settings_.listen,
                                    tls ? HttpServer::Transport::tls : HttpServer::Transport::plaintext);
    if (admin_) admin_address_ = admin_->listen(*settings_.admin);
}

void EdgeServer::start_tls_polling() {
    if (certificates_.empty()) return;
    tls_poll_timer_.emplace(loop_, [this] {
        reload_tls();
        dispatch_soon();
    });
    tls_poll_timer_->start_repeating(to_milliseconds(settings_.limits.tls_poll_interval));
    tls_poll_timer_->unref();
}

void EdgeServer::start_endpoint_sources() {
    if (endpoint_source_) return endpoint_source_->start(*this);
    admin_source_->start(*this);
    settings_source_->start(*this);
}

// ---- turns of the event loop ----

void EdgeServer::enqueue(core::Input input) {
    inputs_.emplace_back(std::move(input));
    dispatch_soon();
}

void EdgeServer::dispatch_soon() {
    if (!finished_) scheduler_->run_soon();
}

void EdgeServer::on_turn(Time turn_began) {
    dispatch();
    log_event_loop_lag(turn_began);
    log_memory();
    log_client_events();
    shutdown_.poll();
}

void EdgeServer::dispatch() {
    if (dispatching_ || finished_) return;
    dispatching_ = true;
    for (;;) {
        upstream_pool_->report_written();
        const Time now = uv_now_time();
        const auto wake = edge_.next_wake();
        if (inputs_.empty() && (!wake || *wake > now)) break;
        for (auto& effect : edge_.step(now, std::exchange(inputs_, {}))) effects_->execute(effect);
        http_server_->flush();
    }
    if (admin_) admin_->flush();
    scheduler_->wait_until(edge_.next_wake());
    dispatching_ = false;
}

void EdgeServer::log_event_loop_lag(Time turn_began) {
    const auto report = event_loop_lag_.ended(turn_began, uv_now_time());
    if (!report) return;
    log_.warn("slow_turn", "event loop blocked for up to " +
                               std::to_string(to_milliseconds(report->longest).count()) +
                               " ms; slow turns since the last report: " + std::to_string(report->count) +
                               "; " + std::to_string(edge_.gauges().open_requests) + " requests open, " +
                               std::to_string(edge_.endpoint_count()) + " servers known");
}

void EdgeServer::log_memory() {
    const auto report = memory_monitor_.poll(uv_now_time());
    if (!report) return;
    const auto clients = http_server_->counts();
    const auto core = edge_.gauges();
    const bool high = report->level == MemoryMonitor::Level::high;
    log_.warn("memory", in_mb(report->resident_bytes) + " resident, " + (high ? "above" : "no longer above") +
                            " half of the limit of " + in_mb(report->limit_bytes) + "; at most " +
                            in_mb(report->peak_bytes) + " so far; " + std::to_string(clients.connections) +
                            " clients with " + in_kb(clients.input_bytes) + " of input and " +
                            in_kb(clients.output_bytes) + " of output; " +
                            std::to_string(core.open_requests) + " requests with " +
                            in_kb(core.request_bytes) + "; " + std::to_string(core.calls) + " calls with " +
                            in_kb(core.response_bytes) + " of responses");
}

void EdgeServer::log_client_events() {
    if (const auto counts = client_events_.take(uv_now_time())) log_.info("client_events", *counts);
}

void EdgeServer::reload_tls() {
    const auto changes = certificates_.reload();
    if (changes.server_trust) inputs_.emplace_back(core::TrustStoreChanged{});
    if (changes.listener) http_server_->set_tls(certificates_.listener_context());
}

// ---- inputs ----

void EdgeServer::on_request(HttpServer::Peer peer, http::Request request, Time received_at) {
    enqueue(core::ClientRequest{{peer}, std::move(request), received_at});
}
void EdgeServer::on_closed(HttpServer::Peer peer, const ConnectionEnd& end) {
    enqueue(core::ClientClosed{{peer}, describe(end)});
}
void EdgeServer::on_idle_closed(const ConnectionEnd& end) {
    log_.debug("client_closed", describe(end));
    client_events_.add("closed, " + describe(end));
}
void EdgeServer::on_rejected(int status, const std::string& text) {
    client_events_.add("rejected with " + std::to_string(status) + ", " + text);
}
void EdgeServer::on_accept_failed(int error) {
    const Time now = uv_now_time();
    accept_errors_ += 1;
    if (now < accept_error_logged_ + kAcceptErrorLogInterval) return;
    accept_error_logged_ = now;
    log_.warn("accept_failed", std::string(uv_err_name(-error)) +
                                   "; new connections wait in the listen backlog; " +
                                   std::to_string(accept_errors_) + " accept errors since startup");
}
void EdgeServer::on_backlog(HttpServer::Peer peer, bool full) { enqueue(core::ClientBacklog{{peer}, full}); }

bool EdgeServer::on_ready(UpstreamPool::Call call, http::Headers& headers) {
    return edge_.may_begin(uv_now_time(), {call}, headers);
}
void EdgeServer::on_sent(UpstreamPool::Call call) { enqueue(core::CallSent{{call}}); }
void EdgeServer::on_written(UpstreamPool::Call call) { enqueue(core::CallWritten{{call}}); }
void EdgeServer::on_head(UpstreamPool::Call call, int status, http::Headers headers) {
    enqueue(core::CallHead{{call}, status, std::move(headers)});
}
void EdgeServer::on_body(UpstreamPool::Call call, std::string bytes) {
    enqueue(core::CallBody{{call}, std::move(bytes)});
}
void EdgeServer::on_done(UpstreamPool::Call call) { enqueue(core::CallDone{{call}}); }
void EdgeServer::on_failed(UpstreamPool::Call call, engine::ExchangeEnd ending, std::string detail) {
    enqueue(core::CallFailed{{call}, ending, std::move(detail)});
}

void EdgeServer::on_cache_message(const std::string& server, std::uint64_t sequence, std::string payload,
                                  bool replayed) {
    enqueue(core::CacheEventMessage{server, sequence, std::move(payload), replayed});
}
void EdgeServer::on_cache_replay_ended(const std::string& server) { enqueue(core::CacheReplayEnded{server}); }

void EdgeServer::apply(membership::EndpointList update) { enqueue(std::move(update)); }

// ---- pages of the admin listener ----

std::vector<membership::EndpointConfig> EdgeServer::endpoints() const { return edge_.endpoints(); }

std::string EdgeServer::metrics_page() {
    const std::int64_t unix_now = std::time(nullptr);
    GatewayGauges gauges;
    gauges.core = edge_.gauges();
    gauges.clients = http_server_->counts();
    gauges.accept_errors = accept_errors_;
    gauges.resident_bytes = memory_monitor_.resident_bytes();
    gauges.servers = upstream_pool_->counts();
    gauges.certificates = certificates_.counts();
    if (const auto tls = certificates_.listener_context())
        gauges.listener_valid_seconds = tls->valid_until() - unix_now;
    gauges.servers_valid_seconds = certificates_.valid_seconds(unix_now);
    if (cache_feed_) gauges.cache_feed = cache_feed_->counts();
    if (cache_snapshots_) gauges.snapshots_written = cache_snapshots_->written();
    publish(gauges, metrics_);
    return metrics_.page();
}

// ---- shutdown ----

core::Shutdown::Outstanding EdgeServer::outstanding() const {
    const auto gauges = edge_.gauges();
    return {gauges.open_requests, gauges.calls, http_server_->counts().connections,
            http_server_->listening()};
}

void EdgeServer::announce_shutdown(Time answers_until) { enqueue(core::ShutdownAnnounced{answers_until}); }

void EdgeServer::stop_accepting() {
    http_server_->stop_listening();
    http_server_->drain();
    enqueue(core::DrainStarted{});
}

void EdgeServer::answer_open_requests() { enqueue(core::DrainExpired{}); }

void EdgeServer::end_connections() { http_server_->end_all(); }

void EdgeServer::finish() {
    if (finished_) return;
    finished_ = true;
    if (const auto counts = client_events_.take_all(); !counts.empty()) log_.info("client_events", counts);
    shutdown_.end();
    scheduler_.reset();
    tls_poll_timer_.reset();
    endpoint_source_.reset();
    cache_feed_.reset();
    if (cache_snapshots_) cache_snapshots_->flush();
    cache_snapshots_.reset();
    http_server_.reset();
    admin_.reset();
    upstream_pool_.reset();
    log_.flush();
}

}  // namespace chalksail::net
