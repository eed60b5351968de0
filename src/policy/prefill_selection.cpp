#include "prefill_selection.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace chalksail::policy {
namespace {

// Prefill time per prompt token, in the paper's units (paper, 5.2).
constexpr double kPrefillSecondsPerToken = 3.2e-4;
// Servers with a shorter queue tie: about four prompts of typical size.
constexpr double kTieThresholdSeconds = 4.0;
// Maximum wait for a server that has the text cached, as a fraction of the objective.
constexpr double kCachedTextWaitFraction = 0.7;
// Minimum additional cached text that justifies the wait, as a fraction of the prompt.
constexpr double kMinCachedTextAdvantage = 0.3;

}  // namespace

Server* PrefillSelection::select(const Request& request, CandidateSet& candidates,
                                 const DecodeCapacity& decode_capacity, const StepContext& context) {
    return context.sparse_observations ? select_by_shared_placement(request, candidates)
                                       : select_by_session(request, candidates, decode_capacity);
}

// Breaks ties by decode capacity in the cell, then cached text of the session, the local zone and hash.
Server* PrefillSelection::select_by_session(const Request& request, CandidateSet& candidates,
                                            const DecodeCapacity& decode_capacity) const {
    const RequestArrived& arrival = request.arrival;
    const std::string& key = arrival.prefix.empty() ? arrival.session : arrival.prefix;
    return candidates.best(
        request, Stage::prefill, [&](const Server& server) { return has_queue_space(server, request); },
        [&](const Server& server) {
            const ServerId& id = server.endpoint.id;
            return std::tuple(
                score(server, request), decode_capacity.cell_has_capacity(server.endpoint.cell, request),
                server.cache.session_tokens(id, request), endpoints_.topology().is_local(server.endpoint),
                1 / -std::log(hash_to_unit_interval(key, id.value)));
        });
}

// Breaks ties by cached text of the session, then by the placement of the prefix that all gateways compute
// alike, then by weighted hash.
Server* PrefillSelection::select_by_shared_placement(const Request& request, CandidateSet& candidates) {
    const RequestArrived& arrival = request.arrival;
    const double lowest_rank = prefixes_.lowest_rank(arrival.prefix);
    return candidates.best(
        request, Stage::prefill, [&](const Server& server) { return has_queue_space(server, request); },
        [&](const Server& server) {
            const ServerId& id = server.endpoint.id;
            return std::tuple(score(server, request), server.cache.session_tokens(id, request),
                              hash_to_unit_interval(arrival.prefix, id.value) >= lowest_rank,
                              endpoints_.topology().prefill_weight(server.endpoint) /
                                  -std::log(hash_to_unit_interval(arrival.session, id.value)));
        });
}

bool PrefillSelection::should_wait_for_cached_text(const Server& selected, const Request& request,
                                                   CandidateSet& candidates, Time now) const {
    const Duration wait =
        from_seconds(kCachedTextWaitFraction * seconds(request.objective - request.arrived_at));
    if (now >= request.arrived_at + wait) return false;
    const double cached_there = PromptCache::reported_tokens(selected.endpoint.id, request);
    const auto has_much_more = [&](const CachedPrefix& report) {
        const Server* server = endpoints_.find(report.server);
        return server != nullptr && server->cache.reported() && candidates.usable(*server, request) &&
               score(*server, request) >= score(selected, request) &&
               report.tokens - cached_there > kMinCachedTextAdvantage * request.arrival.prompt_tokens;
    };
    const auto& reports = request.arrival.cached_prefixes;
    return std::any_of(reports.begin(), reports.end(), has_much_more);
}

double PrefillSelection::score(const Server& server, const Request& request) const {
    const double tokens =
        server.cache.uncached_tokens(server.endpoint.id, request) + server.queued_prefill_tokens;
    const double time = kPrefillSecondsPerToken * tokens * server.latency.slowdown();
    return time < kTieThresholdSeconds ? 1 : 1 - time / kTieThresholdSeconds;
}

bool PrefillSelection::has_queue_space(const Server& server, const Request& request) const {
    if (server.queued_prefill_tokens <= 0) return true;
    const double tokens = kPrefillOverheadTokens + server.queued_prefill_tokens +
                          server.cache.uncached_tokens(server.endpoint.id, request);
    const double time = latencies_.prefill_seconds_per_token() * server.latency.slowdown() * tokens;
    return time < kPrefillQueueFraction * seconds(request.class_settings->first_token_objective);
}

}  // namespace chalksail::policy
