// Counters, gauges and histograms (prometheus-cpp), derived from the same records as the logs. Each metric is
// documented by its help text, in metrics.cpp and on the page. Not thread-safe; no errors.
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
    // Updates the counters and histograms for one record.
    void count(const Record& record);
    // Drops the time series of a server that was removed.
    void forget(const std::string& server);
    // Sets the gauge chalksail_<gauge>.
    void set(const std::string& gauge, double value);
    // Returns the metrics page in the Prometheus text format.
    [[nodiscard]] std::string page() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

}  // namespace chalksail::observe
