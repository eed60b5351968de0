// Prefill selection: the prefill server for a request. The least penalty for prompt tokens wins, cached text
// discounted; below a threshold servers tie, and weighted rendezvous hashing of the session or prefix
// decides, so that the next request with the same text finds it cached.
#pragma once

#include <chalksail/chalksail.hpp>

#include "candidate_set.hpp"
#include "decode_capacity.hpp"
#include "endpoint_table.hpp"
#include "latency_estimates.hpp"
#include "prefix_placement.hpp"
#include "request_table.hpp"
#include "statistics.hpp"

namespace chalksail::policy {

class PrefillSelection {
public:
    // All must outlive it.
    PrefillSelection(const EndpointTable& endpoints, const LatencyEstimates& latencies)
        : endpoints_(endpoints), latencies_(latencies), prefixes_(endpoints) {}

    void record_arrival(const Request& request) { prefixes_.record_arrival(request.arrival.prefix); }
    void endpoints_changed() { prefixes_.endpoints_changed(); }

    // The best usable prefill server whose queue is short enough; null: none.
    [[nodiscard]] Server* select(const Request& request, CandidateSet& candidates,
                                 const DecodeCapacity& decode_capacity, const StepContext& context);
    // Whether the request had better wait than go to `selected`: another usable server reports to have much
    // more of its text and only lacks queue space. To prefill it anew would prolong the overload.
    [[nodiscard]] bool should_wait_for_cached_text(const Server& selected, const Request& request,
                                                   CandidateSet& candidates, Time now) const;
    // 1: no prompt penalty; less for each token that the request would wait for, itself included.
    [[nodiscard]] double score(const Server& server, const Request& request) const;

private:
    // Whether the request's prefill would be done in a part of its latency objective, at the pace observed:
    // what would queue longer is held here, in the order of admission.
    [[nodiscard]] bool has_queue_space(const Server& server, const Request& request) const;
    [[nodiscard]] Server* select_by_session(const Request& request, CandidateSet& candidates,
                                            const DecodeCapacity& decode_capacity) const;
    [[nodiscard]] Server* select_by_shared_placement(const Request& request, CandidateSet& candidates);

    const EndpointTable& endpoints_;
    const LatencyEstimates& latencies_;
    PrefixPlacement prefixes_;
};

}  // namespace chalksail::policy
