// Outlier detection: ejects servers that fail or fall silent, and lets them back in steps: after the ejection
// time a health check where allowed, then one idempotent request at a time (the trial), then all.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <set>

#include "statistics.hpp"

namespace chalksail::policy {

// The health of one server as this gateway observes it. Changed by OutlierDetection only.
class ServerHealth {
public:
    // Neither ejected nor on trial.
    [[nodiscard]] bool in_good_standing() const { return ejection_ == Duration::zero(); }
    // Kept out after failures, and not yet let back on trial.
    [[nodiscard]] bool ejected() const { return !in_good_standing() && !trial_open_; }
    // One error may be the first of many: requests that must not run twice rather go elsewhere.
    [[nodiscard]] bool recently_failed() const;
    [[nodiscard]] Time last_answer() const { return last_answer_; }

private:
    friend class OutlierDetection;
    double error_share_ = 0;
    Time last_answer_{};
    Time last_sent_{};
    Time ejected_until_{};
    Duration ejection_{};  // length of the last one; zero: in good standing
    int trial_passes_ = 0;
    bool trial_open_ = false;  // a health check or time has let it back on trial
    bool checking_ = false;    // a health check is in flight
    Time silence_checked_at_{};
    Time check_passed_at_{};
    Time check_failed_at_{};
};

// What to do about an attempt whose server is silent.
struct SilenceResponse {
    bool send_health_check = false;
    bool cancel_attempt = false;
};

class OutlierDetection {
public:
    explicit OutlierDetection(const Settings& settings);

    // Grows with each change of a server's standing or trial, for sums that are counted over servers.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    // Servers that are ejected or on trial, in order of their ids.
    [[nodiscard]] const std::set<ServerId>& unhealthy_servers() const { return unhealthy_; }

    // Whether a server out of good standing takes a request now. `role_has_healthy`: another server can do
    // the same work in good standing.
    [[nodiscard]] bool admits(const ServerHealth& server, Idempotency idempotency, bool role_has_healthy,
                              Time now) const;

    void restart(const ServerId& id, ServerHealth& server);  // a new process: its past does not count
    void forget(const ServerId& id) { unhealthy_.erase(id); }
    void record_sent(ServerHealth& server, Time now);
    static void record_answer(ServerHealth& server, Time now) { server.last_answer_ = now; }
    void record_success(const ServerId& id, ServerHealth& server);
    void record_error(const ServerId& id, ServerHealth& server, Time now);
    void eject(const ServerId& id, ServerHealth& server, Time now);
    void record_health_check(ServerHealth& server, const HealthCheckEnded& result, Time now);

    // The way back of an idle server whose ejection has passed. True: a health check is to be sent.
    [[nodiscard]] bool begin_return(ServerHealth& server, Time now);
    // When begin_return() may act on the server; none while a health check or a trial decides.
    [[nodiscard]] static std::optional<Time> return_due(const ServerHealth& server);
    // What to do about an attempt sent at `sent_at`, not answered and with the given timeout.
    [[nodiscard]] SilenceResponse check_silence(ServerHealth& server, Time sent_at, Duration attempt_timeout,
                                                const StepContext& context);

private:
    void reinstate(const ServerId& id, ServerHealth& server);
    static void end_trial(ServerHealth& server);

    bool health_checks_enabled_;
    Duration dial_timeout_;
    Duration shortest_objective_;
    Duration longest_ejection_;
    std::set<ServerId> unhealthy_;
    std::uint64_t version_ = 0;
    bool checks_queue_ = false;  // health checks wait behind requests: a late one only means a busy server
};

}  // namespace chalksail::policy
