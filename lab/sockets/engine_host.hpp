// Simulated engines on sockets: each an EngineModel behind an HTTP server on a port of its own, with the
// protocol of src/engine/protocol.hpp. They record what crosses their sockets. One libuv loop, one thread;
// tick() advances the models.
#pragma once

#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "checker/record.hpp"
#include "model/engine.hpp"
#include "model/exchange.hpp"
#include "net/http_server.hpp"
#include "scenario/scenario.hpp"
#include "sockets/cache_publisher.hpp"
#include "sockets/fleet_tls.hpp"

namespace chalksail::lab {

class EngineFleet;

// One engine.
class EngineHost : net::HttpServer::Handler {
public:
    EngineHost(uv_loop_t& loop, EngineFleet& fleet, EngineSpec spec);
    ~EngineHost() override;

    void start();            // listens; the port stays the same over restarts
    void crash();            // resets all connections and stops listening
    void restart(Time now);  // a new process, in slow start
    void vanish(bool on);    // receives everything, and answers nothing
    void tick(Time now);
    [[nodiscard]] EngineModel& model() { return model_; }
    [[nodiscard]] const EngineSpec& spec() const { return model_.spec(); }
    [[nodiscard]] const Address& address() const { return address_; }
    [[nodiscard]] const Address& tls_address() const { return tls_address_; }
    // The certificate of new connections from now on; only where the fleet uses TLS.
    void show(std::shared_ptr<net::tls::Context> context);
    [[nodiscard]] const CachePublisher* caches() const {
        return caches_.get();
    }  // nullptr: it publishes none
    [[nodiscard]] bool up() const { return server_ != nullptr; }

private:
    struct Exchange {
        net::HttpServer::Peer peer = 0;
        JobId job = 0;
        EngineRequest engine_request;
    };
    void on_request(net::HttpServer::Peer peer, http::Request request, Time) override;
    void on_closed(net::HttpServer::Peer peer, const net::ConnectionEnd&) override;
    void chat(net::HttpServer::Peer peer, const http::Request& request);
    void release(net::HttpServer::Peer peer, const http::Request& request);
    void answer_read(Exchange& e, double cached_tokens);
    void write_tokens(Exchange& e, std::size_t first, std::size_t count);
    void end_stream(Exchange& e);
    void error(net::HttpServer::Peer peer, int status, const std::string& text,
               const std::string& not_run = "");
    void record_attempt(RecordKind what, const EngineRequest& engine_request, const std::string& termination);
    void record_state(RecordKind what, const std::string& edge_request);
    void add_load(http::Headers& headers) const;
    void flush();

    uv_loop_t& loop_;
    EngineFleet& fleet_;
    EngineModel model_;
    std::unique_ptr<net::HttpServer> server_;
    Address address_{"127.0.0.1", 0};
    Address tls_address_{"127.0.0.1", 0};
    std::unique_ptr<CachePublisher> caches_;
    bool vanished_ = false;
    std::map<net::HttpServer::Peer, Exchange> exchanges_;
    std::map<JobId, net::HttpServer::Peer> by_job_;
};

// All engines of a run, and what they share.
class EngineFleet {
public:
    EngineFleet(uv_loop_t& loop, const std::vector<EngineSpec>& specs, Links::Rates rates, std::uint64_t seed,
                Recorder& recorder, FleetTls* tls = nullptr, CachePart caches = {});
    void tick(Time now);
    [[nodiscard]] EngineHost* find(const std::string& name);
    [[nodiscard]] std::vector<std::unique_ptr<EngineHost>>& all() { return hosts_; }
    [[nodiscard]] Links& links() { return links_; }
    [[nodiscard]] FleetTls* tls() { return tls_; }
    [[nodiscard]] Recorder& recorder() { return recorder_; }
    [[nodiscard]] const CachePart& caches() const { return caches_; }
    [[nodiscard]] double draw() { return std::generate_canonical<double, 53>(random_); }
    // For losses alone, so that they leave the other draws as they are.
    [[nodiscard]] double draw_loss() { return std::generate_canonical<double, 53>(losses_); }
    [[nodiscard]] JobId next_job() { return ++last_job_; }
    // Gateway and engine: this gateway knows that this engine has restarted.
    std::set<std::pair<std::string, std::string>> start_known;
    // Called when an engine has failed of overload.
    std::function<void(EngineHost&)> on_overload;
    // Clients' request ids by those of gateways, for releases and KV states.
    std::map<std::string, std::string> client_number;

private:
    Recorder& recorder_;
    CachePart caches_;
    FleetTls* tls_;  // nullptr: all in the clear
    std::mt19937_64 losses_;
    Links links_;
    std::mt19937_64 random_;
    std::vector<std::unique_ptr<EngineHost>> hosts_;
    JobId last_job_ = 0;
};

}  // namespace chalksail::lab
