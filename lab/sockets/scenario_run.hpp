// Runs a scenario on loopback: engines and load generator in this process, each edge a process of its own
// (the real program), the endpoint list pushed to the edges' admin listeners, faults by the scenario's
// timeline, everything recorded. One libuv loop, one thread.
#pragma once

#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "checker/checker.hpp"
#include "checker/record.hpp"
#include "checker/tally.hpp"
#include "net/upstream_pool.hpp"
#include "scenario/faults.hpp"
#include "scenario/scenario.hpp"
#include "sockets/engine_host.hpp"
#include "sockets/load.hpp"

namespace chalksail::lab {

// Where the edge program is and where output goes.
struct ScenarioPaths {
    std::string edge_program;
    std::string folder;  // for records, settings and logs; made if it is not there
};

// TLS metrics of edges that use it towards the engines.
struct TlsFigures {
    double handshakes = 0;
    double resumed = 0;
    double failed = 0;
    double replaced = 0;  // sets of files
    double refused = 0;
    double most_waiting = 0;  // for a handshake, at one edge
    TlsFigures& operator+=(const TlsFigures& other);
};
// TLS figures of a run.
struct TlsResult {
    TlsFigures seen;
    TlsFigures first_minute;
    double busiest_second = 0;  // handshakes begun, at one edge
    GatewayTally verified;      // of the edges with TLS, and of the others
    GatewayTally clear;
};

// The result of a run.
struct ScenarioResult {
    RuleReport rule_report;
    std::size_t clients = 0;
    std::size_t retries = 0;
    double weight_share = 0;  // share of the priority weight of all requests that was served
    std::size_t in_time = 0;
    double waste = 0;
    double first_token_p90_ms = 0;
    double first_token_p50_ms = 0;
    double first_token_p99_ms = 0;
    std::optional<TlsResult> tls;
    bool edges_well = true;  // each ended by SIGTERM with exit code 0
    // The last line of a run: one JSON object.
    [[nodiscard]] std::string format() const;
};

// One run. It owns all processes and connections that it starts.
class ScenarioRun : net::UpstreamPool::Handler, FaultTarget {
public:
    // Throws std::runtime_error where something can't be started.
    ScenarioRun(uv_loop_t& loop, Scenario scenario, ScenarioPaths paths);
    ~ScenarioRun() override;

    // Starts engines and edges; returns once each edge serves and knows the list.
    void start();
    [[nodiscard]] std::vector<std::pair<std::string, Address>> gateways() const;
    // Runs the scenario to its end and stops everything.
    ScenarioResult run();
    // Serves until SIGINT or SIGTERM.
    void serve();

private:
    struct EdgeProcess;
    void on_head(net::UpstreamPool::Call call, int status, http::Headers headers) override;
    void on_body(net::UpstreamPool::Call call, std::string bytes) override;
    void on_done(net::UpstreamPool::Call call) override;
    void on_failed(net::UpstreamPool::Call call, engine::ExchangeEnd ending, std::string detail) override;

    void spawn(EdgeProcess& edge);
    void stop_edges();
    void turn();  // one iteration of the loop, which also advances the models
    void turn_until(const std::function<bool()>& done, Duration most, const std::string& what);
    void schedule_tls();
    void poll_edges();
    void take_page(const std::string& edge, const std::string& page);
    // ---- FaultTarget ----
    [[nodiscard]] Time now() const override;
    void after(Duration delay, std::function<void()> act) override;
    EngineModel* running(const std::string& server) override;
    void changed(const std::string&) override {}  // each iteration advances all models
    void kill(const std::string& server, Duration lasts) override;
    void vanish(const std::string& server, Duration lasts) override;
    void list(const std::string& server, const std::string& state) override;  // after the list's lag
    void set_list_lag(Duration lag) override { lag_ = lag; }
    [[nodiscard]] Duration list_lag() const override { return lag_; }
    Links& links() override { return fleet_->links(); }
    ClientWorkload& client_workload() override { return load_->client_workload(); }
    void client_workload_changed() override {}
    void misname(const std::string& server, Duration lasts) override;

    void push_list(std::size_t edge, bool complete);
    [[nodiscard]] std::string entry_json(const std::string& server, bool tls) const;

    uv_loop_t& loop_;
    Scenario scenario_;
    ScenarioPaths paths_;
    Recorder recorder_;
    std::unique_ptr<FleetTls> tls_;  // nullptr: all in the clear
    std::unique_ptr<EngineFleet> fleet_;
    std::unique_ptr<Load> load_;
    std::unique_ptr<net::UpstreamPool> admin_;
    std::vector<std::unique_ptr<EdgeProcess>> edges_;
    std::multimap<Time, std::function<void()>> timeline_;
    uv_timer_t* ticker_ = nullptr;
    // The endpoint list; pushed to the edges after its lag.
    struct Listed {
        std::string state = "up";
        std::int64_t started_unix_ms = 0;
    };
    std::map<std::string, Listed> list_;
    Duration lag_{};
    FaultInjector faults_;
    std::map<net::UpstreamPool::Call, std::pair<std::string, std::vector<std::pair<std::string, Listed>>>>
        pushes_;
    std::map<net::UpstreamPool::Call, std::pair<std::string, std::string>>
        pages_;  // edges' metrics pages being received
    std::map<std::string, std::pair<TlsFigures, TlsFigures>> tls_figures_;  // of the first minute; the last
    double tls_busiest_ = 0;
    Time begun_{};
    std::uint64_t last_push_ = 0;
    bool interrupted_ = false;
};

}  // namespace chalksail::lab
