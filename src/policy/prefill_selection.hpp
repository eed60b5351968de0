// Selects the prefill server for a request: the one with the lowest penalty for the prompt tokens that are
// not in its cache. Servers below a threshold tie, and weighted rendezvous hashing of the session or prefix
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
    // All referenced objects must outlive this one.
    PrefillSelection(const EndpointTable& endpoints, const LatencyEstimates& latencies)
        : endpoints_(endpoints), latencies_(latencies), prefixes_(endpoints) {}

    void record_arrival(const Request& request) { prefixes_.record_arrival(request.arrival.prefix); }
    void endpoints_changed() { prefixes_.endpoints_changed(); }

    // Returns the best usable prefill server whose queue is short enough, or null if there is none.
    [[nodiscard]] Server* select(const Request& request, CandidateSet& candidates,
                                 const DecodeCapacity& decode_capacity, const StepContext& context);
    // Returns whether the request should wait instead of being sent to `selected`, because another usable
    // server reports much more of its text as cached and only lacks queue space. Another prefill of that text
    // would prolong the overload.
    [[nodiscard]] bool should_wait_for_cached_text(const Server& selected, const Request& request,
                                                   CandidateSet& candidates, Time now) const;
    // Returns 1 without a penalty, and less with each token to prefill before the request's first token,
    // including its own.
    [[nodiscard]] double score(const Server& server, const Request& request) const;

private:
    // Returns whether the request's prefill would end within a fraction of its latency objective, at the
    // observed prefill speed. Requests that would queue longer are held at the gateway, in the order of
    // admission.
    [[nodiscard]] bool has_queue_space(const Server& server, const Request& request) const;
    [[nodiscard]] Server* select_by_session(const Request& request, CandidateSet& candidates,
                                            const DecodeCapacity& decode_capacity) const;
    [[nodiscard]] Server* select_by_shared_placement(const Request& request, CandidateSet& candidates);

    const EndpointTable& endpoints_;
    const LatencyEstimates& latencies_;
    PrefixPlacement prefixes_;
};

}  // namespace chalksail::policy
