// Connects the gateway's core to the network: passes what clients, servers, cache events and endpoint sources
// send to the core as inputs, runs the core once per turn of the event loop after the sockets were read, and
// has the core's effects executed. Makes no decisions.
//
// Owns the client listener, the connections to servers, the admin listener and the subscriptions to cache
// events. Not thread-safe: it belongs to one libuv loop and the thread that runs it. The constructor reports
// errors by exceptions; later errors are logged and never end the gateway.
#pragma once

#include <uv.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/edge.hpp"
#include "net/admin.hpp"
#include "net/admin_endpoint.hpp"
#include "net/cache_feed.hpp"
#include "net/cache_snapshot_store.hpp"
#include "net/effect_executor.hpp"
#include "net/graceful_shutdown.hpp"
#include "net/http_server.hpp"
#include "net/memory_monitor.hpp"
#include "net/tls_certificates.hpp"
#include "net/turn_scheduler.hpp"
#include "net/upstream_pool.hpp"
#include "observe/event_loop_lag.hpp"
#include "observe/event_summary.hpp"
#include "observe/log.hpp"
#include "observe/metrics.hpp"

namespace chalksail::net {

class EdgeServer : HttpServer::Handler,
                   UpstreamPool::Handler,
                   CacheFeed::Handler,
                   membership::EndpointSink,
                   AdminEndpoint::Gateway,
                   GracefulShutdown::Gateway {
public:
    // Throws std::runtime_error if an address can't be listened on or a file can't be used, and
    // std::invalid_argument for invalid settings. `endpoint_source` delivers the endpoint list; with nullptr
    // the settings and the admin listener deliver it.
    EdgeServer(uv_loop_t& loop, const config::EdgeSettings& settings, observe::Log& log,
               std::unique_ptr<membership::EndpointSource> endpoint_source = nullptr);
    ~EdgeServer() override;
    EdgeServer(const EdgeServer&) = delete;
    EdgeServer& operator=(const EdgeServer&) = delete;

    [[nodiscard]] const Address& address() const { return address_; }
    // Has port 0 if there is no admin listener.
    [[nodiscard]] const Address& admin_address() const { return admin_address_; }
    // Begins the graceful shutdown (core/shutdown.hpp). At its end all handles are closed, so the loop exits.
    void drain() { shutdown_.begin(); }
    // Checks the TLS files for changes. A timer does the same every EdgeLimits::tls_poll_interval.
    void reload_tls();
    [[nodiscard]] bool finished() const { return finished_; }
    [[nodiscard]] core::Gauges gauges() const { return edge_.gauges(); }
    // Returns the endpoint list in force, as operators see it on the admin listener.
    [[nodiscard]] std::vector<membership::EndpointConfig> endpoints() const override;

private:
    // HttpServer::Handler
    void on_request(HttpServer::Peer peer, http::Request request, Time received_at) override;
    void on_closed(HttpServer::Peer peer, const ConnectionEnd& end) override;
    void on_backlog(HttpServer::Peer peer, bool full) override;
    void on_idle_closed(const ConnectionEnd& end) override;
    void on_rejected(int status, const std::string& text) override;
    void on_accept_failed(int error) override;
    // UpstreamPool::Handler
    bool on_ready(UpstreamPool::Call call, http::Headers& headers) override;
    void on_sent(UpstreamPool::Call call) override;
    void on_written(UpstreamPool::Call call) override;
    void on_head(UpstreamPool::Call call, int status, http::Headers headers) override;
    void on_body(UpstreamPool::Call call, std::string bytes) override;
    void on_done(UpstreamPool::Call call) override;
    void on_failed(UpstreamPool::Call call, engine::ExchangeEnd ending, std::string detail) override;
    // CacheFeed::Handler
    void on_cache_message(const std::string& server, std::uint64_t sequence, std::string payload,
                          bool replayed) override;
    void on_cache_replay_ended(const std::string& server) override;
    // membership::EndpointSink
    void apply(membership::EndpointList update) override;
    // AdminEndpoint::Gateway
    [[nodiscard]] std::string metrics_page() override;
    [[nodiscard]] bool draining() const override { return shutdown_.begun(); }
    // GracefulShutdown::Gateway
    [[nodiscard]] core::Shutdown::Outstanding outstanding() const override;
    void announce_shutdown(Time answers_until) override;
    void stop_accepting() override;
    void answer_open_requests() override;
    void end_connections() override;
    void poll_soon() override { dispatch_soon(); }
    void finish() override;

    void create_endpoint_sources();
    void open_cache_feed();
    void listen();
    void start_tls_polling();
    void start_endpoint_sources();

    void enqueue(core::Input input);
    // Runs dispatch() as soon as the sockets of the current turn of the loop were read.
    void dispatch_soon();
    void on_turn(Time turn_began);
    // Steps the core and executes its effects until no input is left and no wake-up time of the core is due.
    void dispatch();
    void log_event_loop_lag(Time turn_began);
    // Logs a change of the memory level with what the memory is used for.
    void log_memory();
    void log_client_events();

    uv_loop_t& loop_;
    config::EdgeSettings settings_;
    observe::Log& log_;
    observe::Metrics metrics_;
    core::Edge edge_;
    std::vector<core::Input> inputs_;
    TlsCertificates certificates_;
    std::unique_ptr<membership::EndpointSource> endpoint_source_;  // as passed to the constructor, or nullptr
    std::unique_ptr<SettingsSource> settings_source_;              // used if endpoint_source_ is nullptr
    std::unique_ptr<AdminSource> admin_source_;                    // used if endpoint_source_ is nullptr
    std::unique_ptr<HttpServer> http_server_;
    std::unique_ptr<AdminEndpoint> admin_;  // nullptr if the settings name no admin address
    std::unique_ptr<UpstreamPool> upstream_pool_;
    std::unique_ptr<CacheSnapshotStore> cache_snapshots_;  // nullptr if no snapshots are stored
    std::unique_ptr<CacheFeed> cache_feed_;  // nullptr if no kind of server publishes cache events
    std::optional<EffectExecutor> effects_;
    Address address_;
    Address admin_address_;
    std::optional<TurnScheduler> scheduler_;  // empty after finish()
    std::optional<Timer> tls_poll_timer_;     // empty without TLS, and after finish()
    GracefulShutdown shutdown_;
    observe::EventLoopLag event_loop_lag_;
    observe::EventSummary client_events_;  // closed connections and rejected input, by reason
    MemoryMonitor memory_monitor_;
    std::uint64_t accept_errors_ = 0;
    Time accept_error_logged_{};
    bool finished_ = false;
    bool dispatching_ = false;
};

}  // namespace chalksail::net
