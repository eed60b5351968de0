// Limits the log lines about requests that were rejected without an attempt: a client can cause thousands of
// them per second. The others are counted by reason. No I/O, no clock; not thread-safe; no errors.
#pragma once

#include <chalksail/chalksail.hpp>
#include <optional>
#include <string>

#include "observe/event_summary.hpp"
#include "observe/record.hpp"

namespace chalksail::observe {

class RejectionLogLimit {
public:
    // Returns true if the record is to be logged.
    [[nodiscard]] bool allows(const Record& record, Time now);
    // Returns the counts of the suppressed lines, if there are any and a second has passed since the last
    // time.
    [[nodiscard]] std::optional<std::string> take_suppressed(Time now) { return suppressed_.take(now); }

    static constexpr int kMaxLinesPerSecond = 50;

private:
    static constexpr Duration kPeriod = std::chrono::seconds(1);

    std::optional<Time> period_began_;
    int lines_ = 0;  // in this period
    EventSummary suppressed_{kPeriod};
};

}  // namespace chalksail::observe
