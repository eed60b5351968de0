// Ties a step-by-step state machine to a libuv loop: runs it once in each turn of the loop, behind the reads
// of the sockets, and wakes the loop at the time that it requests. One loop, one thread; no errors.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <functional>
#include <optional>

#include "net/loop_handles.hpp"

namespace chalksail::net {

class TurnScheduler {
public:
    // `on_turn` is called in each turn with the time at which that turn began to read its sockets, exact to
    // the loop's milliseconds. It may destroy this.
    TurnScheduler(uv_loop_t& loop, std::function<void(Time turn_began)> on_turn);

    // The next turn comes at once, without waiting for a socket. Timers run before the sockets are read; what
    // they cause is done behind the reads, so that data that has come counts before what a time-out decides.
    void run_soon() { keep_turning_.start(); }
    // Nothing is left to do until `wake`, or until a socket has something. Nothing: no time is known.
    void wait_until(std::optional<Time> wake);

private:
    [[nodiscard]] Time turn_began() const;

    uv_loop_t& loop_;
    IdleHandle keep_turning_;  // while it is active the loop does not wait for its sockets
    CheckHandle behind_reads_;
    Timer wake_timer_;
};

}  // namespace chalksail::net
