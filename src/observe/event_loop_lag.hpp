// Detects slow turns of an event loop: while one lasts, answers, deadlines and clients' closes wait. No
// clock, no I/O; not thread-safe.
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
        Duration longest{};       // of the turns since the last report
        std::uint64_t count = 0;  // how many of them were slow
    };

    // To be called after each turn. Returns what is to be logged, at most once in kReportPause.
    [[nodiscard]] std::optional<Report> ended(Time begun, Time now) {
        const Duration taken = now - begun;
        if (taken >= kSlow) {
            pending_.count += 1;
            pending_.longest = std::max(pending_.longest, taken);
        }
        if (pending_.count == 0 || (reported_at_ && now < *reported_at_ + kReportPause)) return std::nullopt;
        reported_at_ = now;
        return std::exchange(pending_, {});
    }

    // The rules leave 0.1 s between a client's close and the last attempt that may begin for it.
    static constexpr Duration kSlow = std::chrono::milliseconds(50);
    static constexpr Duration kReportPause = std::chrono::seconds(1);

private:
    Report pending_;
    std::optional<Time> reported_at_;
};

}  // namespace chalksail::observe
