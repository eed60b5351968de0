// One engine's stream of batches: which to apply and in what order, when to ask for past ones, when what is
// known of the engine is to be forgotten. Batches may be lost, doubled, late, or from a process that has
// ended.
//
// A sequence that falls back with a newer time is a new process of the engine, which begins empty. A gap is
// filled by a replay; one that no replay fills makes all that is known doubtful (a removal may be in it), and
// it is forgotten. What is known from a snapshot counts only once the engine's past batches show that it is
// the same process: the batch that was the last one applied, with its time. No I/O, no clock; the owner ends
// replays that take too long. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "prefix/events.hpp"

namespace chalksail::prefix {

class Feed {
public:
    enum class State {
        unheard,    // nothing has come yet: nothing is known
        unproved,   // known from before this gateway started; whether it is of the same process is asked
        live,       // all batches up to now are in
        replaying,  // a gap: past batches are asked for
    };
    struct Act {
        bool forget = false;  // first: all that is known of this engine
        std::vector<Batch> apply;
        std::optional<std::uint64_t> replay_from;  // ask for past batches from this one on
    };
    explicit Feed(std::size_t held_most = 1024) : held_most_(held_most) {}

    [[nodiscard]] Act published(std::uint64_t sequence, Batch batch);
    [[nodiscard]] Act replayed(std::uint64_t sequence, Batch batch);
    // The replay has come to its end, or took too long.
    [[nodiscard]] Act replay_ended();
    // The list says that the engine has started anew, or its connection was made anew.
    [[nodiscard]] Act restarted();

    // Goes on from a snapshot, of which the owner has what was applied up to (not including) `next`, at
    // least 1.
    [[nodiscard]] Act resumed(std::uint64_t next, double last_ts);

    [[nodiscard]] State state() const { return state_; }
    // Is what was applied to be used?
    [[nodiscard]] bool known() const { return state_ == State::live || state_ == State::replaying; }
    [[nodiscard]] double last_ts() const { return last_ts_; }  // of the batch before next()
    [[nodiscard]] std::uint64_t next() const { return next_; }
    [[nodiscard]] std::uint64_t generation() const { return generation_; }
    struct Counts {
        std::uint64_t applied = 0, doubled = 0, gaps = 0, unfilled = 0, restarts = 0;
        std::uint64_t proved = 0, unproved = 0;  // snapshots
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }

private:
    void take(std::uint64_t sequence, Batch batch, Act& act);
    void drain(Act& act);
    void forget(Act& act);
    void hold(std::uint64_t sequence, Batch batch, Act& act);

    std::size_t held_most_;
    State state_ = State::unheard;
    std::uint64_t next_ = 0;
    std::uint64_t generation_ = 0;
    double newest_ts_ = 0;  // of what was applied
    double last_ts_ = 0;
    std::map<std::uint64_t, Batch> held_;
    Counts counts_;
};

}  // namespace chalksail::prefix
