#include "membership/verification.hpp"

#include <algorithm>

namespace chalksail::membership {

bool Verification::failed(const std::string& server, Time now) {
    const auto [it, newly_excluded] = excluded_.try_emplace(server);
    Exclusion& exclusion = it->second;
    // Handshakes that had begun before the first failure provide no new information.
    if (!newly_excluded && !exclusion.trial_in_progress) return false;
    if (newly_excluded || exclusion.backoff == Duration::zero()) {
        exclusion.backoff = backoff_.first;
    } else {
        const auto grown = std::chrono::duration_cast<Duration>(exclusion.backoff * backoff_.growth);
        exclusion.backoff = std::min(backoff_.max, grown);
    }
    exclusion.next_trial = now + exclusion.backoff;
    exclusion.trial_in_progress = false;
    return newly_excluded;
}

void Verification::inconclusive(const std::string& server, Time now) {
    const auto it = excluded_.find(server);
    if (it == excluded_.end()) return;
    Exclusion& exclusion = it->second;
    exclusion.backoff = std::max(exclusion.backoff, backoff_.first);
    exclusion.next_trial = now + exclusion.backoff;
    exclusion.trial_in_progress = false;
}

bool Verification::verified(const std::string& server) { return excluded_.erase(server) != 0; }

void Verification::changed(const std::string& server, Time now) {
    if (const auto it = excluded_.find(server); it != excluded_.end())
        it->second = {Duration::zero(), now, false};
}

void Verification::trust_changed(Time now) {
    for (auto& [server, exclusion] : excluded_) exclusion = {Duration::zero(), now, false};
}

std::vector<std::string> Verification::due(Time now) {
    std::vector<std::string> servers;
    for (auto& [server, exclusion] : excluded_) {
        if (exclusion.trial_in_progress || exclusion.next_trial > now) continue;
        exclusion.trial_in_progress = true;
        servers.push_back(server);
    }
    return servers;
}

std::optional<Time> Verification::next() const {
    std::optional<Time> earliest;
    for (const auto& [server, exclusion] : excluded_) {
        if (exclusion.trial_in_progress) continue;
        earliest = earliest ? std::min(*earliest, exclusion.next_trial) : exclusion.next_trial;
    }
    return earliest;
}

}  // namespace chalksail::membership
