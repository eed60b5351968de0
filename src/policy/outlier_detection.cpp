#include "outlier_detection.hpp"

#include <algorithm>

#include "latency_estimates.hpp"

namespace chalksail::policy {
namespace {

// Weight of one outcome in the moving average of a server's error share.
constexpr double kErrorWeight = 0.25;
constexpr double kEjectionErrorShare = 0.4;  // ejects a server, reached by two errors in quick succession
constexpr double kRecentFailureErrorShare = 0.1;  // falls below it with four successes after one error
// A health check that returns within this part (1/n) of the dial timeout did not queue.
constexpr int kUnqueuedCheckDivisor = 8;
constexpr int kBusyTimeoutFactor = 3;  // extends the timeout of a server that answers health checks
// Attempts per shortest objective at a server while no server of its role is healthy.
constexpr int kSendsPerObjective = 4;
constexpr int kTrialSuccesses = 2;  // successes that end the trial of an ejected server

}  // namespace

bool ServerHealth::recently_failed() const { return error_share_ > kRecentFailureErrorShare; }

OutlierDetection::OutlierDetection(const Settings& settings)
    : health_checks_enabled_(settings.health_checks_enabled),
      dial_timeout_(settings.dial_timeout),
      shortest_objective_(shortest_first_token_objective(settings)),
      // An ejection lasts no longer than the warm-up of a restarted server.
      longest_ejection_(std::max(shortest_objective_, settings.slow_start_duration)) {}

bool OutlierDetection::admits(const ServerHealth& server, Idempotency idempotency,
                              bool role_has_healthy_server, Time now) const {
    if (server.in_good_standing()) return true;
    if (server.trial_open_ && idempotency == Idempotency::idempotent) return true;
    // If no server is healthy, the server is used at a limited rate; otherwise fast failures would soon use
    // up all attempts of every request.
    return !role_has_healthy_server && now >= server.last_sent_ + shortest_objective_ / kSendsPerObjective;
}

void OutlierDetection::restart(const ServerId& id, ServerHealth& server) {
    reinstate(id, server);
    server.error_share_ = 0;
}

void OutlierDetection::record_sent(ServerHealth& server, Time now) {
    server.last_sent_ = now;
    if (server.in_good_standing()) return;
    server.trial_open_ = false;  // one request at a time while on trial
    ++version_;
}

void OutlierDetection::record_success(const ServerId& id, ServerHealth& server) {
    server.error_share_ *= 1 - kErrorWeight;
    if (server.in_good_standing()) return;
    server.trial_open_ = true;
    ++version_;
    if (++server.trial_successes_ >= kTrialSuccesses) reinstate(id, server);
}

void OutlierDetection::record_error(const ServerId& id, ServerHealth& server, Time now) {
    server.error_share_ += kErrorWeight * (1 - server.error_share_);
    if (server.error_share_ > kEjectionErrorShare || !server.in_good_standing()) eject(id, server, now);
}

// Ejects for the shortest latency objective, and for twice as long at each further ejection.
void OutlierDetection::eject(const ServerId& id, ServerHealth& server, Time now) {
    if (server.ejected() && now < server.ejected_until_) return;  // simultaneous failures count once
    unhealthy_.insert(id);
    ++version_;
    server.ejection_ =
        server.in_good_standing() ? shortest_objective_ : std::min(2 * server.ejection_, longest_ejection_);
    server.ejected_until_ = now + server.ejection_;
    end_trial(server);
}

void OutlierDetection::reinstate(const ServerId& id, ServerHealth& server) {
    server.ejection_ = Duration::zero();
    server.error_share_ = kErrorWeight;  // treated as one error, until later successes reduce it
    unhealthy_.erase(id);
    ++version_;
    end_trial(server);
}

void OutlierDetection::end_trial(ServerHealth& server) {
    server.trial_successes_ = 0;
    server.trial_open_ = false;
}

void OutlierDetection::record_health_check(ServerHealth& server, const HealthCheckEnded& result, Time now) {
    server.health_check_in_flight_ = false;
    if (result.outcome != AttemptOutcome::ok) {
        server.check_failed_at_ = now;
        if (!server.in_good_standing()) server.ejected_until_ = now + server.ejection_;
        return;
    }
    server.check_passed_at_ = now;
    // So late an answer has queued behind requests, so a missing one may only show that the server is busy.
    if (result.elapsed > dial_timeout_ / kUnqueuedCheckDivisor) health_checks_queue_ = true;
    if (server.in_good_standing()) return;
    server.trial_open_ = true;
    ++version_;
}

bool OutlierDetection::begin_readmission(ServerHealth& server, Time now) {
    if (now < server.ejected_until_ || server.trial_open_ || server.health_check_in_flight_) return false;
    server.health_check_in_flight_ = health_checks_enabled_;
    server.trial_open_ = !health_checks_enabled_;
    ++version_;
    return server.health_check_in_flight_;
}

std::optional<Time> OutlierDetection::readmission_due(const ServerHealth& server) {
    if (server.trial_open_ || server.health_check_in_flight_) return {};
    return server.ejected_until_;
}

SilenceResponse OutlierDetection::check_silence(ServerHealth& server, Time sent_at, Duration attempt_timeout,
                                                const StepContext& context) {
    SilenceResponse response;
    const Time now = context.now;
    const Time silent_since = std::max(sent_at, server.last_answer_);
    // With sparse observations a health check decides. A server that answers it is busy and gets a longer
    // timeout, but not an unlimited one, as it may answer health checks and lose requests.
    const bool use_health_check = health_checks_enabled_ && context.sparse_observations;
    if (use_health_check && !server.health_check_in_flight_ && server.silence_checked_at_ < silent_since &&
        now >= silent_since + attempt_timeout / kAttemptTimeoutFactor) {
        server.health_check_in_flight_ = true;
        server.silence_checked_at_ = now;
        response.send_health_check = true;
    }
    const bool busy = use_health_check && server.check_passed_at_ > silent_since;
    const bool unreachable =
        use_health_check && !health_checks_queue_ && server.check_failed_at_ > silent_since;
    response.cancel_attempt =
        unreachable || now >= silent_since + (busy ? kBusyTimeoutFactor : 1) * attempt_timeout;
    return response;
}

}  // namespace chalksail::policy
