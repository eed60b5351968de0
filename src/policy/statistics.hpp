// Numeric helpers shared by the components of the routing policy.
#pragma once

#include <algorithm>
#include <chalksail/chalksail.hpp>
#include <string>

namespace chalksail::policy {

inline constexpr double kSmoothing = 0.2;  // weight of a new observation in a running mean

// Converts seconds to a duration, limited to the range from zero to a billion seconds.
inline Duration from_seconds(double value) {
    return Duration(static_cast<std::int64_t>(std::clamp(value, 0.0, 1e9) * 1e9));
}

// Returns the FNV-1a hash of the texts, with a finalizer, as a number in the open interval (0, 1). All
// gateways compute the same number for the same text, so that their rendezvous hashing agrees without
// coordination.
inline double hash_to_unit_interval(const std::string& first, const std::string& second) {
    std::uint64_t hash = 1469598103934665603ULL;
    for (const std::string* text : {&first, &second})
        for (const char c : *text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    hash = (hash ^ (hash >> 33U)) * 0xff51afd7ed558ccdULL;
    return (static_cast<double>((hash ^ (hash >> 33U)) >> 11U) + 0.5) * 0x1p-53;
}

// Returns the shortest first-token latency objective of the request classes, which the policy uses as its
// unit of time.
inline Duration shortest_first_token_objective(const Settings& settings) {
    Duration shortest = settings.classes.front().first_token_objective;
    for (const auto& request_class : settings.classes)
        shortest = std::min(shortest, request_class.first_token_objective);
    return shortest;
}

// An exponentially weighted moving average, initialized with its first observation.
class RunningMean {
public:
    void add(double value, double weight = kSmoothing) {
        mean_ = observed_ ? mean_ + weight * (value - mean_) : value;
        observed_ = true;
    }
    [[nodiscard]] bool observed() const { return observed_; }
    // Returns zero before the first observation.
    [[nodiscard]] double mean() const { return mean_; }
    [[nodiscard]] double value_or(double value) const { return observed_ ? mean_ : value; }

private:
    double mean_ = 0;
    bool observed_ = false;
};

// The step's context for the components: its time, and whether this gateway has sparse observations. That is
// the case if its share of the decode servers' memory is so small that its own requests say little about any
// one server.
struct StepContext {
    Time now{};
    bool sparse_observations = false;
};

// The two stages of a request: prefill produces a KV state, decode streams the answer.
enum class Stage { prefill, decode };

}  // namespace chalksail::policy
