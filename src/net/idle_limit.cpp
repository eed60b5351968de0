#include "net/idle_limit.hpp"

#include <algorithm>
#include <cmath>

namespace chalksail::net {

std::size_t IdleLimit::bucket_of(Duration idle_for) {
    std::size_t out = 0;
    for (Duration longest = kFirstBucketMax; out + 1 < kBuckets && idle_for > longest; longest *= 2) ++out;
    return out;
}

void IdleLimit::decay(Time now) {
    const double half_lives = std::chrono::duration<double>(now - decayed_at_) / limits_.half_life;
    decayed_at_ = now;
    const double factor = std::exp2(-std::max(0.0, half_lives));
    for (auto& count : counts_) {
        count.good *= factor;
        count.broken *= factor;
    }
}

void IdleLimit::record(Time now, Duration idle_for, Duration elapsed, bool broke) {
    if (broke && elapsed >= limits_.drop_detection) return;
    decay(now);
    Count& count = counts_[bucket_of(idle_for)];
    (broke ? count.broken : count.good) += 1;
}

Duration IdleLimit::longest_usable(Time now) {
    decay(now);
    // Stops at the first bucket with too many failures: a longer idle time is not safer. Failures in longer
    // buckets don't affect the shorter ones.
    Duration longest = kFirstBucketMax;
    for (std::size_t i = 0; i < kBuckets; ++i, longest *= 2) {
        const Count& count = counts_[i];
        const double allowed = limits_.max_broken_share * (count.good + count.broken);
        if (count.broken < limits_.min_broken || count.broken <= allowed) continue;
        return i == 0 ? Duration{} : longest / 2;
    }
    return Duration::max();
}

}  // namespace chalksail::net
