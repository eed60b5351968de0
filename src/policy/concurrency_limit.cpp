#include "concurrency_limit.hpp"

#include <algorithm>
#include <utility>

namespace chalksail::policy {
namespace {

// Initial limit relative to this gateway's share of the memory, above 1 as gateways are rarely equally busy.
constexpr double kInitialLimitFactor = 1.5;
// Factor applied after an attempt at capacity, a late first token or a report of nearly full memory.
constexpr double kDecreaseFactor = 0.8;
// Fraction of a successful request's tokens that is added while the load is near the limit.
constexpr double kIncreaseFraction = 0.05;
// Minimum as a fraction of the initial limit, so that the limit alone never closes a server.
constexpr double kMinLimitFraction = 0.3;
// Recovery as a fraction of the initial limit, as a server without requests has no success to raise its
// limit.
constexpr double kRecoveryFractionPerSecond = 0.05;
constexpr int kMaxReportAgeObjectives = 3;   // maximum age of a report, in shortest latency objectives
constexpr double kNearlyFullFraction = 0.9;  // reported memory share above which a server is nearly full
// A report reflects attempts sent at least this part (1/n) of the shortest objective before it.
constexpr int kReportDelayDivisor = 4;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Settings& settings)
    : report_fields_(settings.report_fields),
      reports_memory_(std::find(report_fields_.begin(), report_fields_.end(), ReportField::memory_share) !=
                      report_fields_.end()),
      gateways_(settings.gateways),
      shortest_objective_(shortest_first_token_objective(settings)) {}

void ConcurrencyLimit::restart(ServerLimit& server, double memory_tokens) const {
    server.memory_ = memory_tokens;
    server.limit_ = initial_limit(server);
    server.reported_tokens_.reset();
}

double ConcurrencyLimit::initial_limit(const ServerLimit& server) const {
    return reports_memory_ && &server != &pool_
               ? kNearlyFullFraction * server.memory_
               : std::min(server.memory_, kInitialLimitFactor * server.memory_ / gateways_);
}

double ConcurrencyLimit::load(const ServerLimit& server, Time now) const {
    if (!reports_memory_ || &server == &pool_) return server.in_flight_tokens_;
    // Ignores old reports: otherwise a server that was full once would receive no requests and never report
    // again.
    if (!server.reported_tokens_ || now - server.reported_at_ > kMaxReportAgeObjectives * shortest_objective_)
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
    ServerLimit& target = target_limit(server, context);
    if (load(target, context.now) > kDecreaseFactor * target.limit_)
        target.limit_ = std::min(target.memory_, target.limit_ + kIncreaseFraction * tokens);
}

void ConcurrencyLimit::record_at_capacity(ServerLimit& server, Time sent_at, const StepContext& context) {
    lower(target_limit(server, context), sent_at, context.now);
}

void ConcurrencyLimit::record_first_token(ServerLimit& server, Duration elapsed, Duration objective,
                                          Time sent_at, const StepContext& context) {
    if (!reports_memory_ && seconds(elapsed) > kQueuedFirstTokenFraction * seconds(objective))
        lower(target_limit(server, context), sent_at, context.now);
}

void ConcurrencyLimit::record_report(ServerLimit& server, const std::vector<double>& report,
                                     const StepContext& context) {
    for (std::size_t i = 0; i < report.size() && i < report_fields_.size(); ++i) {
        if (report_fields_[i] != ReportField::memory_share) continue;
        server.reported_tokens_ = report[i] * server.memory_;
        server.in_flight_at_report_ = server.in_flight_tokens_;
        server.reported_at_ = context.now;
        average_report_ += kSmoothing * (*server.reported_tokens_ - average_report_);
        if (report[i] > kNearlyFullFraction)
            lower(target_limit(server, context), context.now - shortest_objective_ / kReportDelayDivisor,
                  context.now);
    }
}

// Decreases the limit once per overload: an attempt sent before the last decrease does not show its effect.
void ConcurrencyLimit::lower(ServerLimit& server, Time evidence_sent_at, Time now) {
    if (server.lowered_at_ != Time{} && evidence_sent_at < server.lowered_at_) return;
    server.lowered_at_ = now;
    any_lowered_ = true;
    server.limit_ = std::max(kMinLimitFraction * initial_limit(server),
                             kDecreaseFactor * std::min(server.limit_, load(server, now)));
}

bool ConcurrencyLimit::begin_recovery() { return std::exchange(any_lowered_, false); }

void ConcurrencyLimit::raise_towards_initial_limit(ServerLimit& server, double elapsed_seconds) const {
    const double start = initial_limit(server);
    if (server.limit_ < start)
        server.limit_ = std::min(start, server.limit_ + kRecoveryFractionPerSecond * start * elapsed_seconds);
}

void ConcurrencyLimit::recover(ServerLimit& server, double elapsed_seconds) {
    raise_towards_initial_limit(server, elapsed_seconds);
    any_lowered_ = any_lowered_ || server.limit_ < initial_limit(server);
}

void ConcurrencyLimit::recover_pool(double elapsed_seconds) {
    raise_towards_initial_limit(pool_, elapsed_seconds);
}

void ConcurrencyLimit::update_pool(double decode_memory) {
    const double share = pool_.memory_ > 0 ? pool_.limit_ / initial_limit(pool_) : 1;
    pool_.in_flight_tokens_ -= std::exchange(ended_tokens_, 0);
    pool_.memory_ = decode_memory;
    pool_.limit_ = share * initial_limit(pool_);
}

}  // namespace chalksail::policy
