// Runs a state machine on a libuv loop: once in each turn, after the sockets were read, and at the wake-up
// time that it requests. Not thread-safe: belongs to one loop. No errors.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <functional>
#include <optional>

#include "net/loop_handles.hpp"

namespace chalksail::net {

class TurnScheduler {
public:
    // Calls `on_turn` in each turn with the time at which that turn began to read its sockets, with the
    // loop's resolution of 1 ms. `on_turn` may destroy the scheduler.
    TurnScheduler(uv_loop_t& loop, std::function<void(Time turn_began)> on_turn);

    // Makes the loop begin its next turn without waiting for a socket. libuv runs timers before it reads the
    // sockets; work that a timer requests runs after the reads, so that data that has arrived is processed
    // before a time-out takes effect.
    void run_soon() { no_wait_.start(); }
    // Lets the loop wait until `wake` or until a socket is ready; without a time, until a socket is ready.
    void wait_until(std::optional<Time> wake);

private:
    [[nodiscard]] Time turn_began() const;

    uv_loop_t& loop_;
    IdleHandle no_wait_;       // while active, the loop polls its sockets without waiting
    CheckHandle after_reads_;  // runs `on_turn`
    Timer wake_timer_;
};

}  // namespace chalksail::net
