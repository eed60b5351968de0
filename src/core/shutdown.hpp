// When a gateway that was told to end stops taking requests, and when it may end. Free of I/O and clock.
//
// The rule: a process does not end by itself while something that it has taken is unanswered. What each
// request, stream and connection may last is limited by its own settings; a limit for the whole shutdown
// (EdgeLimits::drain) is for operators who want one. Whoever kills the process later does that by own rules.
#pragma once

#include <chalksail/chalksail.hpp>
#include <cstddef>

#include "config/settings.hpp"

namespace chalksail::core {

class Shutdown {
public:
    // What the gateway still has in hand.
    struct Outstanding {
        std::size_t requests = 0;  // taken, without a final answer
        std::size_t calls = 0;     // to servers, releases among them
        std::size_t connections = 0;
        bool listening = false;  // connections may wait in the backlog, with requests written to them
        [[nodiscard]] bool none() const {
            return requests == 0 && calls == 0 && connections == 0 && !listening;
        }
    };
    enum class Step {
        wait,
        stop_taking,     // new requests are turned away, connections without one are ended
        answer_all,      // the limit is over: what is open gets its final answer now
        end_connections  // all that was said is out: every connection is ended, answered or not
    };

    Shutdown(Time now, const config::EdgeLimits& limits);

    // What is to be done now. Each step but `wait` comes once, in the order above.
    [[nodiscard]] Step next(Time now);
    // Whether the process may end.
    [[nodiscard]] bool over(Time now, const Outstanding& outstanding) const;
    [[nodiscard]] Duration age(Time now) const { return now - begun_; }

private:
    enum class Phase { taking, finishing, answered, ended };

    Time begun_;
    Time take_until_;
    Time answer_until_;  // Time::max(): no limit
    Duration linger_;    // that the other ends of connections have to close theirs
    Phase phase_ = Phase::taking;
};

}  // namespace chalksail::core
