// One engine's stream of batches: which to apply and in what order, when to ask for past ones, when what is
// known of the engine is to be forgotten. Batches may be lost, doubled, late, or from a process that has
// ended.
//
// A sequence that falls back with a newer time is a new process of the engine, which begins empty. A gap is
// filled by a replay; one that no replay fills makes all that is known doubtful (a removal may be in it), and
// it is forgotten. No I/O, no clock; the owner ends replays that take too long. Not thread-safe.
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

    [[nodiscard]] State state() const { return state_; }
    [[nodiscard]] std::uint64_t next() const { return next_; }
    [[nodiscard]] std::uint64_t generation() const { return generation_; }
    struct Counts {
        std::uint64_t applied = 0, doubled = 0, gaps = 0, unfilled = 0, restarts = 0;
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
    std::map<std::uint64_t, Batch> held_;
    Counts counts_;
};

}  // namespace chalksail::prefix
