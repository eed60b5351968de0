// Small numeric helpers that the parts of the routing policy share. They keep no state of their own.
#pragma once

#include <algorithm>
#include <chalksail/chalksail.hpp>
#include <string>

namespace chalksail::policy {

inline constexpr double kSmoothing = 0.2;  // weight of a new observation in a running mean

// Seconds as a duration; negative values count as zero, and a billion seconds is the most.
inline Duration from_seconds(double value) {
    return Duration(static_cast<std::int64_t>(std::clamp(value, 0.0, 1e9) * 1e9));
}

// FNV-1a with a finaliser, as a number between 0 and 1, ends excluded. Every gateway gets the same number for
// the same text, so that rendezvous hashing agrees without coordination.
inline double hash_to_unit_interval(const std::string& first, const std::string& second) {
    std::uint64_t hash = 1469598103934665603ULL;
    for (const std::string* text : {&first, &second})
        for (const char c : *text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
    return (static_cast<double>((hash ^ (hash >> 33U)) >> 11U) + 0.5) * 0x1p-53;
}

// The shortest latency objective of a first token among the request classes: the policy's unit of time.
inline Duration shortest_first_token_objective(const Settings& settings) {
    Duration shortest = settings.classes.front().first_token_objective;
    for (const auto& request_class : settings.classes)
        shortest = std::min(shortest, request_class.first_token_objective);
    return shortest;
}

// An exponentially weighted mean that starts at its first observation.
class RunningMean {
public:
    void add(double value, double weight = kSmoothing) {
        mean_ = observed_ ? mean_ + weight * (value - mean_) : value;
        observed_ = true;
    }
    [[nodiscard]] bool observed() const { return observed_; }
    // Zero before the first observation.
    [[nodiscard]] double mean() const { return mean_; }
    [[nodiscard]] double value_or(double value) const { return observed_ ? mean_ : value; }

private:
    double mean_ = 0;
    bool observed_ = false;
};

// What the router passes to the parts: the time of the step, and whether this gateway has sparse
// observations, that is, so small a part of the decode servers' memory that its own requests tell little
// about any one of them.
struct StepContext {
    Time now{};
    bool sparse_observations = false;
};

// The two stages of a request: prefill leaves a KV state, decode streams the answer.
enum class Stage { prefill, decode };

}  // namespace chalksail::policy
