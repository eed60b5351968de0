// Structured logs: one JSON object a line on standard error,
//   {"time": ISO 8601 with offset, "level", "gateway": its name, "fields": {"event": ..., ...}}.
// The members of `fields` are documented at each record's definition (record.hpp); lines of the program's own
// carry {"event", "text"}. A Log may be used from several threads; it throws only from its constructor.
#pragma once

#include <memory>
#include <string>

#include "observe/record.hpp"

namespace spdlog {
class logger;
}

namespace chalksail::observe {

// The members of a record, as one JSON object: {"event": "request", ...}.
[[nodiscard]] std::string format_json(const Record& record);

class Log {
public:
    // `gateway` names the process in each line; `level`: debug, info, warn, error or off.
    Log(const std::string& gateway, const std::string& level);
    ~Log();
    void write(const Record& record);
    // Lines of the program's own: {"event": event, "text": text}.
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
