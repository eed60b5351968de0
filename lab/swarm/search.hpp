// Searches for the scenario in which the routing policy does worst compared with simple placement policies,
// on the same random draws, and shrinks it. In virtual time; no I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "scenario/scenario.hpp"

namespace chalksail::lab {

// One scenario, and how the policies did.
struct Case {
    Scenario scenario;
    double module = 0;  // share of the priority weight that the router served
    double best = 0;    // of the best baseline ...
    std::string best_name;
    std::size_t rules_broken = 0;  // by the module
    [[nodiscard]] double regret() const { return best - module; }
};
// Simulates the scenario with the router and with least outstanding, two choices and prefix hash.
[[nodiscard]] Case play_case(Scenario scenario);

// The base with one to four drawn faults in place of its own, for each seed from `from` on. `on_case` is
// called with each; returning false ends the search. Returns the worst, or nothing if none was played.
[[nodiscard]] std::optional<Case> search_worst(const Scenario& base, std::uint64_t from, std::size_t seeds,
                                               const std::function<bool(const Case&)>& on_case);

// The smallest found that retains seven tenths of the regret: faults left out, then fewer clients, edges and
// engines, then a shorter day. A regret under 0.01 is no finding, and nothing is played. The fleet's size is
// part of what `engines_part` says of the base's.
struct Shrunk {
    Case what;
    double engines_part = 1;
    std::size_t played = 0;
};
[[nodiscard]] Shrunk shrink(const Scenario& base, Case found,
                            const std::function<bool(const Case&)>& on_case);
// The case as a scenario that changes `base_file`.
[[nodiscard]] std::string to_kdl(const Shrunk& shrunk, const std::string& base_file);

}  // namespace chalksail::lab
