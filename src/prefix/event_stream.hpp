// Puts the cache event batches of one engine in order. Decides which batches to apply, when to request a
// replay, and when to clear the engine's recorded blocks. Batches may be lost, duplicated, late, or from a
// process that has ended.
//
// A lower sequence number with a newer timestamp means that the engine was restarted and its cache is empty.
// A gap in the sequence is filled by a replay. If the replay cannot fill it, a removal may have been lost,
// and the recorded blocks are cleared. A restored snapshot is used only after the engine has replayed the
// last batch that the snapshot contains, with the same timestamp, which proves that it is the same process.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "prefix/cache_events.hpp"

namespace chalksail::prefix {

// The owner must apply each Update completely, and call on_replay_ended() for replays that take too long. Not
// thread-safe.
class EventStream {
public:
    enum class State {
        empty,       // no batch was received since the start or a restart
        unverified,  // restored from a snapshot; the replay that verifies it is in progress
        live,        // every batch published so far has been applied
        replaying,   // a replay of past batches is in progress
    };
    // The actions that the owner must take, in this order.
    struct Update {
        bool clear = false;  // remove all blocks recorded for this engine
        std::vector<Batch> apply;
        std::optional<std::uint64_t> replay_from;  // request a replay from this sequence number on
    };
    // `max_pending` is the maximum number of batches buffered while a replay is in progress.
    explicit EventStream(std::size_t max_pending = 1024) : max_pending_(max_pending) {}

    [[nodiscard]] Update on_published(std::uint64_t sequence, Batch batch);
    [[nodiscard]] Update on_replayed(std::uint64_t sequence, Batch batch);
    // Called when the replay has ended or timed out.
    [[nodiscard]] Update on_replay_ended();
    // Called when the endpoint list or the sequence numbers show that the engine was restarted.
    [[nodiscard]] Update on_restart();
    // Continues from a snapshot that the owner has restored. The snapshot contains all batches before
    // `next_sequence` (at least 1); the last of them has the timestamp `last_timestamp`.
    [[nodiscard]] Update resume(std::uint64_t next_sequence, double last_timestamp);

    [[nodiscard]] State state() const { return state_; }
    // Returns true if the applied batches may be used for routing.
    [[nodiscard]] bool usable() const { return state_ == State::live || state_ == State::replaying; }
    // Returns the sequence number of the next batch to apply.
    [[nodiscard]] std::uint64_t next_sequence() const { return next_sequence_; }
    // Returns the timestamp of the batch before next_sequence().
    [[nodiscard]] double last_timestamp() const { return last_timestamp_; }

    struct Counts {
        std::uint64_t applied = 0;
        std::uint64_t duplicates = 0;
        std::uint64_t gaps = 0;
        std::uint64_t unfilled_gaps = 0;  // gaps that a replay could not fill
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
    void add_pending(std::uint64_t sequence, Batch batch, Update& update);

    std::size_t max_pending_;
    State state_ = State::empty;
    std::uint64_t next_sequence_ = 0;
    double newest_timestamp_ = 0;  // newest timestamp of all applied batches
    double last_timestamp_ = 0;
    std::map<std::uint64_t, Batch> pending_;  // by sequence number
    Counts counts_;
};

}  // namespace chalksail::prefix
