// Decode selection: the decode server for a request. The least penalty for tokens mixed into a running batch
// wins, and a KV state that leaves its cell or zone weighs as more tokens; ties go by rendezvous hashing of
// the session. Mixed servers prefill and decode a request in one attempt.
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
    // All must outlive it.
    DecodeSelection(const Settings& settings, const EndpointTable& endpoints, const ConcurrencyLimit& limits,
                    const PrefillSelection& prefill_selection);

    // A stream began this long after a KV state had left this cell for another.
    void record_transfer(std::int64_t from_cell, Duration elapsed, Time now);

    // The best usable decode server; null: none. Mixed servers count as decode servers.
    [[nodiscard]] Server* select(const Request& request, bool need_capacity, CandidateSet& candidates,
                                 const StepContext& context) const;
    // The best usable mixed server with capacity; null: none.
    [[nodiscard]] Server* select_mixed(const Request& request, CandidateSet& candidates,
                                       const StepContext& context) const;
    // The score of prefill and decode at these servers, which may be one mixed server.
    [[nodiscard]] double combined_score(const Server& prefill, const Server& decode, const Request& request,
                                        const StepContext& context) const;

private:
    struct CellTransfers {
        RunningMean seconds;  // first tokens of states that have left the cell
        Time observed_at{};
    };
    [[nodiscard]] double score(const Server& server, const Request& request,
                               const StepContext& context) const;
    // Tokens that the way of the prompt or KV state to the server weighs as.
    [[nodiscard]] double transfer_tokens(const Server& server, const Request& request,
                                         const StepContext& context) const;
    [[nodiscard]] double state_transfer_tokens(const Server& from, const Server& to, const Request& request,
                                               const StepContext& context) const;
    // The prompt's tokens as they count for a transfer.
    [[nodiscard]] double weighed_prompt(const Request& request, const StepContext& context) const;
    // How late states that leave this cell start, as a part of the objective.
    [[nodiscard]] double transfer_lateness(std::int64_t from_cell, const Request& request,
                                           const StepContext& context) const;

    const EndpointTable& endpoints_;
    const ConcurrencyLimit& limits_;
    const PrefillSelection& prefill_selection_;
    int gateways_;
    Duration slow_start_duration_;
    Duration shortest_objective_;
    std::map<std::int64_t, CellTransfers> transfers_;  // by the cell that states have left
};

}  // namespace chalksail::policy
