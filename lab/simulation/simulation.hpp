// Runs the edges' real cores against engine models in virtual time: no socket, no clock, no threads; the same
// seed gives the same bytes. Records what the engines on sockets would, and also what the gateways did; the
// rules are checked at each record.
#pragma once

#include <chalksail/chalksail.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "checker/checker.hpp"
#include "core/edge.hpp"
#include "model/engine.hpp"
#include "model/exchange.hpp"
#include "scenario/faults.hpp"
#include "scenario/scenario.hpp"
#include "sim/network.hpp"
#include "sim/random.hpp"
#include "sim/timeline.hpp"
#include "simulation/simulated_connections.hpp"
#include "workload/client_workload.hpp"
#include "workload/transcript.hpp"

namespace chalksail::lab {

// Counters of one simulation.
struct VirtualFigures {
    std::size_t guards = 0;       // actions that the edges' guards stopped
    std::size_t open_at_end = 0;  // of all edges: requests, calls and states that are still there
    std::size_t overloads = 0;
    double read_tokens = 0;    // of prompts read to their end
    double cached_tokens = 0;  // of these, found in the cache
    std::uint64_t cache_batches = 0;
    std::uint64_t cache_lost = 0;
    std::uint64_t acts = 0;                   // of the timeline
    std::uint64_t steps = 0;                  // of the edges' cores
    prefix::ReportedCaches::Counts prefixes;  // over all edges, at the end
    SimulatedConnections::Figures connections;
};

// For tests of the checker: a gateway that is broken on purpose, by changing its core's inputs and outputs.
struct Tampering {
    std::function<void(std::vector<core::Input>&)> before;
    std::function<void(std::vector<core::Output>&)> after;
};

// One run of a scenario.
class Simulation : FaultTarget, SimulatedConnections::Ends {
public:
    // Plays `scenario` (its length is of virtual time).
    explicit Simulation(Scenario scenario, std::optional<PlacementPolicy> baseline = std::nullopt);
    ~Simulation() override;
    Simulation(const Simulation&) = delete;
    Simulation& operator=(const Simulation&) = delete;

    void tamper(Tampering tampering) { tampering_ = std::move(tampering); }
    // Called with each record, in order of time.
    void watch(std::function<void(const Record&)> watcher) { watchers_.push_back(std::move(watcher)); }
    // Otherwise all records are kept in memory, some 2 kB a request.
    void keep_records(bool keep) { keeps_ = keep; }
    // Ends the run at the first breach of a rule.
    void stop_at_breach() { stops_at_breach_ = true; }
    // Called with each second of virtual time that is over.
    void each_second(std::function<void(Duration)> act) { each_second_ = std::move(act); }

    [[nodiscard]] Time begin() const { return begin_; }  // of virtual time
    // Runs to the scenario's end, and then until nothing is open or `settling_time` has passed.
    RuleReport run(Duration settling_time = std::chrono::seconds(60));
    [[nodiscard]] const std::vector<Record>& records() const { return records_; }
    [[nodiscard]] const VirtualFigures& figures() const { return figures_; }

private:
    struct Gateway;
    struct Host;
    struct Exchange;
    struct ClientExchange;

    void add(Record record);
    void step(Gateway& gateway);
    void carry_out(Gateway& gateway, core::Output& output);
    void finish(Exchange& exchange, int status, const std::string& body, const std::string& not_run = "");
    void move(Host& host);
    void publish(Host& host);
    void replay(Gateway& gateway, const core::ReplayCacheEvents& wanted);
    void move_clients();
    void start_call(ClientCall call);
    void answered(std::uint64_t peer, const Transcript::End& end);
    void disconnect(std::uint64_t peer);
    void forget(Host& host);
    void record_attempt(RecordKind what, const Host& host, const EngineRequest& engine_request,
                        const std::string& termination);
    void record_state(RecordKind what, const Host& host, const std::string& edge_request);
    ClientExchange* find_client_exchange(core::ClientId client);
    void answered_again(core::ClientId client);
    Host* find(const std::string& name);
    membership::EndpointConfig entry(const Host& host) const;

    // ---- FaultTarget ----
    [[nodiscard]] Time now() const override { return timeline_.now(); }
    void after(Duration delay, std::function<void()> act) override { timeline_.after(delay, std::move(act)); }
    EngineModel* running(const std::string& server) override;
    void changed(const std::string& server) override;
    void kill(const std::string& server, Duration lasts) override;
    void vanish(const std::string& server, Duration lasts) override;
    void list(const std::string& server, const std::string& state) override;
    void set_list_lag(Duration lag) override { lag_ = lag; }
    [[nodiscard]] Duration list_lag() const override { return lag_; }
    Links& links() override { return links_; }
    ClientWorkload& client_workload() override { return client_workload_; }
    void client_workload_changed() override { move_clients(); }
    void cut_zone(const std::string& zone, Duration lasts) override;
    void cut_servers(const std::vector<std::string>& servers, double part, Duration lasts) override;
    void silence(const std::vector<std::string>& servers, double part, Duration lasts) override;
    void reset(const std::vector<std::string>& servers, double part, Duration lasts) override;

    // ---- SimulatedConnections::Ends ----
    void give(std::size_t gateway, core::Input input) override;
    [[nodiscard]] bool listens(std::size_t engine) const override;
    [[nodiscard]] bool silent(std::size_t engine) const override;
    void arrived(sim::Connection on, std::size_t gateway, std::size_t engine, const core::Call& call,
                 const EngineRequest* engine_request) override;
    void left(sim::Connection on) override;
    void sent(std::size_t gateway, std::size_t engine, const EngineRequest& engine_request) override;
    void closed(std::size_t gateway, std::size_t engine, const EngineRequest& engine_request,
                bool went) override;
    std::vector<std::size_t> numbers(const std::vector<std::string>& servers);

    Scenario scenario_;
    std::vector<Record> records_;
    bool keeps_ = true;
    bool stops_at_breach_ = false;
    std::vector<std::function<void(const Record&)>> watchers_;
    std::function<void(Duration)> each_second_;
    Checker checker_;
    VirtualFigures figures_;
    Links links_;
    sim::Timeline timeline_;
    sim::Stream cache_losses_;
    sim::Stream list_spread_;
    sim::Stream partitions_;
    Time begin_;
    Time end_{};
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::unordered_map<std::string, std::size_t> by_name_;
    std::unique_ptr<sim::Network> network_;
    std::unique_ptr<SimulatedConnections> connections_;
    std::unordered_map<sim::Connection, std::unique_ptr<Exchange>> exchanges_;  // looked up, never walked
    std::unordered_map<std::uint64_t, std::unique_ptr<ClientExchange>>
        client_exchanges_;                                 // by peer; never walked
    std::unordered_map<std::uint64_t, std::string> over_;  // by peer: answered requests
    std::unordered_map<std::string, std::string> client_number_;
    JobId last_job_ = 0;
    ClientWorkload client_workload_;
    FaultInjector faults_;
    std::optional<Time> clients_wake_;
    std::uint64_t last_peer_ = 0;
    Duration lag_{};
    Tampering tampering_;
};

}  // namespace chalksail::lab
