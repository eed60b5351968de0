// A scenario, in KDL: the fleet, the traffic, and the faults on a timeline. Parsing only: no I/O, no
// decisions; errors are returned with line and column.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "baseline/baseline.hpp"
#include "config/settings.hpp"
#include "model/engine.hpp"
#include "sim/network.hpp"

namespace chalksail::lab {

// Kinds of faults; their names in a scenario are those of the bench.
enum class FaultKind {
    crash,            // a share of the engines crashes at once, and restarts after "for"
    vanish,           // they go silent: no reset, no answer; and restart
    stall,            // "hang": they stop, and later continue where they were
    slow,             // they take "factor" times as long
    ageing,           // the same, growing all the while
    fast_errors,      // they quickly fail "part" of their requests
    answer_lost,      // they never answer "part" of their requests
    origin_slow,      // the links of the racks run "factor" times slower
    discovery_stale,  // the list runs "lag" behind
    zone_loss,        // a whole zone crashes, and restarts
    preempt,          // engines drain, and are removed after "notice"
    burst,            // traffic is "factor" times the usual
    heavy_tail,       // "part" of the prompts are "factor" times as long
    give_up,          // "part" of the clients disconnect early
    wrong_name,       // an engine's certificate is of another name, from its restart on until "for" is over
    // In virtual time only:
    partition,  // with zone=, that zone is cut off; else engines are, for "part" of the edges, which are not
                // notified
    half_open,  // "part" of the connections to engines go silent, and neither end learns of it
    resets,     // "part" of the connections to engines that are made in that time are broken
};
inline constexpr std::size_t kFaultKinds = 18;
[[nodiscard]] std::string_view name(FaultKind kind);
[[nodiscard]] constexpr bool only_in_virtual_time(FaultKind kind) {
    return kind == FaultKind::partition || kind == FaultKind::half_open || kind == FaultKind::resets;
}
struct Fault {
    FaultKind kind = FaultKind::crash;
    Duration at{};
    Duration lasts{};
    std::string server;   // one engine; else ...
    std::string engines;  // ... a share of the engines of this kind; empty: of all
    std::string zone;
    double share = 0.2;
    double factor = 3;
    double part = 0.3;
    Duration lag = std::chrono::seconds(5);
    Duration notice = std::chrono::seconds(2);
};

// Engines of one make, as the scenario lists them.
struct EngineGroup {
    std::string name;
    EngineSpec spec;
    int count = 1;
};

// Engines' cache events, where the edge's settings say that their kind publishes them.
struct CachePart {
    double lost = 0;         // part of the batches that only a replay can bring
    std::size_t past = 200;  // batches that an engine can replay
    bool instant = false;    // virtual time only: received at the moment of publishing
};

// One of the policies that a comparison runs side by side, on the same scenario.
struct Arm {
    std::string name;
    std::optional<PlacementPolicy> policy;  // a baseline; else the router decides
    bool cache_events = true;               // off: no engine publishes
    std::optional<double> lost;             // in place of the scenario's
    bool instant = false;
};

// Verified TLS between edges and engines.
struct TlsPart {
    int edges = 0;              // the first so many; the others use plaintext, to the same engines
    bool keeps_tickets = true;  // an engine's ticket keys outlive its restart
    int renewals = 0;           // of all certificates and of the bundle, spread over the run
};

struct TrafficClass {
    std::string name;  // a class of the edge's settings
    std::string model;
    double share = 1;
    double stream_part = 0.9;
    int turns = 3;
    int system_bytes = 4000;
    int prefixes = 4;  // different leading texts
    int turn_bytes = 1200;
    int max_tokens = 120;
    Duration think = std::chrono::milliseconds(500);
};

struct Scenario {
    std::string name = "unnamed";
    std::uint64_t seed = 1;
    Duration length = std::chrono::seconds(20);
    int edges = 1;
    int clients = 20;
    int client_retries = 2;
    Duration client_ramp = std::chrono::seconds(1);  // their first requests are spread over it
    Duration list_lag = std::chrono::milliseconds(500);
    Duration list_spread{};    // virtual time: each edge receives the list up to this much later
    sim::NetworkSpec network;  // virtual time: between edges and engines
    Duration measuring = std::chrono::milliseconds(100);
    std::vector<std::string> zones = {"here"};
    std::vector<EngineGroup> groups;
    std::vector<EngineSpec> engines;  // all of the groups, one by one
    Links::Rates links;
    std::vector<TrafficClass> traffic;
    std::vector<Fault> faults;
    TlsPart tls;
    CachePart caches;
    std::vector<Arm> arms;
    std::string edge_text;      // the edges' settings as written, without servers
    config::EdgeSettings edge;  // the same, read
};

// The same day at another size: groups of engines and the clients grow alike; at least one engine of each
// group. Throws std::invalid_argument if a fault names an engine that no longer exists.
[[nodiscard]] Scenario resized(Scenario scenario, int engines, int edges);

// A scenario may be another one with changes: 'base "file"', and what differs (seed, length, edges, clients,
// engines-part, troubles). This is the file's name as written; whoever reads files reads it and hands it on.
[[nodiscard]] std::optional<std::string> base_of(std::string_view text);
[[nodiscard]] tl::expected<Scenario, std::vector<config::Problem>> parse_scenario(
    std::string_view text, const std::string& file, const Scenario* base = nullptr);
// As it stands in a scenario.
[[nodiscard]] std::string to_kdl(const Fault& fault);

}  // namespace chalksail::lab
