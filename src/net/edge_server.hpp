// The edge on sockets: carries bytes and time to the core and does what it says. Decides nothing.
// One libuv loop, one thread: the one that calls run().
#pragma once

#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/edge.hpp"
#include "core/shutdown.hpp"
#include "net/admin.hpp"
#include "net/cache_feed.hpp"
#include "net/http_server.hpp"
#include "net/tls/certificate_reloader.hpp"
#include "net/upstream_pool.hpp"
#include "observe/event_loop_lag.hpp"
#include "observe/log.hpp"
#include "observe/metrics.hpp"
#include "store/store.hpp"

namespace chalksail::net {

class EdgeServer : HttpServer::Handler, UpstreamPool::Handler, CacheFeed::Handler, membership::EndpointSink {
public:
    // Throws std::runtime_error if an address can't be listened on, std::invalid_argument for bad settings.
    // `list`: where the list of servers comes from; nullptr: the settings' own, and the admin listener.
    EdgeServer(uv_loop_t& loop, const config::EdgeSettings& settings, observe::Log& log,
               std::unique_ptr<membership::EndpointSource> list = nullptr);
    ~EdgeServer() override;
    EdgeServer(const EdgeServer&) = delete;
    EdgeServer& operator=(const EdgeServer&) = delete;

    [[nodiscard]] const Address& address() const { return address_; }
    // Port 0: there is no admin listener.
    [[nodiscard]] const Address& admin_address() const { return admin_address_; }
    // Begins the shutdown (core/shutdown.hpp). When it is over everything is closed, so that the loop ends.
    void drain();
    // Looks whether TLS files have changed. Also done by itself every few seconds.
    void reload_tls();
    [[nodiscard]] bool finished() const { return finished_; }
    [[nodiscard]] core::Gauges gauges() const { return edge_.gauges(); }

private:
    struct AdminHandler;
    void on_request(HttpServer::Peer peer, http::Request request) override;
    void on_closed(HttpServer::Peer peer, const ConnectionEnd& end) override;
    void on_backlog(HttpServer::Peer peer, bool full) override;
    void on_idle_closed(const ConnectionEnd& end) override;
    void on_accept_failed(int error) override;
    bool on_ready(UpstreamPool::Call call, http::Headers& headers) override;
    void on_sent(UpstreamPool::Call call) override;
    void on_written(UpstreamPool::Call call) override;
    void on_head(UpstreamPool::Call call, int status, http::Headers headers) override;
    void on_body(UpstreamPool::Call call, std::string bytes) override;
    void on_done(UpstreamPool::Call call) override;
    void on_failed(UpstreamPool::Call call, engine::Ending ending, std::string detail) override;
    void on_cache_message(const std::string& server, std::uint64_t sequence, std::string payload,
                          bool replayed) override;
    void on_cache_replay_ended(const std::string& server) override;
    void apply(membership::EndpointList update) override;
    void admin_request(HttpServer::Peer peer, const http::Request& request);

    [[nodiscard]] Target target_of(const core::Call& call);
    void pump();  // gives the core what has come, and does what it says, until nothing is left
    // pump() in this turn of the loop, once its sockets were read.
    void pump_soon();
    void add(core::Input input);
    void look_at_drain();
    void take_step(core::Shutdown::Step step);
    void carry_out(core::Output& output);
    void finish();
    void note_slow_turn(Time begun);

    uv_loop_t& loop_;
    config::EdgeSettings settings_;
    observe::Log& log_;
    observe::Metrics metrics_;
    core::Edge edge_;
    std::unique_ptr<AdminHandler> admin_handler_;
    std::unique_ptr<HttpServer> clients_;
    std::unique_ptr<HttpServer> admin_;
    std::unique_ptr<UpstreamPool> servers_;
    void store_snapshot(const std::function<void()>& write);
    std::unique_ptr<store::Store> snapshots_;  // nullptr: none are kept
    std::uint64_t snapshots_written_ = 0;
    std::unique_ptr<CacheFeed> caches_;  // nullptr: no kind publishes cache events
    std::vector<core::Input> inputs_;
    std::map<std::string, tls::CertificateReloader> tls_;  // by kind of server
    std::optional<tls::CertificateReloader> listener_tls_;
    std::unique_ptr<membership::EndpointSource> list_;
    std::unique_ptr<SettingsSource> settings_source_;
    std::unique_ptr<AdminSource> admin_source_;
    Address address_;
    Address admin_address_;
    uv_check_t* check_ = nullptr;
    uv_idle_t* turn_ = nullptr;  // while it is active the loop does not wait for its sockets
    uv_timer_t* wake_ = nullptr;
    uv_timer_t* drain_timer_ = nullptr;
    uv_timer_t* reload_timer_ = nullptr;
    std::uint64_t accept_errors_ = 0;
    Time accept_logged_{};
    observe::EventLoopLag slow_turns_;
    std::uint64_t tls_refused_ = 0;
    std::uint64_t tls_replaced_ = 0;
    std::optional<core::Shutdown> shutdown_;  // from SIGTERM on
    bool drain_look_due_ = false;
    bool finished_ = false;
    bool pumping_ = false;
};

}  // namespace chalksail::net
