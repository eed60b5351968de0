// Puts the cache event batches of one engine in order: which to apply, when to request a replay, and when all
// that is known of the engine must be cleared. Batches may be lost, duplicated, late, or from a process that
// has ended.
//
// A sequence number that falls back with a newer timestamp shows a new process of the engine, whose cache is
// empty. A gap in the sequence is filled by a replay; if the replay cannot fill it, a removal may have been
// lost, and all that is known is cleared. What a snapshot restored counts only once the engine replays the
// last batch that was applied to it, with the same timestamp: that shows it is the same process.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "prefix/cache_events.hpp"

namespace chalksail::prefix {

// The owner applies each Update in full, and ends replays that take too long. Not thread-safe.
class EventStream {
public:
    enum class State {
        empty,       // nothing was received yet: nothing is known
        unverified,  // restored from a snapshot; the replay that verifies it is under way
        live,        // every batch published so far has been applied
        replaying,   // past batches were requested
    };
    // What the owner must do, in this order.
    struct Update {
        bool clear = false;  // everything known of this engine
        std::vector<Batch> apply;
        std::optional<std::uint64_t> replay_from;  // request a replay from this sequence number on
    };
    // `max_pending`: batches held back while a replay is under way.
    explicit EventStream(std::size_t max_pending = 1024) : max_pending_(max_pending) {}

    [[nodiscard]] Update on_published(std::uint64_t sequence, Batch batch);
    [[nodiscard]] Update on_replayed(std::uint64_t sequence, Batch batch);
    // The replay ended, or took too long.
    [[nodiscard]] Update on_replay_ended();
    // The engine was restarted, according to the endpoint list or to its own sequence numbers.
    [[nodiscard]] Update on_restart();
    // Continues from a snapshot, which the owner has restored: all batches before `next_sequence` (at least
    // 1) were applied to it, the last of them with `last_timestamp`.
    [[nodiscard]] Update resume(std::uint64_t next_sequence, double last_timestamp);

    [[nodiscard]] State state() const { return state_; }
    // May what was applied be used?
    [[nodiscard]] bool usable() const { return state_ == State::live || state_ == State::replaying; }
    // Sequence number of the next batch to apply.
    [[nodiscard]] std::uint64_t next_sequence() const { return next_sequence_; }
    // Timestamp of the batch before next_sequence().
    [[nodiscard]] double last_timestamp() const { return last_timestamp_; }

    struct Counts {
        std::uint64_t applied = 0;
        std::uint64_t duplicates = 0;
        std::uint64_t gaps = 0;
        std::uint64_t unfilled_gaps = 0;  // that a replay could not fill
        std::uint64_t restarts = 0;
        std::uint64_t snapshots_verified = 0;
        std::uint64_t snapshots_discarded = 0;
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }

private:
    [[nodiscard]] bool is_from_another_process(std::uint64_t sequence, const Batch& batch) const;
    [[nodiscard]] Update on_first_batch(std::uint64_t sequence, Batch batch);
    [[nodiscard]] Update discard_snapshot();
    void apply(std::uint64_t sequence, Batch batch, Update& update);
    void apply_pending(Update& update);
    void skip_gap_to(std::uint64_t sequence, Update& update);
    void hold_back(std::uint64_t sequence, Batch batch, Update& update);

    std::size_t max_pending_;
    State state_ = State::empty;
    std::uint64_t next_sequence_ = 0;
    double newest_timestamp_ = 0;  // of all applied batches
    double last_timestamp_ = 0;
    std::map<std::uint64_t, Batch> pending_;  // by sequence number
    Counts counts_;
};

}  // namespace chalksail::prefix
