#include "net/graceful_shutdown.hpp"

#include <string>
#include <utility>

#include "net/loop_clock.hpp"

namespace chalksail::net {
namespace {

// The steps of a shutdown are at least tens of milliseconds apart.
constexpr std::chrono::milliseconds kShutdownPollInterval{20};

std::string milliseconds_text(Duration d) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) + " ms";
}

}  // namespace

GracefulShutdown::GracefulShutdown(uv_loop_t& loop, Gateway& gateway, observe::Log& log,
                                   const config::EdgeLimits& limits)
    : loop_(loop), gateway_(gateway), log_(log), limits_(limits) {}

void GracefulShutdown::begin() {
    if (schedule_) return;
    const Time now = uv_now_time();
    schedule_.emplace(now, limits_);
    log_.info("drain", "shutdown started; " + std::to_string(gateway_.outstanding().requests) +
                           " requests open; new requests are accepted for another " +
                           milliseconds_text(limits_.drain_grace));
    // During the grace period connections stay open: closing one could lose a request that its client has
    // just sent on it.
    if (limits_.drain_grace > Duration::zero())
        gateway_.announce_shutdown(now + limits_.drain_answer_timeout);
    else take_step(schedule_->next(now));
    poll_timer_.emplace(loop_, [this] {
        poll_due_ = true;
        gateway_.poll_soon();
    });
    poll_timer_->start_repeating(kShutdownPollInterval);
}

void GracefulShutdown::poll() {
    if (!std::exchange(poll_due_, false)) return;
    const Time now = uv_now_time();
    take_step(schedule_->next(now));
    if (schedule_->over(now, gateway_.outstanding())) gateway_.finish();
}

void GracefulShutdown::take_step(core::Shutdown::Step step) {
    switch (step) {
        case core::Shutdown::Step::wait: return;
        case core::Shutdown::Step::stop_accepting: return gateway_.stop_accepting();
        case core::Shutdown::Step::answer_all:
            log_.warn("drain", "drain time limit reached; ending " +
                                   std::to_string(gateway_.outstanding().requests) + " open requests");
            return gateway_.answer_open_requests();
        case core::Shutdown::Step::end_connections: return gateway_.end_connections();
    }
}

void GracefulShutdown::end() {
    poll_timer_.reset();
    if (!schedule_) return;
    log_.info("drain", "shutdown ended after " + milliseconds_text(schedule_->age(uv_now_time())) + "; " +
                           std::to_string(gateway_.outstanding().requests) + " requests unanswered");
}

}  // namespace chalksail::net
