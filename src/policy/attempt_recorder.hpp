// Forwards the start, end and load report of each attempt to the components that maintain statistics about
// servers. Makes no decisions and has no state of its own.
#pragma once

#include <chalksail/chalksail.hpp>
#include <vector>

#include "admission.hpp"
#include "concurrency_limit.hpp"
#include "endpoint_table.hpp"
#include "latency_estimates.hpp"
#include "outlier_detection.hpp"
#include "request_table.hpp"
#include "slow_start.hpp"
#include "statistics.hpp"

namespace chalksail::policy {

class AttemptRecorder {
public:
    // All referenced objects must outlive this one.
    AttemptRecorder(const RequestTable& requests, Admission& admission, ConcurrencyLimit& limits,
                    LatencyEstimates& latencies, OutlierDetection& outliers, SlowStart& slow_start)
        : requests_(requests),
          admission_(admission),
          limits_(limits),
          latencies_(latencies),
          outliers_(outliers),
          slow_start_(slow_start) {}

    // Records that the attempt is sent to the server.
    void record_sent(Server& server, const Request& request, const Attempt& attempt);
    // Records that the attempt at the server has ended. `request.answered` is set if the client had
    // disconnected before.
    void record_end(Server& server, const Request& request, const Attempt& attempt, const AttemptEnded& event,
                    const StepContext& context);
    // Records the load report from the end of an attempt or from a health check. An empty report is ignored.
    void record_load_report(Server& server, const std::vector<double>& report, const StepContext& context);

private:
    void record_served(Server& server, const Request& request, const Attempt& attempt,
                       const StepContext& context);
    void record_unanswered(Server& server, const Request& request, const Attempt& attempt,
                           const AttemptEnded& event, Time now);

    const RequestTable& requests_;
    Admission& admission_;
    ConcurrencyLimit& limits_;
    LatencyEstimates& latencies_;
    OutlierDetection& outliers_;
    SlowStart& slow_start_;
};

}  // namespace chalksail::policy
