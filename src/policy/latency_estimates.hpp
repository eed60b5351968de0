// Running means of the duration of attempts: prefill time per token, time to the first token and stream
// length. The expected service time of a request and the timeout of an attempt are derived from them.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <vector>

#include "request_table.hpp"
#include "statistics.hpp"

namespace chalksail::policy {

// The fixed cost of a prefill, in prompt tokens: engine steps and the network round trip.
inline constexpr double kPrefillOverheadTokens = 500;
// The fraction of the latency objective that the prefills queued at one server may take.
inline constexpr double kPrefillQueueFraction = 0.35;
// An attempt times out after this many times its expected duration.
inline constexpr int kAttemptTimeoutFactor = 4;

// The slowdown of one server relative to the others.
class ServerLatency {
public:
    // Returns 1 if the server is as fast as the others, faster or unknown, and more if it is slower.
    [[nodiscard]] double slowdown() const;
    void restart() { ratio_ = {}; }

private:
    friend class LatencyEstimates;
    RunningMean ratio_;  // this server's duration relative to the mean of all servers
};

class LatencyEstimates {
public:
    explicit LatencyEstimates(std::size_t request_classes) : stream_seconds_(request_classes) {}

    // Returns the prefill time per prompt token, including the fixed cost; zero before the first observation.
    [[nodiscard]] double prefill_seconds_per_token() const { return prefill_seconds_per_token_.value_or(0); }
    // Returns the expected time from the start of the request's next attempt to its first token.
    [[nodiscard]] Duration service_time(const Request& request) const;
    // Returns the maximum time until the first answer to the attempt, from its stage and its prefill queue.
    [[nodiscard]] Duration attempt_timeout(const Attempt& attempt, Duration first_token_objective) const;
    // Returns the mean length of a class's streams in seconds, or nullopt before the first observation.
    [[nodiscard]] std::optional<double> stream_seconds(std::size_t class_index) const;

    void record_first_token(Duration elapsed) { first_token_.add(seconds(elapsed)); }
    void record_stream(ServerLatency& server, std::size_t class_index, Duration length);
    void record_prefill(ServerLatency& server, const Attempt& attempt, Duration elapsed);
    // Records an attempt that had no answer within `elapsed`. It counts in the means, so that timeouts grow
    // when the whole fleet is slow, and attempts are not cancelled repeatedly.
    void record_unanswered(const Attempt& attempt, Duration elapsed);

private:
    std::vector<RunningMean> stream_seconds_;  // by request class
    RunningMean prefill_seconds_per_token_;    // per prompt token of the attempt and ahead of it
    RunningMean prefill_seconds_;
    RunningMean first_token_;  // seconds after the decode attempt was sent
};

}  // namespace chalksail::policy
