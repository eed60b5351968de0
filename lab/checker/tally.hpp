// Per-gateway figures from a run's records. No I/O, no threads.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "checker/record.hpp"

namespace chalksail::lab {

// Of all that `values` holds, the part'th in order; 0 where there is none.
[[nodiscard]] double quantile(std::vector<double> values, double part);

struct GatewayTally {
    std::vector<double> first_token_ms;  // from the request to the first chunk
    std::size_t requests = 0;
    std::size_t failed = 0;
    // Started, and broken off although no engine that had a part in it was cut down.
    std::size_t broken = 0;
};
[[nodiscard]] std::map<std::string, GatewayTally> tally(const std::vector<Record>& records);

}  // namespace chalksail::lab
