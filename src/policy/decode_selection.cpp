#include "decode_selection.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chalksail::policy {
namespace {

// Penalty of adding one token to a decode batch (paper, 5.2).
constexpr double kDecodePenaltyPerToken = 3.3e-5;
// Weight of the prefill score against the decode score at a mixed server (alpha in the paper).
constexpr double kPrefillWeight = 0.5;
// Cost of a KV state leaving its cell, in prompts; twice that if it also leaves its zone.
constexpr double kTransferCostPrompts = 2;
// With sparse observations, transfer costs are scaled by this value over the number of gateways.
constexpr double kSparseTransferScale = 4;
constexpr int kMaxTransferAgeObjectives = 3;  // maximum age of an observed transfer, in shortest objectives
constexpr double kMinSpareShare = 1e-6;       // keeps servers of cells without spare decode servers eligible
constexpr double kMinDemand = 1e-9;           // avoids a division by zero

}  // namespace

DecodeSelection::DecodeSelection(const Settings& settings, const EndpointTable& endpoints,
                                 const ConcurrencyLimit& limits, const PrefillSelection& prefill_selection)
    : endpoints_(endpoints),
      limits_(limits),
      prefill_selection_(prefill_selection),
      gateways_(settings.gateways),
      slow_start_duration_(settings.slow_start_duration),
      shortest_objective_(shortest_first_token_objective(settings)) {}

void DecodeSelection::record_transfer(std::int64_t from_cell, Duration elapsed, Time now) {
    CellTransfers& transfers = transfers_[from_cell];
    transfers.seconds.add(seconds(elapsed));
    transfers.observed_at = now;
}

Server* DecodeSelection::select(const Request& request, bool need_capacity, CandidateSet& candidates,
                                const StepContext& context) const {
    const Server* prefill = context.sparse_observations && request.kv_state_server
                                ? endpoints_.find(*request.kv_state_server)
                                : nullptr;
    return candidates.best(
        request, Stage::decode,
        [&](const Server& server) { return !need_capacity || limits_.has_capacity(server.limit, context); },
        [&](const Server& server) {
            const Endpoint& endpoint = server.endpoint;
            // KV states that leave their cell are distributed in proportion to spare decode servers;
            // otherwise the few spare ones of a busy zone would receive all of them.
            const bool leaves_cell = prefill != nullptr && prefill->endpoint.cell != endpoint.cell;
            const double share =
                leaves_cell ? kMinSpareShare + endpoints_.topology().spare_decode_share(endpoint.cell) : 1;
            return std::pair(
                score(server, request, context),
                share / -std::log(hash_to_unit_interval(request.arrival.session, endpoint.id.value)));
        });
}

Server* DecodeSelection::select_mixed(const Request& request, CandidateSet& candidates,
                                      const StepContext& context) const {
    return candidates.best(
        request, Stage::decode,
        [&](const Server& server) {
            return server.role == Role::mixed && limits_.has_capacity(server.limit, context);
        },
        [&](const Server& server) {
            return std::pair(combined_score(server, server, request, context),
                             hash_to_unit_interval(request.arrival.session, server.endpoint.id.value));
        });
}

double DecodeSelection::combined_score(const Server& prefill, const Server& decode, const Request& request,
                                       const StepContext& context) const {
    return kPrefillWeight * prefill_selection_.score(prefill, request) +
           (1 - kPrefillWeight) * score(decode, request, context);
}

double DecodeSelection::score(const Server& server, const Request& request,
                              const StepContext& context) const {
    const double weight = endpoints_.topology().relative_weight(server.endpoint, server.role);
    return -kDecodePenaltyPerToken *
           (limits_.load(server.limit, context.now) * server.latency.slowdown() / weight + request.tokens() +
            transfer_cost_tokens(server, request, context));
}

double DecodeSelection::transfer_cost_tokens(const Server& server, const Request& request,
                                             const StepContext& context) const {
    if (request.kv_state_server) {
        const Server* prefill = endpoints_.find(*request.kv_state_server);
        return prefill == nullptr ? 0 : kv_transfer_cost_tokens(*prefill, server, request, context);
    }
    if (endpoints_.topology().is_local(server.endpoint)) return 0;
    return kTransferCostPrompts * weighted_prompt_tokens(request, context);
}

double DecodeSelection::kv_transfer_cost_tokens(const Server& from, const Server& to, const Request& request,
                                                const StepContext& context) const {
    const double prompt = weighted_prompt_tokens(request, context);
    const FleetTopology& topology = endpoints_.topology();
    const double latency_fraction = transfer_latency_fraction(from.endpoint.cell, request, context);
    // A cell with too few decode servers sends a part of its KV states, chosen by hash, to cells with spare
    // ones, and fewer when these transfers are slow.
    const bool should_leave_cell = context.sparse_observations &&
                                   hash_to_unit_interval(request.arrival.session, "leaves") *
                                           (1 - latency_fraction / kQueuedFirstTokenFraction) >
                                       1 / std::max(kMinDemand, topology.decode_demand(from.endpoint.cell));
    if (from.endpoint.cell == to.endpoint.cell) return should_leave_cell ? kTransferCostPrompts * prompt : 0;
    if (should_leave_cell && topology.spare_decode_share(to.endpoint.cell) > 0) return 0;
    const bool same_zone = from.endpoint.zone == to.endpoint.zone;
    return prompt * (same_zone ? kTransferCostPrompts : 2 * kTransferCostPrompts) +
           to.limit.limit() * latency_fraction;
}

double DecodeSelection::weighted_prompt_tokens(const Request& request, const StepContext& context) const {
    return request.arrival.prompt_tokens *
           (context.sparse_observations ? kSparseTransferScale / gateways_ : 1);
}

double DecodeSelection::transfer_latency_fraction(std::int64_t from_cell, const Request& request,
                                                  const StepContext& context) const {
    const auto transfers = transfers_.find(from_cell);
    const Duration max_age =
        context.sparse_observations ? slow_start_duration_ : kMaxTransferAgeObjectives * shortest_objective_;
    if (transfers == transfers_.end() || context.now - transfers->second.observed_at >= max_age) return 0;
    return std::min(
        1.0, transfers->second.seconds.mean() / seconds(request.class_settings->first_token_objective));
}

}  // namespace chalksail::policy
