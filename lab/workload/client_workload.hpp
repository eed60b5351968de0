// The clients of a scenario: which requests they send, and when. Each has sessions of several turns, waits
// for the response, thinks, and sends the next request. It retries when it is rejected or, if the request is
// idempotent, when it failed; some disconnect early. The same workload is used on real sockets and in virtual
// time. No I/O, no clock, no threads; draws only from its own seed.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "checker/record.hpp"
#include "http/message.hpp"
#include "scenario/scenario.hpp"
#include "sim/random.hpp"

namespace chalksail::lab {

// One request as it leaves its client.
struct ClientCall {
    std::size_t client = 0;
    std::string number;       // X-Request-Id, and the key of keyed classes
    std::size_t gateway = 0;  // counted on without end: the owner takes it modulo its gateways
    const RequestClassSettings* cls = nullptr;
    http::Headers headers;
    std::string body;
    bool stream = false;
    std::uint64_t key = 0;   // of its prompt ...
    std::size_t tokens = 0;  // ... and the length of the answer that it is to get
    double prompt_tokens = 0;
    Time sent_at{};
    Time disconnect_at{};  // zero: never
};

// All clients of a scenario.
class ClientWorkload {
public:
    explicit ClientWorkload(const Scenario& scenario);
    void begin(Time now);
    // The requests that are due, each then awaited: call ended() or hung_up() for each.
    [[nodiscard]] std::vector<ClientCall> due(Time now);
    [[nodiscard]] std::optional<Time> next() const;
    // `text`: the response's. Returns true if the client will retry.
    bool ended(std::size_t client, Time now, const std::string& termination, const std::string& text,
               std::int64_t retry_after_ms);
    void hung_up(std::size_t client, Time now);
    void stop() { stopping_ = true; }

    // FaultInjector.
    void set_burst(double factor);
    void set_heavy_tail(double part, double factor) {
        heavy_part_ = part;
        heavy_factor_ = factor;
    }
    void set_give_up(double part) { give_up_ = part; }

private:
    struct Client {
        std::size_t number = 0;
        std::size_t cls = 0;
        std::string session;
        std::size_t gateway = 0;
        std::vector<std::string> messages;  // as JSON
        int turns_left = 0;
        int tries_left = 0;
        bool trying_again = false;
        std::uint64_t sessions = 0;
        std::uint64_t calls = 0;
        sim::Stream draws;
    };
    [[nodiscard]] static std::string words(sim::Stream& draws, std::size_t bytes);
    [[nodiscard]] const RequestClassSettings& class_of(const Client& client) const;
    [[nodiscard]] std::size_t active() const;
    void new_session(Client& client);
    void wait_until(std::size_t client, Time at);
    [[nodiscard]] ClientCall make_call(std::size_t client, Time now);

    const Scenario& scenario_;
    std::vector<Client> clients_;
    std::set<std::pair<Time, std::size_t>> waiting_;  // for their next request
    std::vector<std::size_t> resting_;                // due, but active only in a burst
    std::vector<std::vector<std::string>> prefixes_;  // by class: leading texts
    bool stopping_ = false;
    double burst_ = 1;
    double heavy_part_ = 0;
    double heavy_factor_ = 1;
    double give_up_ = 0;
};

// The record of a client's request as it is sent.
[[nodiscard]] Record request_record(const ClientCall& client_call, const std::string& gateway);

}  // namespace chalksail::lab
