#include "concurrency_limit.hpp"

#include <algorithm>
#include <utility>

namespace chalksail::policy {
namespace {

constexpr double kStartingShare =
    1.5;                            // of this gateway's part of the memory; gateways are seldom equally busy
constexpr double kDecrease = 0.8;   // factor after an attempt at capacity or a high memory report
constexpr double kIncrease = 0.05;  // share of a successful request's tokens added while the limit binds
constexpr double kFloor = 0.3;      // of the start: a server is never closed by the limit alone
constexpr double kRecoveryRate =
    0.05;                             // of the start, each second: a closed server has no success to raise it
constexpr int kReportObjectives = 3;  // shortest objectives after which a report is too old to count
constexpr double kNearlyFull = 0.9;   // reported share of memory
constexpr int kReportEvidence = 4;  // part of the shortest objective: what a report reflects was sent before

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Settings& settings)
    : report_fields_(settings.report_fields),
      reports_memory_(std::find(report_fields_.begin(), report_fields_.end(), ReportField::memory_share) !=
                      report_fields_.end()),
      gateways_(settings.gateways),
      shortest_objective_(shortest_first_token_objective(settings)) {}

void ConcurrencyLimit::restart(ServerLimit& server, double memory_tokens) const {
    server.memory_ = memory_tokens;
    server.limit_ = starting_limit(server);
    server.reported_tokens_.reset();
}

double ConcurrencyLimit::starting_limit(const ServerLimit& server) const {
    return reports_memory_ && &server != &pool_
               ? kNearlyFull * server.memory_
               : std::min(server.memory_, kStartingShare * server.memory_ / gateways_);
}

double ConcurrencyLimit::load(const ServerLimit& server, Time now) const {
    if (!reports_memory_ || &server == &pool_) return server.in_flight_tokens_;
    // An old report is none: a server that once was full would get nothing and so never report again.
    if (!server.reported_tokens_ || now - server.reported_at_ > kReportObjectives * shortest_objective_)
        return std::max(server.in_flight_tokens_, average_report_);
    return std::max(
        server.in_flight_tokens_,
        *server.reported_tokens_ + std::max(0.0, server.in_flight_tokens_ - server.in_flight_at_report_));
}

void ConcurrencyLimit::record_sent(ServerLimit& server, double tokens) {
    server.in_flight_tokens_ += tokens;
    pool_.in_flight_tokens_ += tokens;
}

void ConcurrencyLimit::record_ended(ServerLimit& server, double tokens) {
    server.in_flight_tokens_ -= tokens;
    ended_tokens_ += tokens;
}

void ConcurrencyLimit::record_success(ServerLimit& server, double tokens, const StepContext& context) {
    ServerLimit& target = limited(server, context);
    if (load(target, context.now) > kDecrease * target.limit_)
        target.limit_ = std::min(target.memory_, target.limit_ + kIncrease * tokens);
}

void ConcurrencyLimit::record_at_capacity(ServerLimit& server, Time sent_at, const StepContext& context) {
    lower(limited(server, context), sent_at, context.now);
}

void ConcurrencyLimit::record_first_token(ServerLimit& server, Duration elapsed, Duration objective,
                                          Time sent_at, const StepContext& context) {
    if (!reports_memory_ && seconds(elapsed) > kQueuedShare * seconds(objective))
        lower(limited(server, context), sent_at, context.now);
}

void ConcurrencyLimit::record_report(ServerLimit& server, const std::vector<double>& report,
                                     const StepContext& context) {
    for (std::size_t i = 0; i < report.size() && i < report_fields_.size(); ++i) {
        if (report_fields_[i] != ReportField::memory_share) continue;
        server.reported_tokens_ = report[i] * server.memory_;
        server.in_flight_at_report_ = server.in_flight_tokens_;
        server.reported_at_ = context.now;
        average_report_ += kSmoothing * (*server.reported_tokens_ - average_report_);
        if (report[i] > kNearlyFull)
            lower(limited(server, context), context.now - shortest_objective_ / kReportEvidence, context.now);
    }
}

// Once for each overload: what was sent before the last decrease tells nothing of how that decrease works.
void ConcurrencyLimit::lower(ServerLimit& server, Time evidence_sent_at, Time now) {
    if (server.lowered_at_ != Time{} && evidence_sent_at < server.lowered_at_) return;
    server.lowered_at_ = now;
    any_lowered_ = true;
    server.limit_ =
        std::max(kFloor * starting_limit(server), kDecrease * std::min(server.limit_, load(server, now)));
}

bool ConcurrencyLimit::begin_recovery() { return std::exchange(any_lowered_, false); }

void ConcurrencyLimit::raise_towards_start(ServerLimit& server, double elapsed_seconds) const {
    const double start = starting_limit(server);
    if (server.limit_ < start)
        server.limit_ = std::min(start, server.limit_ + kRecoveryRate * start * elapsed_seconds);
}

void ConcurrencyLimit::recover(ServerLimit& server, double elapsed_seconds) {
    raise_towards_start(server, elapsed_seconds);
    any_lowered_ = any_lowered_ || server.limit_ < starting_limit(server);
}

void ConcurrencyLimit::recover_pool(double elapsed_seconds) { raise_towards_start(pool_, elapsed_seconds); }

void ConcurrencyLimit::update_pool(double decode_memory) {
    const double share = pool_.memory_ > 0 ? pool_.limit_ / starting_limit(pool_) : 1;
    pool_.in_flight_tokens_ -= std::exchange(ended_tokens_, 0);
    pool_.memory_ = decode_memory;
    pool_.limit_ = share * starting_limit(pool_);
}

}  // namespace chalksail::policy
