#include "membership/late_list_calls.hpp"

#include <algorithm>

namespace chalksail::membership {

std::optional<LateListCalls::CallId> LateListCalls::add(CallId call, Time opened_at) {
    calls_.push_back({call, opened_at});
    if (calls_.size() <= kMaxCalls) return std::nullopt;
    const auto second_oldest = calls_.begin() + 1;
    const CallId displaced = second_oldest->id;
    calls_.erase(second_oldest);
    return displaced;
}

std::optional<LateListCalls::CallId> LateListCalls::remove_expired(Time now) {
    if (calls_.empty() || now - calls_.front().opened_at <= timeout_) return std::nullopt;
    const CallId expired = calls_.front().id;
    calls_.erase(calls_.begin());
    timeout_ = std::min(2 * timeout_, kMaxTimeout);
    return expired;
}

void LateListCalls::remove(CallId call) {
    std::erase_if(calls_, [call](const LateCall& late) { return late.id == call; });
}

std::vector<LateListCalls::CallId> LateListCalls::clear() {
    std::vector<CallId> removed;
    for (const auto& late : calls_) removed.push_back(late.id);
    calls_.clear();
    return removed;
}

}  // namespace chalksail::membership
