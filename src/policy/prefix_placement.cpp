#include "prefix_placement.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <vector>

#include "prompt_cache.hpp"
#include "statistics.hpp"

namespace chalksail::policy {
namespace {

// Number of servers that cache a prefix, relative to its traffic in units of one server's share.
constexpr double kCopiesPerTrafficShare = 8;
// Assumed earlier arrivals without the prefix, so that a share of few arrivals counts for little.
constexpr double kPriorArrivals = 20;
// Prefixes with fewer arrivals after halving are dropped.
constexpr double kMinArrivals = 0.5;

}  // namespace

void PrefixPlacement::record_arrival(const std::string& prefix) {
    if (!prefix.empty()) arrivals_by_prefix_[prefix] += 1;
    arrivals_ += 1;
    if (arrivals_ <= kMaxTrackedTexts) return;
    arrivals_ /= 2;
    for (auto& [key, arrivals] : arrivals_by_prefix_) arrivals /= 2;
    std::erase_if(arrivals_by_prefix_, [](const auto& entry) { return entry.second < kMinArrivals; });
}

double PrefixPlacement::lowest_rank(const std::string& prefix) {
    const auto arrivals = arrivals_by_prefix_.find(prefix);
    const double servers = endpoints_.topology().prefill_servers();
    if (arrivals == arrivals_by_prefix_.end() || servers <= 0) return 0;
    const double copies = std::min(servers, std::ceil(kCopiesPerTrafficShare * servers * arrivals->second /
                                                      (kPriorArrivals + arrivals_)));
    // Recomputes the rank only for a different number of copies or after a change of the endpoint list.
    if (ranked_.size() > kMaxTrackedTexts) ranked_.clear();
    RankedPrefix& known = ranked_[prefix];
    if (known.copies != copies) known = {copies, rank_of_copy(prefix, copies)};
    return known.lowest_rank;
}

double PrefixPlacement::rank_of_copy(const std::string& prefix, double copies) const {
    std::vector<double> ranks;
    for (const auto& [id, server] : endpoints_.all())
        if (server.role == Role::prefill && server.in_service())
            ranks.push_back(hash_to_unit_interval(prefix, id.value));
    const auto last = ranks.begin() + static_cast<std::ptrdiff_t>(copies) - 1;
    std::nth_element(ranks.begin(), last, ranks.end(), std::greater<>());
    return *last;
}

}  // namespace chalksail::policy
