// Detects slow iterations of an event loop, which delay responses, deadlines and the handling of disconnected
// clients. No clock, no I/O; not thread-safe.
#pragma once

#include <algorithm>
#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <optional>
#include <utility>

namespace chalksail::observe {

class EventLoopLag {
public:
    struct Report {
        Duration longest{};       // longest slow iteration since the last report
        std::uint64_t count = 0;  // number of slow iterations since the last report
    };

    // Must be called after each iteration. Returns a report to be logged, at most one for each
    // kReportInterval.
    [[nodiscard]] std::optional<Report> ended(Time started_at, Time now) {
        const Duration duration = now - started_at;
        if (duration >= kSlowIteration) {
            pending_.count += 1;
            pending_.longest = std::max(pending_.longest, duration);
        }
        if (pending_.count == 0 || (reported_at_ && now < *reported_at_ + kReportInterval))
            return std::nullopt;
        reported_at_ = now;
        return std::exchange(pending_, {});
    }

    // The rules forbid a new attempt later than 0.1 s after a client's disconnect.
    static constexpr Duration kSlowIteration = std::chrono::milliseconds(50);
    static constexpr Duration kReportInterval = std::chrono::seconds(1);

private:
    Report pending_;
    std::optional<Time> reported_at_;
};

}  // namespace chalksail::observe
