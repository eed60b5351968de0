// The adaptive concurrency limit of the decode servers, in tokens: how many prompt and output tokens this
// gateway keeps in flight at a server. It falls when a server is at capacity, reports nearly full memory or
// starts its streams late, rises while requests succeed at the limit, and recovers with time.
//
// Each server has a limit. With sparse observations one limit stands for all decode servers together (the
// pool), as each server is observed too seldom to have its own.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <vector>

#include "statistics.hpp"

namespace chalksail::policy {

// Part of the first-token objective: a first token that takes longer has queued at its decode server.
inline constexpr double kQueuedShare = 0.3;

// Limit, load and last report of one server, or of the pool. Changed by ConcurrencyLimit only.
class ServerLimit {
public:
    [[nodiscard]] double limit() const { return limit_; }

private:
    friend class ConcurrencyLimit;
    double memory_ = 0;            // tokens
    double limit_ = 0;             // tokens
    double in_flight_tokens_ = 0;  // prompts and predicted outputs of own attempts and streams
    Time lowered_at_{};
    std::optional<double> reported_tokens_;
    double in_flight_at_report_ = 0;
    Time reported_at_{};
};

class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(const Settings& settings);

    // A server has started with this memory: its limit starts anew, its tokens in flight remain.
    void restart(ServerLimit& server, double memory_tokens) const;
    // Own tokens, raised by the server's reports; one that has not reported lately counts as average.
    [[nodiscard]] double load(const ServerLimit& server, Time now) const;
    [[nodiscard]] bool has_capacity(const ServerLimit& server, const StepContext& context) const {
        return context.sparse_observations || load(server, context.now) < server.limit_;
    }
    // Limit less tokens in flight, over all decode servers.
    [[nodiscard]] double pool_capacity() const { return pool_.limit_ - pool_.in_flight_tokens_; }
    [[nodiscard]] bool reports_memory() const { return reports_memory_; }

    void record_sent(ServerLimit& server, double tokens);
    void record_ended(ServerLimit& server, double tokens);
    void record_success(ServerLimit& server, double tokens, const StepContext& context);
    // A server was at capacity for an attempt sent at `sent_at`.
    void record_at_capacity(ServerLimit& server, Time sent_at, const StepContext& context);
    // The first token of an attempt beside its prefill server. Without reports, a late one has queued.
    void record_first_token(ServerLimit& server, Duration elapsed, Duration objective, Time sent_at,
                            const StepContext& context);
    void record_report(ServerLimit& server, const std::vector<double>& report, const StepContext& context);

    // Whether a server's limit may be below its start, so that recover() is due for each server. It is seldom
    // so; at large size each walk over the servers costs.
    [[nodiscard]] bool begin_recovery();
    void recover(ServerLimit& server, double elapsed_seconds);
    void recover_pool(double elapsed_seconds);
    // Takes over what has ended in this step, and the memory of the decode servers in service.
    void update_pool(double decode_memory);

private:
    [[nodiscard]] double starting_limit(const ServerLimit& server) const;
    ServerLimit& limited(ServerLimit& server, const StepContext& context) {
        return context.sparse_observations ? pool_ : server;
    }
    void lower(ServerLimit& server, Time evidence_sent_at, Time now);
    void raise_towards_start(ServerLimit& server, double elapsed_seconds) const;

    std::vector<ReportField> report_fields_;
    bool reports_memory_;
    int gateways_;
    Duration shortest_objective_;
    ServerLimit pool_;
    double ended_tokens_ = 0;  // of the pool's tokens in flight, in this step
    double average_report_ = 0;
    bool any_lowered_ = false;
};

}  // namespace chalksail::policy
