#include "decode_selection.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chalksail::policy {
namespace {

constexpr double kDecodePenaltyPerToken = 3.3e-5;  // harm of a token in a decode batch (paper, 5.2)
constexpr double kPrefillWeight = 0.5;  // of prompt against decode at a mixed server (paper, alpha)
constexpr double kTransferPrompts =
    2;  // prompts more that a state leaving its cell weighs as; its zone, again
constexpr double kSparseGateways = 4;     // with sparse observations, moves weigh this over the gateways
constexpr int kTransferObjectives = 3;    // shortest objectives after which an observed transfer is too old
constexpr double kLeastShare = 1e-6;      // keeps a cell without spare decode servers in the choice
constexpr double kSmallestDemand = 1e-9;  // keeps a ratio finite

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
    const Server* prefill =
        context.sparse_observations && request.state_at ? endpoints_.find(*request.state_at) : nullptr;
    return candidates.best(
        request, Stage::decode,
        [&](const Server& server) { return !need_capacity || limits_.has_capacity(server.limit, context); },
        [&](const Server& server) {
            const Endpoint& endpoint = server.endpoint;
            // States that leave are spread by spare decode servers, or a busy zone's few would get them all.
            const bool leaves = prefill != nullptr && prefill->endpoint.cell != endpoint.cell;
            const double share =
                leaves ? kLeastShare + endpoints_.topology().spare_decode_share(endpoint.cell) : 1;
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
            transfer_tokens(server, request, context));
}

double DecodeSelection::transfer_tokens(const Server& server, const Request& request,
                                        const StepContext& context) const {
    if (request.state_at) {
        const Server* prefill = endpoints_.find(*request.state_at);
        return prefill == nullptr ? 0 : state_transfer_tokens(*prefill, server, request, context);
    }
    if (endpoints_.topology().is_local(server.endpoint)) return 0;
    return kTransferPrompts * weighed_prompt(request, context);
}

double DecodeSelection::state_transfer_tokens(const Server& from, const Server& to, const Request& request,
                                              const StepContext& context) const {
    const double prompt = weighed_prompt(request, context);
    const FleetTopology& topology = endpoints_.topology();
    const double lateness = transfer_lateness(from.endpoint.cell, request, context);
    // A cell short of decode servers sends part of its states, by hash, to cells with spare ones; fewer if
    // slow.
    const bool leaves =
        context.sparse_observations &&
        hash_to_unit_interval(request.arrival.session, "leaves") * (1 - lateness / kQueuedShare) >
            1 / std::max(kSmallestDemand, topology.decode_demand(from.endpoint.cell));
    if (from.endpoint.cell == to.endpoint.cell) return leaves ? kTransferPrompts * prompt : 0;
    if (leaves && topology.spare_decode_share(to.endpoint.cell) > 0) return 0;
    const bool same_zone = from.endpoint.zone == to.endpoint.zone;
    return prompt * (same_zone ? kTransferPrompts : 2 * kTransferPrompts) + to.limit.limit() * lateness;
}

double DecodeSelection::weighed_prompt(const Request& request, const StepContext& context) const {
    return request.arrival.prompt_tokens * (context.sparse_observations ? kSparseGateways / gateways_ : 1);
}

double DecodeSelection::transfer_lateness(std::int64_t from_cell, const Request& request,
                                          const StepContext& context) const {
    const auto transfers = transfers_.find(from_cell);
    const Duration fresh =
        context.sparse_observations ? slow_start_duration_ : kTransferObjectives * shortest_objective_;
    if (transfers == transfers_.end() || context.now - transfers->second.observed_at >= fresh) return 0;
    return std::min(
        1.0, transfers->second.seconds.mean() / seconds(request.class_settings->first_token_objective));
}

}  // namespace chalksail::policy
