// The phases of a graceful shutdown: when a gateway stops accepting requests, and when its process may exit.
//
// A process does not exit by itself while a request that it has accepted is unanswered. How long a request, a
// stream or a connection may last is limited by its own settings; a limit for the whole shutdown
// (EdgeLimits::drain) is for operators who want one. Free of I/O and clock; not thread-safe; no errors.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstddef>

#include "config/settings.hpp"

namespace chalksail::core {

class Shutdown {
public:
    // What the gateway has not completed.
    struct Outstanding {
        std::size_t requests = 0;  // accepted, without a final answer
        std::size_t calls = 0;     // to servers, releases among them
        std::size_t connections = 0;
        bool listening = false;  // connections may wait in the backlog, with requests written to them
        [[nodiscard]] bool none() const {
            return requests == 0 && calls == 0 && connections == 0 && !listening;
        }
    };
    enum class Step {
        wait,
        stop_accepting,  // new requests are rejected, connections without one are closed
        answer_all,      // the limit is over: open requests get their final answer now
        end_connections  // the answers are written: every connection is closed
    };

    Shutdown(Time now, const config::EdgeLimits& limits);

    // What is to be done now. Each step but `wait` comes once, in the order above. The one place where the
    // phase changes.
    [[nodiscard]] Step next(Time now);
    // May the process exit?
    [[nodiscard]] bool over(Time now, const Outstanding& outstanding) const;
    // Since the shutdown began.
    [[nodiscard]] Duration age(Time now) const { return now - begun_; }

private:
    enum class Phase { accepting, draining, answered, closed };

    Time begun_;
    Time accept_until_;
    Time answer_until_;  // Time::max(): no limit
    Duration linger_;    // that clients have to close their ends of connections
    Phase phase_ = Phase::accepting;
};

}  // namespace chalksail::core
