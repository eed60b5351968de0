// Selects the decode server for a request: the one with the lowest penalty for adding tokens to its running
// batch. A KV state that leaves its cell or zone counts as additional tokens. Ties are broken by rendezvous
// hashing of the session. Mixed servers prefill and decode a request in one attempt.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>

#include "candidate_set.hpp"
#include "concurrency_limit.hpp"
#include "endpoint_table.hpp"
#include "prefill_selection.hpp"
#include "request_table.hpp"
#include "statistics.hpp"

namespace chalksail::policy {

class DecodeSelection {
public:
    // All referenced objects must outlive this one.
    DecodeSelection(const Settings& settings, const EndpointTable& endpoints, const ConcurrencyLimit& limits,
                    const PrefillSelection& prefill_selection);

    // Records that a stream started `elapsed` after its attempt was sent to a decode server in another cell
    // than the KV state's cell `from_cell`.
    void record_transfer(std::int64_t from_cell, Duration elapsed, Time now);

    // Returns the best usable decode server, or null if there is none. Mixed servers count as decode servers.
    [[nodiscard]] Server* select(const Request& request, bool need_capacity, CandidateSet& candidates,
                                 const StepContext& context) const;
    // Returns the best usable mixed server with capacity, or null if there is none.
    [[nodiscard]] Server* select_mixed(const Request& request, CandidateSet& candidates,
                                       const StepContext& context) const;
    // Returns the score of prefilling and decoding at these servers, which may be the same mixed server.
    [[nodiscard]] double combined_score(const Server& prefill, const Server& decode, const Request& request,
                                        const StepContext& context) const;

private:
    struct CellTransfers {
        RunningMean seconds;  // time to the first token after a KV state has left the cell
        Time observed_at{};
    };
    [[nodiscard]] double score(const Server& server, const Request& request,
                               const StepContext& context) const;
    // Returns the cost, in tokens, of transferring the prompt or KV state to the server.
    [[nodiscard]] double transfer_cost_tokens(const Server& server, const Request& request,
                                              const StepContext& context) const;
    [[nodiscard]] double kv_transfer_cost_tokens(const Server& from, const Server& to, const Request& request,
                                                 const StepContext& context) const;
    // Returns the prompt tokens, weighted for the cost of a transfer.
    [[nodiscard]] double weighted_prompt_tokens(const Request& request, const StepContext& context) const;
    // Returns the mean time to the first token of KV states that leave this cell, as a fraction of the
    // objective; 0 without recent observations.
    [[nodiscard]] double transfer_latency_fraction(std::int64_t from_cell, const Request& request,
                                                   const StepContext& context) const;

    const EndpointTable& endpoints_;
    const ConcurrencyLimit& limits_;
    const PrefillSelection& prefill_selection_;
    int gateways_;
    Duration slow_start_duration_;
    Duration shortest_objective_;
    std::map<std::int64_t, CellTransfers> transfers_;  // by the cell that KV states have left
};

}  // namespace chalksail::policy
