// Whether a server's cache reports are to be believed, judged by its prefills: by the number of cached tokens
// that the engine itself returned, and by how long a prefill took beside prefills of uncached prompts. A
// wrong judgement costs speed only.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <optional>

namespace chalksail::prefix {

// How a prefill went.
struct ObservedPrefill {
    double prompt_tokens = 0;
    double reported_tokens = 0;           // cached, by the server's cache events before the prefill
    std::optional<double> cached_tokens;  // cached, by the engine's own answer; many engines give none
    Duration elapsed{};
};

// Moving average of the time that uncached prefills take, in seconds a prompt token.
class PrefillPace {
public:
    // Includes the prefill if nearly all of its prompt was uncached.
    void observe(const ObservedPrefill& prefill);
    // Enough samples to compare with?
    [[nodiscard]] bool known() const;
    [[nodiscard]] double seconds_per_token() const { return mean_; }

private:
    double mean_ = 0;
    std::uint64_t samples_ = 0;
};

// The trust in one server's reports: a moving average of their accuracy, with hysteresis.
class ReportTrust {
public:
    // `pace`: of this server if known, or else of all servers.
    void observe(const ObservedPrefill& prefill, const PrefillPace& pace);
    [[nodiscard]] bool trusted() const { return trusted_; }

private:
    double score_ = 1;  // 0: wrong, 1: right
    bool trusted_ = true;
};

}  // namespace chalksail::prefix
