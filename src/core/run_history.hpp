// The ids of requests that may have run at a server and must not run again. The newest kMaxIds are known, so
// that an id that comes again on another connection is recognized while its client may still repeat it.
// No I/O, no clock; not thread-safe; no errors.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

namespace chalksail::core {

class RunHistory {
public:
    void record(const std::string& id) {
        if (!ids_.insert(id).second) return;
        order_.push_back(id);
        if (order_.size() <= kMaxIds) return;
        ids_.erase(order_.front());
        order_.pop_front();
    }
    [[nodiscard]] bool contains(const std::string& id) const { return ids_.contains(id); }

    static constexpr std::size_t kMaxIds = 2048;

private:
    std::unordered_set<std::string> ids_;
    std::deque<std::string> order_;  // oldest first
};

}  // namespace chalksail::core
