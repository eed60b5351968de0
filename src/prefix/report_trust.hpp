// Decides whether a server's cache reports are trusted, based on its prefills: on the number of cached tokens
// that the engine returned, and on the duration of a prefill compared with prefills of uncached prompts. A
// wrong decision affects performance only, not correctness.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <optional>

namespace chalksail::prefix {

// The reported and measured data of one completed prefill.
struct ObservedPrefill {
    double prompt_tokens = 0;
    double reported_tokens = 0;           // cached tokens according to cache events before the prefill
    std::optional<double> cached_tokens;  // cached tokens in the engine's response; many engines return none
    Duration elapsed{};
};

// Moving average of the duration of uncached prefills, in seconds per prompt token.
class PrefillPace {
public:
    // Adds the prefill to the average if nearly all of its prompt was uncached.
    void observe(const ObservedPrefill& prefill);
    // Returns true if there are enough samples for a comparison.
    [[nodiscard]] bool known() const;
    [[nodiscard]] double seconds_per_token() const { return mean_; }

private:
    double mean_ = 0;
    std::uint64_t samples_ = 0;
};

// Tracks the accuracy of one server's reports as a moving average. Trust changes with hysteresis.
class ReportTrust {
public:
    // `pace` is the pace of this server if known, otherwise that of all servers.
    void observe(const ObservedPrefill& prefill, const PrefillPace& pace);
    [[nodiscard]] bool trusted() const { return trusted_; }

private:
    double score_ = 1;  // accuracy from 0 (all reports wrong) to 1 (all correct)
    bool trusted_ = true;
};

}  // namespace chalksail::prefix
