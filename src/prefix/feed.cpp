#include "prefix/feed.hpp"

#include <algorithm>
#include <utility>

namespace chalksail::prefix {

void Feed::take(std::uint64_t sequence, Batch batch, Act& act) {
    next_ = sequence + 1;
    newest_ts_ = std::max(newest_ts_, batch.ts);
    last_ts_ = batch.ts;
    counts_.applied += 1;
    act.apply.push_back(std::move(batch));
}

// Applies what is held and follows on.
void Feed::drain(Act& act) {
    for (auto it = held_.begin(); it != held_.end() && it->first <= next_;) {
        if (it->first == next_) take(it->first, std::move(it->second), act);
        it = held_.erase(it);
    }
}

void Feed::forget(Act& act) {
    act.forget = true;
    act.apply.clear();
}

void Feed::hold(std::uint64_t sequence, Batch batch, Act& act) {
    held_.emplace(sequence, std::move(batch));
    if (held_.size() <= held_most_) return;
    // The replay does not keep up with what is published: go on from what is here.
    auto over = replay_ended();
    act.forget = act.forget || over.forget;
    for (auto& b : over.apply) act.apply.push_back(std::move(b));
}

Feed::Act Feed::published(std::uint64_t sequence, Batch batch) {
    Act act;
    if (state_ == State::unheard) {
        if (sequence == 0) {
            state_ = State::live;
            take(0, std::move(batch), act);
            return act;
        }
        // Joined late: what it stored before is in the past batches, as far as they go back.
        state_ = State::replaying;
        next_ = 0;
        act.replay_from = 0;
        hold(sequence, std::move(batch), act);
        return act;
    }
    // One process counts up as its clock does. What is held with a higher number and an older time is
    // another's.
    const auto later = held_.upper_bound(sequence);
    const bool other = later != held_.end() && later->second.ts < batch.ts;
    if (sequence < next_ || other) {
        if (!other && batch.ts <= newest_ts_) {
            counts_.doubled += 1;
            return act;
        }
        // Newer, and yet from the beginning: another process, which knows nothing of the old one's blocks.
        act = restarted();
        auto more = published(sequence, std::move(batch));
        act.apply = std::move(more.apply);
        act.replay_from = more.replay_from;
        return act;
    }
    if (state_ == State::unproved) {
        hold(sequence, std::move(batch), act);
        return act;
    }
    if (state_ == State::live && sequence == next_) {
        take(sequence, std::move(batch), act);
        return act;
    }
    if (state_ == State::live) {
        state_ = State::replaying;
        counts_.gaps += 1;
        act.replay_from = next_;
    }
    hold(sequence, std::move(batch), act);
    return act;
}

Feed::Act Feed::replayed(std::uint64_t sequence, Batch batch) {
    Act act;
    if (state_ == State::unproved && sequence + 1 == next_) {
        // Guards against another process whose numbers have come as far: only ours had this batch at this
        // time.
        if (batch.ts != last_ts_) return restarted();
        counts_.proved += 1;
        state_ = State::replaying;
        return act;
    }
    if (state_ != State::replaying || sequence < next_) return act;
    if (sequence > next_) {
        // The past does not go back that far.
        if (next_ > 0) {
            counts_.unfilled += 1;
            forget(act);
        }
        next_ = sequence;
    }
    take(sequence, std::move(batch), act);
    drain(act);
    return act;
}

Feed::Act Feed::replay_ended() {
    Act act;
    if (state_ == State::unproved) {
        // Nothing shows that it is the same process. What comes next asks for the past from its beginning.
        counts_.unproved += 1;
        forget(act);
        state_ = State::unheard;
        next_ = 0;
        held_.clear();
        return act;
    }
    if (state_ != State::replaying) return act;
    drain(act);
    while (!held_.empty()) {
        if (next_ > 0) {
            counts_.unfilled += 1;
            forget(act);
        }
        next_ = held_.begin()->first;
        drain(act);
    }
    state_ = State::live;
    return act;
}

Feed::Act Feed::resumed(std::uint64_t next, double last_ts) {
    Act act;
    state_ = State::unproved;
    next_ = next;
    last_ts_ = newest_ts_ = last_ts;
    held_.clear();
    act.replay_from = next - 1;
    return act;
}

Feed::Act Feed::restarted() {
    Act act;
    forget(act);
    counts_.restarts += 1;
    generation_ += 1;
    state_ = State::unheard;
    next_ = 0;
    held_.clear();
    return act;
}

}  // namespace chalksail::prefix
