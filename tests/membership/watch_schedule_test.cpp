// Worst cases of a watch that breaks, on a simulated clock.
#include "membership/watch_schedule.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chalksail::membership {
namespace {

using namespace std::chrono_literals;

// How a call can fail.
enum class Broken {
    refused,
    dial,
    before_head,
    after_head,
    inside_object,
    dribbling,
    ended,
    reset_after_object
};
constexpr Broken kAll[] = {
    Broken::refused,       Broken::dial,      Broken::before_head, Broken::after_head,
    Broken::inside_object, Broken::dribbling, Broken::ended,       Broken::reset_after_object};
constexpr Duration kPollInterval = 20ms;  // how often the owner polls
constexpr Duration kHeadDelay = 400ms;    // until the head of a slow answer

class Watch {
public:
    // An open watch that has delivered its list, received its last byte just now, and falls silent.
    Watch() {
        schedule.opened(now);
        schedule.received(now, false, true);
    }
    // Until the next call is started.
    void wait() {
        for (;;) {
            now += kPollInterval;
            if (schedule.silent(now)) schedule.ended(now);
            if (!schedule.due(now)) continue;
            schedule.opened(now);
            return;
        }
    }
    void break_call(Broken how) {
        const Time opened = now;
        switch (how) {
            case Broken::refused: return schedule.ended(now);
            case Broken::dial: now += limits.dial_timeout + kPollInterval; return schedule.ended(now);
            case Broken::before_head: return;
            case Broken::after_head: now += kHeadDelay; return schedule.received(now, false, false);
            case Broken::inside_object: now += kHeadDelay; return schedule.received(now, true, false);
            case Broken::dribbling:
                while (!schedule.silent(now)) {
                    schedule.received(now, true, false);
                    now += kPollInterval;
                    ASSERT_LT(now - opened, 10s);
                }
                return schedule.ended(now);
            case Broken::ended:
                now += kHeadDelay;
                schedule.received(now, false, false);
                return schedule.ended(now);
            case Broken::reset_after_object: schedule.received(now, false, true); return schedule.ended(now);
        }
    }
    WatchLimits limits;
    WatchSchedule schedule{limits};
    Time now{1000s};
};

// A change that a broken watch missed must be known 6 s after the watch fell silent. Whatever becomes of one
// further call, the next is open well before; and after two, in time.
TEST(WatchSchedule, RecoversFromSilenceWithinSixSecondsAfterAnyTwoBrokenCalls) {
    EXPECT_GT(WatchLimits{}.silence_timeout, 2s);  // discovery sends white space every 2 s
    Duration one{};
    Duration two{};
    for (const auto first : kAll) {
        Watch w;
        const Time silent = w.now;
        w.wait();
        w.break_call(first);
        w.wait();
        one = std::max(one, w.now - silent);
        for (const auto second : kAll) {
            Watch both;
            both.wait();
            both.break_call(first);
            both.wait();
            both.break_call(second);
            both.wait();
            two = std::max(two, both.now - silent);
        }
    }
    EXPECT_LT(one, 4500ms);
    EXPECT_LT(two, 6s - 500ms);
}

// A reachable list is known within 6 s, whatever failed just before: the longest wait from any moment to the
// start of the next call, at the maximum backoff.
TEST(WatchSchedule, PollsARecoveredDiscoveryWithinSixSeconds) {
    for (const auto how : kAll) {
        Watch w;
        w.wait();
        for (int i = 0; i < 30; ++i) {
            w.break_call(how);
            w.wait();
        }
        const Time back = w.now;  // right after a call that will fail was started
        w.break_call(how);
        w.wait();
        EXPECT_LT(w.now - back, 3s) << static_cast<int>(how);
    }
}

// A list without changes is no silent watch: discovery sends white space every 2 s.
TEST(WatchSchedule, StaysOpenWhileWhiteSpaceArrives) {
    Watch w;
    for (int i = 0; i < 100; ++i) {
        w.now += 2s + 100ms;
        EXPECT_FALSE(w.schedule.silent(w.now));
        w.schedule.received(w.now, false, false);
    }
}

// A watch that breaks after it has delivered its list is opened again at once, however often calls failed
// before.
TEST(WatchSchedule, BackoffGrowsOnlyWhileNoObjectArrives) {
    Watch w;
    for (int i = 0; i < 10; ++i) {
        w.wait();
        w.break_call(Broken::refused);
    }
    w.wait();
    w.schedule.received(w.now, false, true);
    const Time broke = w.now;
    w.schedule.ended(w.now);
    w.wait();
    EXPECT_LE(w.now - broke, w.limits.backoff_initial + kPollInterval);
}

TEST(WatchSchedule, IsDueAtOnceAfterTheTargetChanged) {
    Watch w;
    w.wait();
    w.break_call(Broken::refused);
    w.schedule.target_changed(w.now);
    EXPECT_TRUE(w.schedule.due(w.now));
}

}  // namespace
}  // namespace chalksail::membership
