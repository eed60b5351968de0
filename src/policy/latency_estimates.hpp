// Running means of what attempts take: the pace of a prefill, the time to the first token, the length of
// streams. From them come the expected service time of a request and the timeout of an attempt.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <vector>

#include "request_table.hpp"
#include "statistics.hpp"

namespace chalksail::policy {

// A prefill's fixed cost, in prompt tokens: engine steps and the way there.
inline constexpr double kPrefillOverheadTokens = 500;
// Part of the latency objective that the prefills queued at one server may take.
inline constexpr double kPrefillQueueShare = 0.35;
// An attempt may take this many times what is usual.
inline constexpr int kAttemptTimeoutFactor = 4;

// How slow one server is against the others.
class ServerLatency {
public:
    // 1: as fast as the others, or unknown; a faster one counts as 1.
    [[nodiscard]] double slowdown() const;
    void restart() { ratio_ = {}; }

private:
    friend class LatencyEstimates;
    RunningMean ratio_;  // of its time to the mean of all
};

class LatencyEstimates {
public:
    explicit LatencyEstimates(std::size_t request_classes) : stream_seconds_(request_classes) {}

    // Seconds for each prompt token, fixed cost included; zero before the first observation.
    [[nodiscard]] double prefill_pace() const { return prefill_pace_.value_or(0); }
    // From the start of the request's next attempt to its first token, as things are.
    [[nodiscard]] Duration service_time(const Request& request) const;
    // How long the attempt may take to its first answer, from its stage and its prefill queue.
    [[nodiscard]] Duration attempt_timeout(const Attempt& attempt, Duration first_token_objective) const;
    // The mean length of a class's streams, in seconds; none before the first observation.
    [[nodiscard]] std::optional<double> stream_seconds(std::size_t class_index) const;

    void record_first_token(Duration elapsed) { first_token_.add(seconds(elapsed)); }
    void record_stream(ServerLatency& server, std::size_t class_index, Duration length);
    void record_prefill(ServerLatency& server, const Attempt& attempt, Duration elapsed);
    // An attempt without an answer in this time: usual times follow what is observed, so that a slow fleet's
    // attempts are not abandoned again and again.
    void record_unanswered(const Attempt& attempt, Duration elapsed);

private:
    std::vector<RunningMean> stream_seconds_;  // by request class
    RunningMean prefill_pace_;                 // seconds for each prompt token of the attempt and ahead of it
    RunningMean prefill_seconds_;
    RunningMean first_token_;  // seconds since the decode attempt was sent
};

}  // namespace chalksail::policy
