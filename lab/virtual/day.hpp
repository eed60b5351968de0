// Real edges' cores and the stand-in engines' models in virtual time: no socket, no clock, the same bytes for
// the same seed. A small one: what a later laboratory grows from. Records as the sockets' stand-ins do, for
// the same checker.
#pragma once

#include <chalksail/chalksail.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "clients/crowd.hpp"
#include "clients/transcript.hpp"
#include "core/edge.hpp"
#include "model/engine.hpp"
#include "model/exchange.hpp"
#include "record/checker.hpp"
#include "scenario/scenario.hpp"

namespace chalksail::lab {

struct VirtualFigures {
    std::size_t guards = 0;       // actions that the edges' guards stopped
    std::size_t open_at_end = 0;  // of all edges: requests, calls and states that are still there
    std::size_t fell = 0;
    double read_tokens = 0;  // of prompts read to their end
    double kept_tokens = 0;  // of these, found kept
    std::uint64_t cache_batches = 0;
    std::uint64_t cache_lost = 0;
    prefix::Knowledge::Counts prefixes;  // over all edges, at the end
};

// For tests of the checker: a gateway that is broken on purpose, by changing what its core hears and says.
struct Tampering {
    std::function<void(std::vector<core::Input>&)> before;
    std::function<void(std::vector<core::Output>&)> after;
};

class VirtualDay {
public:
    void tamper(Tampering tampering) { tampering_ = std::move(tampering); }
    // Plays `scenario` (its length is of virtual time); troubles as on sockets, but for the edges' own
    // processes.
    explicit VirtualDay(Scenario scenario, std::optional<Placing> baseline = std::nullopt);
    ~VirtualDay();
    // Runs to the end, and on until nothing is open or `rest` is over. Returns what the checker says.
    Verdict5 run(Duration rest = std::chrono::seconds(60));
    [[nodiscard]] const std::vector<Record>& records() const { return recorder_.all(); }
    [[nodiscard]] const VirtualFigures& figures() const { return figures_; }

private:
    struct Gateway;
    struct Host;
    struct Exchange;
    struct Ask;

    void at(Time when, std::function<void()> act);
    void give(Gateway& gateway, core::Input input);
    void step(Gateway& gateway);
    void carry_out(Gateway& gateway, core::Output& output);
    void reach(Gateway& gateway, const core::Call& call);
    void answer(Exchange& exchange, int status, const std::string& body, const std::string& not_run = "");
    void cut(std::uint64_t exchange);
    void move(Host& host);
    void publish(Host& host);
    void replay(Gateway& gateway, const core::CacheReplay& wanted);
    void move_clients();
    void ask(ClientAsk ask);
    void answered(const std::string& request, const Transcript::End& end);
    void hang_up(const std::string& request);
    void tell(const std::string& server, const std::string& state);
    void kill(const std::string& server, Duration lasts);
    void trouble(const Trouble& trouble);
    void note(What what, const Host& host, const Asked& asked, const std::string& fate);
    void note_state(What what, const Host& host, const std::string& edge_request);
    Host* find(const std::string& name);
    double draw() { return std::generate_canonical<double, 53>(random_); }
    core::ListedServer entry(const Host& host) const;

    Scenario scenario_;
    Recorder recorder_;
    VirtualFigures figures_;
    Links links_;
    std::mt19937_64 random_;
    Time now_{};
    Time end_{};
    std::multimap<Time, std::function<void()>> timeline_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::map<std::uint64_t, std::unique_ptr<Exchange>> exchanges_;
    std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> by_call_;  // gateway, call -> exchange
    std::map<std::string, std::unique_ptr<Ask>> asks_;                        // by the client's number
    std::map<std::string, std::string> client_number_;
    std::set<std::pair<std::string, std::string>> told_cold_;
    std::uint64_t last_exchange_ = 0;
    Crowd crowd_;
    std::optional<Time> clients_wake_;
    std::uint64_t last_peer_ = 0;
    Duration lag_{};
    Tampering tampering_;
};

}  // namespace chalksail::lab
