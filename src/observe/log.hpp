// Structured logs: one JSON object a line. Records become text here; where the lines go is spdlog's.
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
    // `level`: debug, info, warn or error. Lines go to standard error.
    Log(const std::string& who, const std::string& level);
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
    std::string who_;
    std::shared_ptr<spdlog::logger> logger_;
};

}  // namespace chalksail::observe
