// The adaptive concurrency limit of the decode servers, in tokens: how many prompt and output tokens this
// gateway keeps in flight at a server. The limit decreases when a server is at capacity, reports nearly full
// memory or starts its streams late. It increases while requests succeed near the limit, and recovers over
// time.
//
// Each server has a limit. With sparse observations a single limit applies to all decode servers together
// (the pool), because there are too few observations of each server.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <vector>

#include "statistics.hpp"

namespace chalksail::policy {

// A first token that takes longer than this fraction of its objective is assumed to have queued at its decode
// server.
inline constexpr double kQueuedFirstTokenFraction = 0.3;

// Limit, load and last report of one server, or of the pool. Only ConcurrencyLimit modifies it.
class ServerLimit {
public:
    [[nodiscard]] double limit() const { return limit_; }

private:
    friend class ConcurrencyLimit;
    double memory_ = 0;            // tokens
    double limit_ = 0;             // tokens
    double in_flight_tokens_ = 0;  // prompts and predicted outputs of this gateway's attempts
    Time lowered_at_{};
    std::optional<double> reported_tokens_;
    double in_flight_at_report_ = 0;
    Time reported_at_{};
};

class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(const Settings& settings);

    // Resets the limit of a server that has started with this memory. Its tokens in flight remain counted.
    void restart(ServerLimit& server, double memory_tokens) const;
    // Returns the load in tokens: this gateway's tokens in flight, or more if the server reports more. A
    // server without a recent report is assumed to have at least the average reported load.
    [[nodiscard]] double load(const ServerLimit& server, Time now) const;
    [[nodiscard]] bool has_capacity(const ServerLimit& server, const StepContext& context) const {
        return context.sparse_observations || load(server, context.now) < server.limit_;
    }
    // Returns the limit minus the tokens in flight, over all decode servers.
    [[nodiscard]] double pool_capacity() const { return pool_.limit_ - pool_.in_flight_tokens_; }
    [[nodiscard]] bool reports_memory() const { return reports_memory_; }

    void record_sent(ServerLimit& server, double tokens);
    void record_ended(ServerLimit& server, double tokens);
    void record_success(ServerLimit& server, double tokens, const StepContext& context);
    // Records that the server was at capacity for an attempt sent at `sent_at`.
    void record_at_capacity(ServerLimit& server, Time sent_at, const StepContext& context);
    // Records the first token of an attempt at a decode server in the cell of the prefill server. If servers
    // do not report memory, a late first token lowers the limit, as the request has queued.
    void record_first_token(ServerLimit& server, Duration elapsed, Duration objective, Time sent_at,
                            const StepContext& context);
    void record_report(ServerLimit& server, const std::vector<double>& report, const StepContext& context);

    // Returns whether any server's limit may be below its initial value, so that recover() has to be called
    // for each server. This is rare, and skipping the scan saves time in a large fleet.
    [[nodiscard]] bool begin_recovery();
    void recover(ServerLimit& server, double elapsed_seconds);
    void recover_pool(double elapsed_seconds);
    // Subtracts the tokens that have ended in this step, and sets the memory of the decode servers in
    // service.
    void update_pool(double decode_memory);

private:
    [[nodiscard]] double initial_limit(const ServerLimit& server) const;
    ServerLimit& target_limit(ServerLimit& server, const StepContext& context) {
        return context.sparse_observations ? pool_ : server;
    }
    void lower(ServerLimit& server, Time evidence_sent_at, Time now);
    void raise_towards_initial_limit(ServerLimit& server, double elapsed_seconds) const;

    std::vector<ReportField> report_fields_;
    bool reports_memory_;
    int gateways_;
    Duration shortest_objective_;
    ServerLimit pool_;
    double ended_tokens_ = 0;  // tokens ended in this step, still counted in the pool's tokens in flight
    double average_report_ = 0;
    bool any_lowered_ = false;
};

}  // namespace chalksail::policy
