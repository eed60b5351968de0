#include "checker/tally.hpp"

#include <algorithm>
#include <chrono>
#include <set>

namespace chalksail::lab {

double quantile(std::vector<double> values, double part) {
    if (values.empty()) return 0;
    const auto at = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at];
}

std::map<std::string, GatewayTally> tally(const std::vector<Record>& records) {
    std::map<std::string, Time> requested_at;
    std::set<std::string> started;
    std::set<std::string> cut;
    for (const auto& r : records)
        if (r.kind == RecordKind::ended && r.termination == "cut") cut.insert(r.request);
    std::map<std::string, GatewayTally> out;
    for (const auto& r : records) {
        if (r.kind == RecordKind::requested) {
            requested_at[r.request] = r.at;
            out[r.gateway].requests += 1;
        } else if (r.kind == RecordKind::first) {
            started.insert(r.request);
            const auto from = requested_at.find(r.request);
            if (from != requested_at.end())
                out[r.gateway].first_token_ms.push_back(
                    std::chrono::duration<double, std::milli>(r.at - from->second).count());
        } else if (r.kind == RecordKind::answered && r.termination == "failed") {
            out[r.gateway].failed += 1;
            if (started.contains(r.request) && !cut.contains(r.request)) out[r.gateway].broken += 1;
        }
    }
    return out;
}

}  // namespace chalksail::lab
