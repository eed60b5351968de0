// Slow start: limits the work sent to a server that has just started, while it warms up. The budget of a
// warming server is a configured fraction of a warm server's work, which is estimated from the work that this
// gateway sends to each warm server. Gateways do not coordinate: each uses its own share of the budget.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <utility>
#include <vector>

namespace chalksail::policy {

// Returns whether an endpoint that started at this time (zero: long ago) is still warming up.
[[nodiscard]] inline bool is_warming_up(Time started_at, Time now, Duration slow_start_duration) {
    return started_at != Time{} && now - started_at < slow_start_duration;
}

// The slow start state of one server.
class WarmUpState {
public:
    // Resets the state for a server first seen at `now`. `first_request_delay`, between 0 and 1, is the part
    // of the maximum delay after which this gateway sends its first request. It differs between gateways, so
    // that their first requests are spread over time.
    void restart(Time now, double first_request_delay);

private:
    friend class SlowStart;
    struct SentWork {
        Time at{};
        double work = 0;
    };
    std::vector<SentWork> sent_;
    Time first_seen_{};
    double first_request_delay_ = 0;
};

class SlowStart {
public:
    explicit SlowStart(const Settings& settings);

    [[nodiscard]] bool is_warming_up(Time started_at, Time now) const {
        return policy::is_warming_up(started_at, now, duration_);
    }
    // Clears the budgets at the start of a step, as the time and the mean work of requests have changed.
    void begin_step() { budgets_.clear(); }
    // Returns whether a warming server of this role has budget left for a request of this class, whose mean
    // work is `request_work`. `warm_servers` is the number of warm servers of that role.
    [[nodiscard]] bool admits(const WarmUpState& server, Role role, std::size_t class_index,
                              double request_work, std::int64_t warm_servers, Time now);
    static void record_sent_to_warming(WarmUpState& server, double work, Time now);
    void record_sent_to_warm(Role role, double work, Time now);
    // Subtracts work sent to a warm server that did not run it. Otherwise repeated rejections by a full fleet
    // would raise the estimate of the work that its servers can handle.
    void record_not_run(Role role, double work);

private:
    struct Budget {
        double work = 0;    // maximum work for a warming server in the window
        Duration window{};  // longer than in the settings if a single request exceeds the budget
        double max_first_request_delay = 0;  // maximum seconds until a server's first request
    };
    struct SentWork {
        double sum = 0;  // decays exponentially over a few windows
        Time at{};
    };
    const Budget& budget(Role role, std::size_t class_index, double request_work, std::int64_t warm_servers,
                         Time now);
    [[nodiscard]] double averaging_seconds() const;
    // Returns the work per second sent to one warm server of the role.
    [[nodiscard]] double warm_rate(Role role, std::int64_t warm_servers, Time now) const;

    Duration duration_;
    Duration window_;
    Duration tick_;
    double initial_capacity_;
    double overload_factor_;
    int gateways_;
    std::map<Role, SentWork> warm_work_;
    std::map<std::pair<Role, std::size_t>, Budget> budgets_;  // of this step, by role and request class
};

}  // namespace chalksail::policy
