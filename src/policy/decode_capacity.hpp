// Capacity for new prefills: the tokens that decode servers have free, less what prefills in flight and
// waiting KV states will need. A prefill without it would leave a state that no decode server takes in time.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <optional>

#include "candidate_set.hpp"
#include "concurrency_limit.hpp"
#include "endpoint_table.hpp"
#include "request_table.hpp"

namespace chalksail::policy {

class DecodeCapacity {
public:
    // All must outlive it.
    DecodeCapacity(const RequestTable& requests, const EndpointTable& endpoints,
                   const ConcurrencyLimit& limits)
        : requests_(requests), endpoints_(endpoints), limits_(limits) {}

    void begin_step() { awaited_tokens_.reset(); }
    // Tokens free for the request. With sparse observations what is awaited is counted once a step for all
    // held requests: each would walk over all requests and servers.
    [[nodiscard]] double available(const Request& request, CandidateSet& candidates,
                                   const StepContext& context);
    // Whether a decode server of this cell will have capacity for the request once the prefills in flight in
    // the cell are done, as the last available() without sparse observations has found.
    [[nodiscard]] bool cell_has_capacity(std::int64_t cell, const Request& request) const;
    // The held request is sent, for this stage; call before its attempt is recorded.
    void record_sent(const Request& request, Stage stage);

private:
    [[nodiscard]] double pool_available();
    [[nodiscard]] double servers_available(const Request& request, CandidateSet& candidates,
                                           const StepContext& context);

    const RequestTable& requests_;
    const EndpointTable& endpoints_;
    const ConcurrencyLimit& limits_;
    std::optional<double> awaited_tokens_;        // in this step: of prefills in flight and waiting states
    std::map<std::int64_t, double> cell_tokens_;  // by cell: free tokens less those awaited
};

}  // namespace chalksail::policy
