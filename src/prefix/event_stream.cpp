#include "prefix/event_stream.hpp"

#include <algorithm>
#include <utility>

namespace chalksail::prefix {
namespace {

void clear(EventStream::Update& update) {
    update.clear = true;
    update.apply.clear();
}

}  // namespace

EventStream::Update EventStream::on_published(std::uint64_t sequence, Batch batch) {
    if (state_ == State::empty) return on_first_batch(sequence, std::move(batch));
    Update update;
    if (is_from_another_process(sequence, batch)) {
        update = on_restart();
        Update first = on_first_batch(sequence, std::move(batch));
        update.apply = std::move(first.apply);
        update.replay_from = first.replay_from;
        return update;
    }
    if (sequence < next_sequence_) {
        counts_.duplicates += 1;
        return update;
    }
    if (state_ == State::live && sequence == next_sequence_) {
        apply(sequence, std::move(batch), update);
        return update;
    }
    if (state_ == State::live) {
        state_ = State::replaying;
        counts_.gaps += 1;
        update.replay_from = next_sequence_;
    }
    add_pending(sequence, std::move(batch), update);
    return update;
}

EventStream::Update EventStream::on_first_batch(std::uint64_t sequence, Batch batch) {
    Update update;
    if (sequence == 0) {
        state_ = State::live;
        apply(0, std::move(batch), update);
        return update;
    }
    // The gateway connected after the engine's first batch. The blocks stored before are in past batches, as
    // far back as the engine can replay them.
    state_ = State::replaying;
    next_sequence_ = 0;
    update.replay_from = 0;
    add_pending(sequence, std::move(batch), update);
    return update;
}

// Within one process, sequence numbers and timestamps increase together. A batch with a newer timestamp than
// an applied or pending batch with a higher sequence number was published by a restarted process.
bool EventStream::is_from_another_process(std::uint64_t sequence, const Batch& batch) const {
    const auto higher = pending_.upper_bound(sequence);
    if (higher != pending_.end() && higher->second.timestamp < batch.timestamp) return true;
    const bool not_newer = batch.timestamp <= newest_timestamp_;  // false for a timestamp that is NaN
    return sequence < next_sequence_ && !not_newer;
}

EventStream::Update EventStream::on_replayed(std::uint64_t sequence, Batch batch) {
    Update update;
    if (state_ == State::unverified && sequence + 1 == next_sequence_) {
        // A restarted engine may have reached the same sequence number; its batch has another timestamp.
        if (batch.timestamp != last_timestamp_) return on_restart();
        counts_.snapshots_verified += 1;
        state_ = State::replaying;
        return update;
    }
    if (state_ != State::replaying || sequence < next_sequence_) return update;
    if (sequence > next_sequence_) skip_gap_to(sequence, update);  // the replay starts after the gap
    apply(sequence, std::move(batch), update);
    apply_pending(update);
    return update;
}

EventStream::Update EventStream::on_replay_ended() {
    if (state_ == State::unverified) return discard_snapshot();
    Update update;
    if (state_ != State::replaying) return update;
    apply_pending(update);
    while (!pending_.empty()) {
        skip_gap_to(pending_.begin()->first, update);
        apply_pending(update);
    }
    state_ = State::live;
    return update;
}

EventStream::Update EventStream::on_restart() {
    Update update;
    clear(update);
    counts_.restarts += 1;
    state_ = State::empty;
    next_sequence_ = 0;
    pending_.clear();
    return update;
}

EventStream::Update EventStream::resume(std::uint64_t next_sequence, double last_timestamp) {
    Update update;
    state_ = State::unverified;
    next_sequence_ = next_sequence;
    last_timestamp_ = last_timestamp;
    newest_timestamp_ = last_timestamp;
    pending_.clear();
    update.replay_from = next_sequence - 1;
    return update;
}

// Called when the replay did not verify that the engine process is the one of the snapshot. The next batch is
// handled as the first one, with a replay from the beginning.
EventStream::Update EventStream::discard_snapshot() {
    Update update;
    clear(update);
    counts_.snapshots_discarded += 1;
    state_ = State::empty;
    next_sequence_ = 0;
    pending_.clear();
    return update;
}

void EventStream::apply(std::uint64_t sequence, Batch batch, Update& update) {
    next_sequence_ = sequence + 1;
    newest_timestamp_ = std::max(newest_timestamp_, batch.timestamp);
    last_timestamp_ = batch.timestamp;
    counts_.applied += 1;
    update.apply.push_back(std::move(batch));
}

// Applies the pending batches that follow next_sequence_ without a gap.
void EventStream::apply_pending(Update& update) {
    for (auto it = pending_.begin(); it != pending_.end() && it->first <= next_sequence_;) {
        if (it->first == next_sequence_) apply(it->first, std::move(it->second), update);
        it = pending_.erase(it);
    }
}

// Continues at `sequence` after batches that cannot be recovered. Before the first batch there is nothing to
// clear.
void EventStream::skip_gap_to(std::uint64_t sequence, Update& update) {
    if (next_sequence_ > 0) {
        counts_.unfilled_gaps += 1;
        clear(update);
    }
    next_sequence_ = sequence;
}

void EventStream::add_pending(std::uint64_t sequence, Batch batch, Update& update) {
    pending_.emplace(sequence, std::move(batch));
    if (pending_.size() <= max_pending_) return;
    // The replay is slower than new batches are published: continue with the pending batches.
    Update ended = on_replay_ended();
    update.clear = update.clear || ended.clear;
    for (auto& pending : ended.apply) update.apply.push_back(std::move(pending));
}

}  // namespace chalksail::prefix
