// The arms of a scenario side by side in virtual time: each plays every seed, and the differences are taken
// seed by seed. Simulated figures, the same for the same seeds.
#pragma once

#include <string>
#include <vector>

#include "scenario/scenario.hpp"

namespace chalksail::lab {

// A mean over the seeds, and half the width of its 95% confidence interval (Student's t; 0 for one seed).
struct Estimate {
    double mean = 0;
    double half_width = 0;
};
[[nodiscard]] Estimate estimate(const std::vector<double>& values);

// What is measured of a run.
enum class Measure {
    weight_share,  // share of the priority weight of all requests that was served
    first_p50_ms,  // first token of served streams
    first_p90_ms,
    first_p99_ms,
    anew,      // part of the prefilled prompt tokens that were not cached
    served,    // part of the requests
    requests,  // requests
    refused,   // part of the requests
    attempts,  // a request
    waste,     // part of the attempts of which nothing reached a client
};
inline constexpr std::size_t kMeasures = 10;
[[nodiscard]] std::string_view name(Measure measure);

struct ArmResult {
    std::string name;
    std::vector<std::vector<double>> by_measure;  // [measure][seed]
    std::size_t rules_broken = 0;
    std::uint64_t cache_batches = 0, cache_lost = 0, gaps = 0, unfilled = 0;
};
// Plays `seeds` seeds from the scenario's on. Throws std::invalid_argument for a
// scenario without arms.
[[nodiscard]] std::vector<ArmResult> compare_arms(const Scenario& scenario, std::size_t seeds);
// A table for people; differences are to the first arm.
[[nodiscard]] std::string format(const std::vector<ArmResult>& arms);
[[nodiscard]] std::string to_json(const std::vector<ArmResult>& arms);

}  // namespace chalksail::lab
