// Watches this process's resident memory. It reports each crossing of half of the process's limit, and each
// further growth by kReportStep of the limit. One loop, one thread. Errors: where the system does not tell
// the resident memory, it counts as zero and nothing is reported.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstddef>
#include <optional>

#include "net/file_descriptor.hpp"

namespace chalksail::net {

class MemoryMonitor {
public:
    // `limit_bytes` is the process's memory limit; 0: none is known, and nothing is reported.
    explicit MemoryMonitor(std::size_t limit_bytes);

    enum class Level { normal, high };  // `high`: above half of the limit
    struct Report {
        Level level = Level::normal;
        std::size_t resident_bytes = 0;
        std::size_t peak_bytes = 0;  // the highest value seen by poll()
        std::size_t limit_bytes = 0;
    };
    // Reads the resident memory if kPollInterval has passed since the last time. Returns a report if there is
    // something to report.
    [[nodiscard]] std::optional<Report> poll(Time now);
    // Returns the resident memory of this process; zero if it is unknown.
    [[nodiscard]] std::size_t resident_bytes() const;

    static constexpr Duration kPollInterval = std::chrono::milliseconds(250);

private:
    static constexpr std::size_t kReportStep = 8;  // one eighth of the limit

    // Returns whether a report is due for this amount of resident memory, and remembers it.
    bool update(std::size_t resident);

    std::size_t limit_;
    FileDescriptor statistics_;  // /proc/self/statm
    std::optional<Time> polled_at_;
    Level level_ = Level::normal;
    std::size_t reported_ = 0;
    std::size_t peak_ = 0;
};

}  // namespace chalksail::net
