// The load generator: a scenario's clients on real sockets. Records what crossed them. One libuv loop, one
// thread.
#pragma once

#include <uv.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "checker/record.hpp"
#include "net/upstream_pool.hpp"
#include "scenario/scenario.hpp"
#include "workload/client_workload.hpp"
#include "workload/transcript.hpp"

namespace chalksail::lab {

// All clients of a run.
class Load : net::UpstreamPool::Handler {
public:
    Load(uv_loop_t& loop, const Scenario& scenario, Recorder& recorder);
    ~Load() override;

    // Gateways by name; clients are spread over them.
    void set_gateways(std::vector<std::pair<std::string, Address>> gateways) {
        gateways_ = std::move(gateways);
    }
    void begin(Time now) { client_workload_.begin(now); }
    void tick(Time now);
    // No new requests from now on; those in flight continue.
    void stop() { client_workload_.stop(); }
    [[nodiscard]] std::size_t in_hand() const { return calls_.size(); }
    // Disconnects all requests that are still in flight.
    void disconnect_all(Time now);
    [[nodiscard]] ClientWorkload& client_workload() { return client_workload_; }

    struct Figures {
        std::vector<double> first_token_ms;  // of served streams
        std::size_t retries = 0;
    };
    [[nodiscard]] const Figures& figures() const { return figures_; }

private:
    struct Pending {
        ClientCall client_call;
        std::string gateway;
        Transcript got;
    };
    void on_head(net::UpstreamPool::Call call, int status, http::Headers headers) override;
    void on_body(net::UpstreamPool::Call call, std::string bytes) override;
    void on_done(net::UpstreamPool::Call call) override;
    void on_failed(net::UpstreamPool::Call call, engine::ExchangeEnd ending, std::string detail) override;

    void start(ClientCall client_call);
    void end(net::UpstreamPool::Call call, const Transcript::End& end);
    void disconnect(net::UpstreamPool::Call call, Time now);

    Recorder& recorder_;
    net::UpstreamPool pool_;
    ClientWorkload client_workload_;
    std::vector<std::pair<std::string, Address>> gateways_;
    std::map<net::UpstreamPool::Call, std::unique_ptr<Pending>> calls_;
    std::uint64_t last_call_ = 0;
    Figures figures_;
};

}  // namespace chalksail::lab
