// The load tool: many clients with sessions, classes, hang-ups and retries, on real sockets. Each client
// asks, waits for its answer, checks its text against the prompt, thinks, and asks again. Records what
// crossed its sockets. One libuv loop, one thread.
#pragma once

#include <uv.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "chat/sse.hpp"
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
    void begin(Time now);
    void tick(Time now);
    // No new requests from now on; those in hand go on.
    void stop() { stopping_ = true; }
    [[nodiscard]] std::size_t in_hand() const { return calls_.size(); }
    // Hangs up all that is still in hand.
    void hang_up_all(Time now);

    // Troubles.
    void set_burst(double factor) { burst_ = factor; }
    void set_heavy_tail(double part, double factor) {
        heavy_part_ = part;
        heavy_factor_ = factor;
    }
    void set_give_up(double part) { give_up_ = part; }

    struct Figures {
        std::vector<double> first_token_ms;  // of served streams
        std::size_t retries = 0;
    };
    [[nodiscard]] const Figures& figures() const { return figures_; }

private:
    struct Client;
    struct Pending;
    void on_head(net::HttpPool::Call call, int status, http::Headers headers) override;
    void on_body(net::HttpPool::Call call, std::string bytes) override;
    void on_done(net::HttpPool::Call call) override;
    void on_failed(net::HttpPool::Call call, engine::Ending ending, std::string detail) override;

    void ask(Client& client, Time now);
    void end(net::HttpPool::Call call, const std::string& fate, bool intact, int status);
    void hang_up(net::HttpPool::Call call, Time now);
    [[nodiscard]] double draw() { return std::generate_canonical<double, 53>(random_); }
    [[nodiscard]] std::string words(std::size_t bytes);
    void new_session(Client& client);

    const Scenario& scenario_;
    Recorder& recorder_;
    net::HttpPool pool_;
    std::mt19937_64 random_;
    std::vector<std::pair<std::string, Address>> gateways_;
    std::vector<std::unique_ptr<Client>> clients_;
    std::map<net::HttpPool::Call, std::unique_ptr<Pending>> calls_;
    std::vector<std::vector<std::string>> prefixes_;  // by class: leading texts
    std::uint64_t last_call_ = 0;
    std::uint64_t last_session_ = 0;
    bool stopping_ = false;
    double burst_ = 1;
    double heavy_part_ = 0;
    double heavy_factor_ = 1;
    double give_up_ = 0;
    Figures figures_;
};

}  // namespace chalksail::lab
