// Decode capacity available to new prefills: the free tokens of decode servers minus those that prefills in
// flight and waiting KV states will need. A prefill sent without such capacity would leave a KV state that no
// decode server accepts in time.
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
    // All referenced objects must outlive this one.
    DecodeCapacity(const RequestTable& requests, const EndpointTable& endpoints,
                   const ConcurrencyLimit& limits)
        : requests_(requests), endpoints_(endpoints), limits_(limits) {}

    void begin_step() { pending_tokens_.reset(); }
    // Returns the tokens available to the request. With sparse observations the pending tokens are summed
    // once per step, because a scan of all requests and servers for each held request is too slow.
    [[nodiscard]] double available(const Request& request, CandidateSet& candidates,
                                   const StepContext& context);
    // Returns whether the cell's decode servers will have capacity for the request once the prefills in
    // flight in the cell are done, according to the last call of available() without sparse observations.
    [[nodiscard]] bool cell_has_capacity(std::int64_t cell, const Request& request) const;
    // Records that the held request is sent for this stage. Must be called before its attempt is recorded.
    void record_sent(const Request& request, Stage stage);

private:
    [[nodiscard]] double pool_available();
    [[nodiscard]] double servers_available(const Request& request, CandidateSet& candidates,
                                           const StepContext& context);

    const RequestTable& requests_;
    const EndpointTable& endpoints_;
    const ConcurrencyLimit& limits_;
    std::optional<double> pending_tokens_;  // in this step, of prefills in flight and waiting KV states
    std::map<std::int64_t, double> available_by_cell_;  // free minus pending tokens, by cell
};

}  // namespace chalksail::policy
