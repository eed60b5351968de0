// Counts events that may occur thousands of times per second, so that a log line reports their counts instead
// of one line for each. No I/O, no clock; not thread-safe; no errors.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chalksail::observe {

class EventSummary {
public:
    // At most one summary is returned per interval.
    explicit EventSummary(Duration interval) : interval_(interval) {}

    // Counts an event. Names beyond kMaxNames are counted as "other".
    void add(std::string_view name);
    // Returns the counts since the last summary, as in "evicted: 2; reset: 1", if there are any and the
    // interval has passed.
    [[nodiscard]] std::optional<std::string> take(Time now);
    // Returns the counts since the last summary; empty if there are none.
    [[nodiscard]] std::string take_all();

    static constexpr std::size_t kMaxNames = 32;

private:
    Duration interval_;
    std::optional<Time> taken_at_;
    std::map<std::string, std::uint64_t, std::less<>> counts_;
};

}  // namespace chalksail::observe
