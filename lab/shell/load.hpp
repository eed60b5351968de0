// The load tool: a scenario's clients on real sockets. Records what crossed them. One libuv loop, one thread.
#pragma once

#include <uv.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "clients/crowd.hpp"
#include "clients/transcript.hpp"
#include "net/http_pool.hpp"
#include "record/record.hpp"
#include "scenario/scenario.hpp"

namespace chalksail::lab {

class Load : net::HttpPool::Handler {
public:
    Load(uv_loop_t& loop, const Scenario& scenario, Recorder& recorder);
    ~Load() override;

    // Gateways by name; clients are spread over them.
    void set_gateways(std::vector<std::pair<std::string, Address>> gateways) {
        gateways_ = std::move(gateways);
    }
    void begin(Time now) { crowd_.begin(now); }
    void tick(Time now);
    // No new requests from now on; those in hand go on.
    void stop() { crowd_.stop(); }
    [[nodiscard]] std::size_t in_hand() const { return calls_.size(); }
    // Hangs up all that is still in hand.
    void hang_up_all(Time now);
    [[nodiscard]] Crowd& crowd() { return crowd_; }

    struct Figures {
        std::vector<double> first_token_ms;  // of served streams
        std::size_t retries = 0;
    };
    [[nodiscard]] const Figures& figures() const { return figures_; }

private:
    struct Pending {
        ClientAsk ask;
        std::string gateway;
        Transcript got;
    };
    void on_head(net::HttpPool::Call call, int status, http::Headers headers) override;
    void on_body(net::HttpPool::Call call, std::string bytes) override;
    void on_done(net::HttpPool::Call call) override;
    void on_failed(net::HttpPool::Call call, engine::Ending ending, std::string detail) override;

    void start(ClientAsk ask);
    void end(net::HttpPool::Call call, const Transcript::End& end);
    void hang_up(net::HttpPool::Call call, Time now);

    Recorder& recorder_;
    net::HttpPool pool_;
    Crowd crowd_;
    std::vector<std::pair<std::string, Address>> gateways_;
    std::map<net::HttpPool::Call, std::unique_ptr<Pending>> calls_;
    std::uint64_t last_call_ = 0;
    Figures figures_;
};

}  // namespace chalksail::lab
