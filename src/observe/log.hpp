// Structured logs: one JSON object per line on standard error,
//   {"time": ISO 8601 with offset, "level", "gateway": its name, "fields": {"event": ..., ...}}.
// The members of `fields` are documented at each record's definition (record.hpp); free-text lines have
// {"event", "text"}. A Log may be used from several threads; only its constructor throws.
#pragma once

#include <memory>
#include <string>

#include "observe/record.hpp"

namespace spdlog {
class logger;
}

namespace chalksail::observe {

// Formats a record as one JSON object: {"event": "request", ...}.
[[nodiscard]] std::string format_json(const Record& record);

class Log {
public:
    // `gateway` names the process in each line; `level` is debug, info, warn, error or off.
    Log(const std::string& gateway, const std::string& level);
    ~Log();
    void write(const Record& record);
    // Write a free-text line: {"event": event, "text": text}.
    void debug(const std::string& event, const std::string& text);
    void info(const std::string& event, const std::string& text);
    void warn(const std::string& event, const std::string& text);
    void error(const std::string& event, const std::string& text);
    void flush();

private:
    void line(int level, const std::string& event, const std::string& text);
    std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace chalksail::observe
