// Executes the steps of a graceful shutdown on a libuv loop. core/shutdown.hpp decides when each step is due
// and when the process may exit. Not thread-safe: belongs to one loop. No errors.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <optional>

#include "core/shutdown.hpp"
#include "net/loop_handles.hpp"
#include "observe/log.hpp"

namespace chalksail::net {

class GracefulShutdown {
public:
    // The operations of the gateway that the steps call.
    struct Gateway {
        virtual ~Gateway() = default;
        [[nodiscard]] virtual core::Shutdown::Outstanding outstanding() const = 0;
        // Announces the shutdown to the core. Requests are still accepted; each is answered by
        // `answers_until`.
        virtual void announce_shutdown(Time answers_until) = 0;
        virtual void stop_accepting() = 0;
        virtual void answer_open_requests() = 0;
        virtual void end_connections() = 0;
        // Requests a call of poll() in the next turn of the loop.
        virtual void poll_soon() = 0;
        // Closes everything that is still open. The last step.
        virtual void finish() = 0;
    };

    GracefulShutdown(uv_loop_t& loop, Gateway& gateway, observe::Log& log, const config::EdgeLimits& limits);

    void begin();
    [[nodiscard]] bool begun() const { return schedule_.has_value(); }
    // Takes the steps that are due. Must be called in each turn of the loop after the sockets were read:
    // closing the listener resets connections that were not accepted yet, and the requests written to them
    // would be lost.
    void poll();
    // Logs the result of the shutdown and stops the timer.
    void end();

private:
    void take_step(core::Shutdown::Step step);

    uv_loop_t& loop_;
    Gateway& gateway_;
    observe::Log& log_;
    config::EdgeLimits limits_;
    std::optional<core::Shutdown> schedule_;  // empty before begin()
    std::optional<Timer> poll_timer_;         // set from begin() to end()
    bool poll_due_ = false;
};

}  // namespace chalksail::net
