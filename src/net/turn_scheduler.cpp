#include "net/turn_scheduler.hpp"

#include <algorithm>
#include <utility>

#include "net/loop_clock.hpp"

namespace chalksail::net {

TurnScheduler::TurnScheduler(uv_loop_t& loop, std::function<void(Time turn_began)> on_turn)
    : loop_(loop),
      no_wait_(loop, [] {}),
      after_reads_(loop, [this, on_turn = std::move(on_turn)] { on_turn(turn_began()); }),
      wake_timer_(loop, [this] { run_soon(); }) {
    no_wait_.unref();
    after_reads_.unref();
}

Time TurnScheduler::turn_began() const {
    return Time(std::chrono::milliseconds(static_cast<std::int64_t>(uv_now(&loop_))));
}

void TurnScheduler::wait_until(std::optional<Time> wake) {
    no_wait_.stop();
    if (!wake) return wake_timer_.stop();
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
        std::chrono::duration_cast<std::chrono::microseconds>(*wake - uv_now_time()));
    uv_update_time(&loop_);
    wake_timer_.start_once(std::max(remaining, std::chrono::milliseconds(0)));
}

}  // namespace chalksail::net
