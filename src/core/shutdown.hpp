// The phases of a graceful shutdown: when a gateway stops accepting requests, and when its process may exit.
//
// A process does not exit while an accepted request is unanswered. Requests, streams and connections have
// time limits of their own; a limit for the whole shutdown (EdgeLimits::drain_timeout) is optional. No I/O,
// no clock; not thread-safe; reports no errors.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstddef>

#include "config/settings.hpp"

namespace chalksail::core {

class Shutdown {
public:
    // The work that the gateway has not completed.
    struct Outstanding {
        std::size_t requests = 0;  // accepted requests without a final response
        std::size_t calls = 0;     // calls to servers, including releases
        std::size_t connections = 0;
        bool listening = false;  // connections with requests may wait in the listen backlog
        [[nodiscard]] bool none() const {
            return requests == 0 && calls == 0 && connections == 0 && !listening;
        }
    };
    enum class Step {
        wait,
        stop_accepting,  // new requests are rejected, connections without a request are closed
        answer_all,      // the time limit has expired: open requests get their final response now
        end_connections  // the responses are written: every connection is closed
    };

    Shutdown(Time now, const config::EdgeLimits& limits);

    // Returns the next step to carry out, and advances the phase. Each step except `wait` is returned once,
    // in the order above.
    [[nodiscard]] Step next(Time now);
    // Returns true if the process may exit.
    [[nodiscard]] bool over(Time now, const Outstanding& outstanding) const;
    // Returns the time since the shutdown began.
    [[nodiscard]] Duration age(Time now) const { return now - begun_; }

private:
    enum class Phase { accepting, draining, answered, closed };

    Time begun_;
    Time accept_until_;
    Time answer_until_;  // Time::max(): no limit
    Duration linger_;    // time that clients have to close their ends of the connections
    Phase phase_ = Phase::accepting;
};

}  // namespace chalksail::core
