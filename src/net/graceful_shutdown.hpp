// Carries out the steps of a graceful shutdown on a libuv loop. When each step comes, and when the process
// may end, is decided in core/shutdown.hpp. One loop, one thread; no errors.
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
    // What the steps do: the gateway's part.
    struct Gateway {
        virtual ~Gateway() = default;
        [[nodiscard]] virtual core::Shutdown::Outstanding outstanding() const = 0;
        // Requests are still accepted; each is answered by then.
        virtual void announce_shutdown(Time answers_until) = 0;
        virtual void stop_accepting() = 0;
        virtual void answer_open_requests() = 0;
        virtual void end_connections() = 0;
        // poll() is to be called in the next turn of the loop.
        virtual void poll_soon() = 0;
        // Everything is over: closes what is left.
        virtual void finish() = 0;
    };

    GracefulShutdown(uv_loop_t& loop, Gateway& gateway, observe::Log& log, const config::EdgeLimits& limits);

    void begin();
    [[nodiscard]] bool begun() const { return schedule_.has_value(); }
    // Takes the steps that are due. To be called behind the reads of each turn. Guards against a listener
    // that is closed over connections that are not accepted yet: with what was written to them they would be
    // reset.
    void poll();
    // Logs how it ended, and stops its timer.
    void end();

private:
    void take_step(core::Shutdown::Step step);

    uv_loop_t& loop_;
    Gateway& gateway_;
    observe::Log& log_;
    config::EdgeLimits limits_;
    std::optional<core::Shutdown> schedule_;  // from begin() on
    std::optional<Timer> poll_timer_;         // the same, until end()
    bool poll_due_ = false;
};

}  // namespace chalksail::net
