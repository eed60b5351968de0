#include "core/shutdown.hpp"

namespace chalksail::core {

Shutdown::Shutdown(Time now, const config::EdgeLimits& limits)
    : begun_(now),
      take_until_(now + limits.drain_grace),
      answer_until_(limits.drain == config::kNoLimit ? Time::max() : now + limits.drain),
      linger_(limits.linger) {}

Shutdown::Step Shutdown::next(Time now) {
    switch (phase_) {
        case Phase::taking:
            if (now < take_until_) return Step::wait;
            phase_ = Phase::finishing;
            return Step::stop_taking;
        case Phase::finishing:
            if (now < answer_until_) return Step::wait;
            phase_ = Phase::answered;
            return Step::answer_all;
        case Phase::answered: phase_ = Phase::ended; return Step::end_connections;
        case Phase::ended: return Step::wait;
    }
    return Step::wait;
}

bool Shutdown::over(Time now, const Outstanding& outstanding) const {
    if (phase_ == Phase::taking) return false;
    if (outstanding.none()) return true;
    if (phase_ != Phase::ended) return false;
    return outstanding.connections == 0 || now >= answer_until_ + linger_;
}

}  // namespace chalksail::core
