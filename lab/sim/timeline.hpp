// The order of a simulation: acts, each at its time, those of one time in the order in which they were asked
// for. The clock is the time of the act that is being played. No I/O, no randomness.
#pragma once

#include <absl/functional/any_invocable.h>

#include <algorithm>
#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <utility>
#include <vector>

namespace chalksail::lab::sim {

class Timeline {
public:
    using Act = absl::AnyInvocable<void()>;

    explicit Timeline(Time start) : now_(start) {}
    [[nodiscard]] Time now() const { return now_; }
    // What is asked for in the past is played now.
    void at(Time when, Act act) {
        heap_.push_back({std::max(now_, when), ++last_, std::move(act)});
        std::push_heap(heap_.begin(), heap_.end(), later);
    }
    void after(Duration delay, Act act) { at(now_ + delay, std::move(act)); }
    // Plays the next act if its time is at or before `last`; false if there is none.
    bool play_one(Time last) {
        if (heap_.empty() || heap_.front().when > last) return false;
        std::pop_heap(heap_.begin(), heap_.end(), later);
        Entry next = std::move(heap_.back());
        heap_.pop_back();
        now_ = next.when;
        played_ += 1;
        next.act();
        return true;
    }
    [[nodiscard]] std::uint64_t played() const { return played_; }
    [[nodiscard]] std::size_t waiting() const { return heap_.size(); }

private:
    struct Entry {
        Time when{};
        std::uint64_t order = 0;
        Act act;
    };
    static bool later(const Entry& a, const Entry& b) {
        return a.when != b.when ? a.when > b.when : a.order > b.order;
    }
    Time now_;
    std::vector<Entry> heap_;
    std::uint64_t last_ = 0;
    std::uint64_t played_ = 0;
};

}  // namespace chalksail::lab::sim
