// Counters, gauges and histograms, made of the same records as the logs, on prometheus-cpp. Each is
// documented where it is defined (metrics.cpp) and by the help text on the page. Not thread-safe; no errors.
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
    // Adds one record to the counters and histograms that it belongs to.
    void count(const Record& record);
    // Drops the time series of a server that was removed.
    void forget(const std::string& server);
    // Sets the gauge chalksail_<gauge>.
    void set(const std::string& gauge, double value);
    // The text page, in Prometheus's exposition format.
    [[nodiscard]] std::string page() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

}  // namespace chalksail::observe
