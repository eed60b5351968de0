#include "net/idle_limit.hpp"

#include <cmath>

namespace chalksail::net {

std::size_t IdleLimit::age_of(Duration rested) {
    std::size_t age = 0;
    for (Duration most = kFirst; age + 1 < kAges && rested > most; most *= 2) ++age;
    return age;
}

void IdleLimit::fade(Time now) {
    const double halves = std::chrono::duration<double>(now - faded_) / limits_.half_life;
    faded_ = now;
    const double left = std::exp2(-std::max(0.0, halves));
    for (auto& c : ages_) {
        c.good *= left;
        c.broken *= left;
    }
}

void IdleLimit::used(Time now, Duration rested, Duration taken, bool broke) {
    if (broke && taken >= limits_.at_once) return;
    fade(now);
    Count& c = ages_[age_of(rested)];
    (broke ? c.broken : c.good) += 1;
}

Duration IdleLimit::longest(Time now) {
    fade(now);
    // Age by age: what has rested longer is not safer, but an age that is all right stays so whatever older
    // ones do.
    Duration most = kFirst;
    for (std::size_t age = 0; age < kAges; ++age, most *= 2) {
        const Count& c = ages_[age];
        if (c.broken >= limits_.least_broken && c.broken > limits_.broken_share * (c.good + c.broken))
            return age == 0 ? Duration{} : most / 2;
    }
    return Duration::max();
}

}  // namespace chalksail::net
