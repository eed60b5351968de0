// Random fleets, traffic and faults, simulated in virtual time until an invariant is violated. Each is a
// function of its seed, written as a scenario that can be stored and replayed. No I/O.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "scenario/scenario.hpp"
#include "simulation/simulation.hpp"

namespace chalksail::lab {

// A scenario of 8 to 14 s, in KDL: one to six edges, five to sixteen engines, two to seven faults.
[[nodiscard]] std::string draw_scenario(std::uint64_t seed);
// One fault of any kind that virtual time knows, in the first four fifths of `length`.
[[nodiscard]] Fault draw_fault(sim::Stream& draws, const std::vector<std::string>& zones, Duration length);

// Cores that are broken on purpose, each of which the checker must catch.
enum class Mutation {
    lost_release,      // KV states are never released
    second_attempt,    // each attempt goes out twice
    ignored_drain,     // the list's "draining" and "removed" are ignored
    slow_start_flood,  // all requests of an engine's kind go to the one that has just started
    double_answer,     // a response is sent twice
    once_again,        // a reset is taken for "no connection": what may have run is retried
    lost_answer,       // one response in ten is never sent
};
inline constexpr std::size_t kMutations = 7;
[[nodiscard]] std::string_view name(Mutation mutation);
[[nodiscard]] Tampering tampering(Mutation mutation);

// A violation.
struct Found {
    std::uint64_t seed = 0;
    std::string what;   // the first thing that does not hold
    std::string trace;  // its records, where it is a breach
    std::string scenario;
};
// What must hold at the end, beside the five rules: nothing left open, no answer garbled, all asked accounted
// for. Nothing if all holds.
[[nodiscard]] std::optional<std::string> what_fails(const RuleReport& rule_report,
                                                    const VirtualFigures& figures);
// Plays one; nothing if all holds. The same seed finds the same.
[[nodiscard]] std::optional<Found> try_seed(std::uint64_t seed,
                                            std::optional<Mutation> mutation = std::nullopt);
// The same for a scenario's text, whose seed is `seed`.
[[nodiscard]] std::optional<Found> try_scenario(const std::string& text, std::uint64_t seed,
                                                std::optional<Mutation> mutation = std::nullopt);

}  // namespace chalksail::lab
