#include "core/shutdown.hpp"

namespace chalksail::core {

Shutdown::Shutdown(Time now, const config::EdgeLimits& limits)
    : begun_(now),
      accept_until_(now + limits.drain_grace),
      answer_until_(limits.drain_timeout == config::kNoLimit ? Time::max() : now + limits.drain_timeout),
      linger_(limits.linger) {}

Shutdown::Step Shutdown::next(Time now) {
    switch (phase_) {
        case Phase::accepting:
            if (now < accept_until_) return Step::wait;
            phase_ = Phase::draining;
            return Step::stop_accepting;
        case Phase::draining:
            if (now < answer_until_) return Step::wait;
            phase_ = Phase::answered;
            return Step::answer_all;
        case Phase::answered: phase_ = Phase::closed; return Step::end_connections;
        case Phase::closed: return Step::wait;
    }
    return Step::wait;
}

bool Shutdown::over(Time now, const Outstanding& outstanding) const {
    if (phase_ == Phase::accepting) return false;
    if (outstanding.none()) return true;
    if (phase_ != Phase::closed) return false;
    return outstanding.connections == 0 || now >= answer_until_ + linger_;
}

}  // namespace chalksail::core
