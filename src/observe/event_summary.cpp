#include "observe/event_summary.hpp"

#include <utility>

namespace chalksail::observe {

void EventSummary::add(std::string_view name) {
    auto found = counts_.find(name);
    if (found == counts_.end())
        found = counts_.emplace(counts_.size() < kMaxNames ? name : std::string_view("other"), 0).first;
    found->second += 1;
}

std::optional<std::string> EventSummary::take(Time now) {
    if (counts_.empty() || (taken_at_ && now < *taken_at_ + interval_)) return std::nullopt;
    taken_at_ = now;
    return take_all();
}

std::string EventSummary::take_all() {
    std::string text;
    for (const auto& [name, count] : std::exchange(counts_, {})) {
        if (!text.empty()) text += "; ";
        text += name + ": " + std::to_string(count);
    }
    return text;
}

}  // namespace chalksail::observe
