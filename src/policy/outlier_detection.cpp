#include "outlier_detection.hpp"

#include <algorithm>

#include "latency_estimates.hpp"

namespace chalksail::policy {
namespace {

constexpr double kErrorStep = 0.25;   // weight of an outcome in a server's error share ...
constexpr double kErrorEjects = 0.4;  // ... which ejects it here: two errors close together
constexpr double kErrorDoubt = 0.1;   // ... and above which it is avoided: four answers after one error
constexpr int kQuickCheck = 8;        // part of the dial time-out in which a check that did not queue is back
constexpr int kBusyTimeoutFactor = 3;   // times as long a timeout for a server that answers health checks
constexpr int kSendsEachObjective = 4;  // to a server in the shortest objective while its whole role fails
constexpr int kTrialPasses = 2;         // answers that end an ejected server's trial

}  // namespace

bool ServerHealth::recently_failed() const { return error_share_ > kErrorDoubt; }

OutlierDetection::OutlierDetection(const Settings& settings)
    : health_checks_enabled_(settings.health_checks_enabled),
      dial_timeout_(settings.dial_timeout),
      shortest_objective_(shortest_first_token_objective(settings)),
      // No longer than a restarted server takes to warm up.
      longest_ejection_(std::max(shortest_objective_, settings.slow_start_duration)) {}

bool OutlierDetection::admits(const ServerHealth& server, Idempotency idempotency, bool role_has_healthy,
                              Time now) const {
    if (server.in_good_standing()) return true;
    if (server.trial_open_ && idempotency == Idempotency::idempotent) return true;
    // All look bad: the least bad, but at a pace, or quick failures soon use up every request's attempts.
    return !role_has_healthy && now >= server.last_sent_ + shortest_objective_ / kSendsEachObjective;
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
    server.error_share_ *= 1 - kErrorStep;
    if (server.in_good_standing()) return;
    server.trial_open_ = true;
    ++version_;
    if (++server.trial_passes_ >= kTrialPasses) reinstate(id, server);
}

void OutlierDetection::record_error(const ServerId& id, ServerHealth& server, Time now) {
    server.error_share_ += kErrorStep * (1 - server.error_share_);
    if (server.error_share_ > kErrorEjects || !server.in_good_standing()) eject(id, server, now);
}

// Out for the shortest objective, then twice as long each time.
void OutlierDetection::eject(const ServerId& id, ServerHealth& server, Time now) {
    if (server.ejected() && now < server.ejected_until_) return;  // failures of the same moment count once
    unhealthy_.insert(id);
    ++version_;
    server.ejection_ =
        server.in_good_standing() ? shortest_objective_ : std::min(2 * server.ejection_, longest_ejection_);
    server.ejected_until_ = now + server.ejection_;
    end_trial(server);
}

void OutlierDetection::reinstate(const ServerId& id, ServerHealth& server) {
    server.ejection_ = Duration::zero();
    server.error_share_ = kErrorStep;  // on probation
    unhealthy_.erase(id);
    ++version_;
    end_trial(server);
}

void OutlierDetection::end_trial(ServerHealth& server) {
    server.trial_passes_ = 0;
    server.trial_open_ = false;
}

void OutlierDetection::record_health_check(ServerHealth& server, const HealthCheckEnded& result, Time now) {
    server.checking_ = false;
    if (result.outcome != AttemptOutcome::ok) {
        server.check_failed_at_ = now;
        if (!server.in_good_standing()) server.ejected_until_ = now + server.ejection_;
        return;
    }
    server.check_passed_at_ = now;
    // An answer this late has queued: then one that fails to come only tells that the server is busy.
    if (result.elapsed > dial_timeout_ / kQuickCheck) checks_queue_ = true;
    if (server.in_good_standing()) return;
    server.trial_open_ = true;
    ++version_;
}

bool OutlierDetection::begin_return(ServerHealth& server, Time now) {
    if (now < server.ejected_until_ || server.trial_open_ || server.checking_) return false;
    server.checking_ = health_checks_enabled_;
    server.trial_open_ = !health_checks_enabled_;
    ++version_;
    return server.checking_;
}

std::optional<Time> OutlierDetection::return_due(const ServerHealth& server) {
    if (server.trial_open_ || server.checking_) return {};
    return server.ejected_until_;
}

SilenceResponse OutlierDetection::check_silence(ServerHealth& server, Time sent_at, Duration attempt_timeout,
                                                const StepContext& context) {
    SilenceResponse response;
    const Time now = context.now;
    const Time silent_since = std::max(sent_at, server.last_answer_);
    // With sparse observations a health check decides. A server that answers it is busy and waited for
    // longer, though not for ever: it may answer health checks and lose requests.
    const bool checks = health_checks_enabled_ && context.sparse_observations;
    if (checks && !server.checking_ && server.silence_checked_at_ < silent_since &&
        now >= silent_since + attempt_timeout / kAttemptTimeoutFactor) {
        server.checking_ = true;
        server.silence_checked_at_ = now;
        response.send_health_check = true;
    }
    const bool busy = checks && server.check_passed_at_ > silent_since;
    const bool unreachable = checks && !checks_queue_ && server.check_failed_at_ > silent_since;
    response.cancel_attempt =
        unreachable || now >= silent_since + (busy ? kBusyTimeoutFactor : 1) * attempt_timeout;
    return response;
}

}  // namespace chalksail::policy
