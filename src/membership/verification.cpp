#include "membership/verification.hpp"

#include <algorithm>

namespace chalksail::membership {

bool Verification::failed(const std::string& server, Time now) {
    const auto [it, fresh] = out_.try_emplace(server);
    Out& o = it->second;
    // Attempts that were on their way when the first one failed tell nothing new.
    if (!fresh && !o.asked) return false;
    o.pause = fresh || o.pause == Duration::zero()
                  ? backoff_.first
                  : std::min(backoff_.max, std::chrono::duration_cast<Duration>(o.pause * backoff_.growth));
    o.at = now + o.pause;
    o.asked = false;
    return fresh;
}

void Verification::inconclusive(const std::string& server, Time now) {
    const auto it = out_.find(server);
    if (it == out_.end()) return;
    it->second.pause = std::max(it->second.pause, backoff_.first);
    it->second.at = now + it->second.pause;
    it->second.asked = false;
}

bool Verification::verified(const std::string& server) { return out_.erase(server) != 0; }

void Verification::changed(const std::string& server, Time now) {
    if (const auto it = out_.find(server); it != out_.end()) it->second = {Duration::zero(), now, false};
}

void Verification::trust_changed(Time now) {
    for (auto& [server, o] : out_) o = {Duration::zero(), now, false};
}

std::vector<std::string> Verification::due(Time now) {
    std::vector<std::string> all;
    for (auto& [server, o] : out_)
        if (!o.asked && o.at <= now) {
            o.asked = true;
            all.push_back(server);
        }
    return all;
}

std::optional<Time> Verification::next() const {
    std::optional<Time> first;
    for (const auto& [server, o] : out_)
        if (!o.asked) first = first ? std::min(*first, o.at) : o.at;
    return first;
}

}  // namespace chalksail::membership
