// Slow start: how much work a server that has just started gets while it warms up. A warming server may bear
// a known part of a warm one's work before it is overloaded; what a warm one bears is taken from the work
// that this gateway sends to each of them. Gateways do not coordinate: each takes its own part of the budget.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <utility>
#include <vector>

namespace chalksail::policy {

// Whether an endpoint that started at this time (zero: long ago) is still warming up.
[[nodiscard]] inline bool is_warming_up(Time started_at, Time now, Duration slow_start_duration) {
    return started_at != Time{} && now - started_at < slow_start_duration;
}

// What slow start knows of one server.
class WarmUpState {
public:
    // The server was first seen at `now`. `draw` is between 0 and 1: how late in the first window this
    // gateway sends its first request, so that gateways come to a warming server one by one.
    void restart(Time now, double draw);

private:
    friend class SlowStart;
    struct SentWork {
        Time at{};
        double work = 0;
    };
    std::vector<SentWork> sent_;
    Time first_seen_{};
    double draw_ = 0;
};

class SlowStart {
public:
    explicit SlowStart(const Settings& settings);

    [[nodiscard]] bool is_warming_up(Time started_at, Time now) const {
        return policy::is_warming_up(started_at, now, duration_);
    }
    // Forgets the budgets: once a step, as time and the mean work of requests have changed.
    void begin_step() { budgets_.clear(); }
    // Whether a warming server of this role has budget left for a request of this class, whose mean work is
    // `request_work`. `warm_servers` is the number of warm servers of that role.
    [[nodiscard]] bool admits(const WarmUpState& server, Role role, std::size_t class_index,
                              double request_work, std::int64_t warm_servers, Time now);
    static void record_sent_to_warming(WarmUpState& server, double work, Time now);
    void record_sent_to_warm(Role role, double work, Time now);
    // Work sent to a warm server has not run: a full fleet that rejects again and again would otherwise seem
    // to bear more than it does.
    void take_back(Role role, double work);

private:
    struct Budget {
        double work = 0;          // that a warming server may get in the window
        Duration window{};        // longer than the settings' where not one request fits in that
        double longest_wait = 0;  // in seconds, until the first request; each server's is drawn
    };
    struct SentWork {
        double sum = 0;  // fading over a few windows
        Time at{};
    };
    const Budget& budget(Role role, std::size_t class_index, double request_work, std::int64_t warm_servers,
                         Time now);
    [[nodiscard]] double averaging_seconds() const;
    // Work a second at one warm server of the role.
    [[nodiscard]] double warm_rate(Role role, std::int64_t warm_servers, Time now) const;

    Duration duration_;
    Duration window_;
    Duration tick_;
    double initial_capacity_;
    double overload_factor_;
    int gateways_;
    std::map<Role, SentWork> warm_work_;
    std::map<std::pair<Role, std::size_t>, Budget> budgets_;  // of this step: by role and request class
};

}  // namespace chalksail::policy
