// Counters, gauges and histograms, made of the same records as the logs, on prometheus-cpp. Each is
// documented where it is defined (metrics.cpp) and on its page.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "observe/record.hpp"

namespace chalksail::observe {

class Metrics {
public:
    explicit Metrics(const std::string& gateway);
    ~Metrics();
    void count(const Record& record);
    // It is gone: what is counted by its name goes too.
    void forget(const std::string& server);
    // Values that are read off now and then.
    void set(const std::string& gauge, double value);
    // The text page.
    [[nodiscard]] std::string page() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

}  // namespace chalksail::observe
