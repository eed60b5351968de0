// Outlier detection: ejects servers that fail or stop responding, and readmits them in steps. After the
// ejection time follow a health check, if enabled, and a trial with one idempotent request at a time.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <set>

#include "statistics.hpp"

namespace chalksail::policy {

// The health of one server as observed by this gateway. Only OutlierDetection modifies it.
class ServerHealth {
public:
    // Returns whether the server is neither ejected nor on trial.
    [[nodiscard]] bool in_good_standing() const { return ejection_ == Duration::zero(); }
    // Returns whether the server is excluded after failures and its trial has not begun.
    [[nodiscard]] bool ejected() const { return !in_good_standing() && !trial_open_; }
    // Returns whether the server has recent errors. Requests that must not run twice prefer other servers
    // after a single error, as more may follow.
    [[nodiscard]] bool recently_failed() const;
    [[nodiscard]] Time last_answer() const { return last_answer_; }

private:
    friend class OutlierDetection;
    double error_share_ = 0;
    Time last_answer_{};
    Time last_sent_{};
    Time ejected_until_{};
    Duration ejection_{};  // length of the last ejection; zero: in good standing
    int trial_successes_ = 0;
    bool trial_open_ = false;              // may receive a trial request
    bool health_check_in_flight_ = false;  // sent, and its result is not known yet
    Time silence_checked_at_{};
    Time check_passed_at_{};
    Time check_failed_at_{};
};

// The response to a silent server with an attempt in flight.
struct SilenceResponse {
    bool send_health_check = false;
    bool cancel_attempt = false;
};

class OutlierDetection {
public:
    explicit OutlierDetection(const Settings& settings);

    // Returns a number that increases with each change of a server's standing or trial, so that callers know
    // when to recompute totals over servers.
    [[nodiscard]] std::uint64_t version() const { return version_; }
    // Returns the servers that are ejected or on trial, ordered by id.
    [[nodiscard]] const std::set<ServerId>& unhealthy_servers() const { return unhealthy_; }

    // Returns whether the server may receive a request now. `role_has_healthy_server` tells whether a server
    // in good standing can do the same work.
    [[nodiscard]] bool admits(const ServerHealth& server, Idempotency idempotency,
                              bool role_has_healthy_server, Time now) const;

    void restart(const ServerId& id, ServerHealth& server);  // for a new server process
    void forget(const ServerId& id) { unhealthy_.erase(id); }
    void record_sent(ServerHealth& server, Time now);
    static void record_answer(ServerHealth& server, Time now) { server.last_answer_ = now; }
    void record_success(const ServerId& id, ServerHealth& server);
    void record_error(const ServerId& id, ServerHealth& server, Time now);
    void eject(const ServerId& id, ServerHealth& server, Time now);
    void record_health_check(ServerHealth& server, const HealthCheckEnded& result, Time now);

    // Begins the readmission of an idle server whose ejection time has passed. Returns whether the caller
    // must send a health check.
    [[nodiscard]] bool begin_readmission(ServerHealth& server, Time now);
    // Returns the time from which begin_readmission() may act on the server, or nullopt during a health check
    // or a trial.
    [[nodiscard]] static std::optional<Time> readmission_due(const ServerHealth& server);
    // Returns the response to an unanswered attempt that was sent at `sent_at` with the given timeout.
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
    // Health checks queue behind requests, so that a late one only shows that the server is busy.
    bool health_checks_queue_ = false;
};

}  // namespace chalksail::policy
