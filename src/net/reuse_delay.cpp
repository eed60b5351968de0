#include "net/reuse_delay.hpp"

#include <algorithm>

namespace chalksail::net {

void ReuseDelay::record_unrequested_bytes(const UpstreamKey& server, Time now) {
    forget_expired(now);
    increased_until_[server] = now + limits_.increased_for;
}

Time ReuseDelay::reusable_at(const UpstreamKey& server, Time response_ended) const {
    const auto found = increased_until_.find(server);
    const bool is_increased = found != increased_until_.end() && response_ended < found->second;
    return response_ended + (is_increased ? std::max(limits_.normal, limits_.increased) : limits_.normal);
}

void ReuseDelay::forget_expired(Time now) {
    std::erase_if(increased_until_, [now](const auto& entry) { return entry.second <= now; });
}

}  // namespace chalksail::net
