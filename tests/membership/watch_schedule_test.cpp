// Worst cases of failing calls to discovery, on a simulated clock.
#include "membership/watch_schedule.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace chalksail::membership {
namespace {

using namespace std::chrono_literals;

// How a list call, or the watch after it, can fail.
enum class Failure {
    refused,
    dial_timeout,
    no_response,
    stall_after_head,
    stall_inside_object,
    slow_bytes,
    ended_without_list,
    reset_after_list,
    watch_refused,
    watch_ended
};
// Failures of a list call that do not deliver the list.
constexpr Failure kWithoutList[] = {
    Failure::refused,           Failure::dial_timeout,        Failure::no_response,
    Failure::stall_after_head,  Failure::stall_inside_object, Failure::slow_bytes,
    Failure::ended_without_list};
// Failures after the list was delivered.
constexpr Failure kAfterList[] = {Failure::reset_after_list, Failure::watch_refused, Failure::watch_ended};
constexpr Duration kPollInterval = 20ms;  // the owner's interval between polls
constexpr Duration kHeadDelay = 400ms;    // time until the head of a slow response arrives

class Watch {
public:
    // Starts with an open watch that has just received its last byte and receives no more.
    Watch() {
        open_after_list();
        schedule.received(now, false);
    }
    // Advances the clock until the next call is opened, and returns its kind.
    WatchCall wait() {
        for (;;) {
            now += kPollInterval;
            if (schedule.timed_out(now)) schedule.ended(now);
            const auto call = schedule.due(now);
            if (!call) continue;
            schedule.opened(*call, now);
            return *call;
        }
    }
    // Delivers the list, and opens the watch after it.
    void open_after_list() {
        schedule.opened(WatchCall::list, now);
        receive_list();
        EXPECT_EQ(wait(), WatchCall::watch);
    }
    void receive_list() {
        schedule.response_began(now);
        schedule.received(now, false);
        schedule.list_received();
        schedule.ended(now);
    }
    void fail_call(Failure failure) {
        const Time opened = now;
        switch (failure) {
            case Failure::refused: return schedule.ended(now);
            case Failure::dial_timeout:
                now += limits.dial_timeout + kPollInterval;
                return schedule.ended(now);
            case Failure::no_response: return;
            case Failure::stall_after_head: now += kHeadDelay; return schedule.response_began(now);
            case Failure::stall_inside_object: now += kHeadDelay; return schedule.received(now, true);
            case Failure::slow_bytes:
                while (!schedule.timed_out(now)) {
                    schedule.received(now, true);
                    now += kPollInterval;
                    ASSERT_LT(now - opened, 10s);
                }
                return schedule.ended(now);
            case Failure::ended_without_list:
                now += kHeadDelay;
                schedule.response_began(now);
                return schedule.ended(now);
            case Failure::reset_after_list: return receive_list();
            case Failure::watch_refused:
                receive_list();
                EXPECT_EQ(wait(), WatchCall::watch);
                return schedule.ended(now);
            case Failure::watch_ended:
                receive_list();
                EXPECT_EQ(wait(), WatchCall::watch);
                schedule.response_began(now);
                return schedule.ended(now);
        }
    }
    WatchLimits limits;
    WatchSchedule schedule{limits};
    Time now{1000s};
};

// A change that a stalled watch missed must be known 6 s after the watch's last byte. The next list call must
// be open well before that if one call after the watch fails in any way, and in time if two fail.
TEST(WatchSchedule, RecoversFromAStalledWatchWithinSixSecondsDespiteTwoFailedCalls) {
    EXPECT_GT(WatchLimits{}.silence_timeout, 2s);  // discovery sends white space every 2 s
    Duration after_one_failure{};
    Duration after_two_failures{};
    for (const auto first : kWithoutList) {
        Watch w;
        const Time last_byte = w.now;
        EXPECT_EQ(w.wait(), WatchCall::list);
        w.fail_call(first);
        EXPECT_EQ(w.wait(), WatchCall::list);
        after_one_failure = std::max(after_one_failure, w.now - last_byte);
        for (const auto second : kWithoutList) {
            Watch both;
            both.wait();
            both.fail_call(first);
            both.wait();
            both.fail_call(second);
            EXPECT_EQ(both.wait(), WatchCall::list);
            after_two_failures = std::max(after_two_failures, both.now - last_byte);
        }
    }
    EXPECT_LT(after_one_failure, 4500ms);
    EXPECT_LT(after_two_failures, 6s - 500ms);
}

// A watch that never delivers a byte misses the changes after the list, and must be replaced in the same
// time.
TEST(WatchSchedule, RecoversFromAWatchThatNeverDeliversWithinSixSeconds) {
    for (const bool with_head : {false, true}) {
        for (const auto first : kWithoutList) {
            for (const auto second : kWithoutList) {
                Watch w;
                const Time list_opened = w.now;
                w.open_after_list();
                if (with_head) w.schedule.response_began(w.now);
                EXPECT_EQ(w.wait(), WatchCall::list);
                w.fail_call(first);
                EXPECT_EQ(w.wait(), WatchCall::list);
                w.fail_call(second);
                EXPECT_EQ(w.wait(), WatchCall::list);
                EXPECT_LT(w.now - list_opened, 6s - 500ms);
            }
        }
    }
}

// After discovery has recovered, the gateway must know the list within 6 s, whatever failed before. Measures
// the longest time to the next list call, at the maximum backoff.
TEST(WatchSchedule, PollsARecoveredDiscoveryWithinSixSeconds) {
    std::vector<Failure> all(std::begin(kWithoutList), std::end(kWithoutList));
    all.insert(all.end(), std::begin(kAfterList), std::end(kAfterList));
    for (const auto failure : all) {
        Watch w;
        w.wait();
        for (int i = 0; i < 30; ++i) {
            w.fail_call(failure);
            while (w.wait() != WatchCall::list) w.schedule.ended(w.now);
        }
        const Time recovered = w.now;  // right after a call was opened that still fails
        w.fail_call(failure);
        while (w.wait() != WatchCall::list) w.schedule.ended(w.now);
        EXPECT_LT(w.now - recovered, 3s) << static_cast<int>(failure);
    }
}

// A watch without changes must not time out: discovery sends white space every 2 s, the first time up to 2 s
// after the watch was opened.
TEST(WatchSchedule, StaysOpenWhileWhiteSpaceArrives) {
    Watch w;
    w.open_after_list();
    for (int i = 0; i < 100; ++i) {
        w.now += 2s + 100ms;
        EXPECT_FALSE(w.schedule.timed_out(w.now));
        w.schedule.received(w.now, false);
    }
}

// The watch must not wait for the end of the response that delivered the list.
TEST(WatchSchedule, WatchFollowsAListResponseThatStaysOpen) {
    Watch w;
    EXPECT_EQ(w.wait(), WatchCall::list);
    const Time opened = w.now;
    w.schedule.received(w.now, false);
    w.schedule.list_received();
    EXPECT_EQ(w.wait(), WatchCall::watch);
    EXPECT_LT(w.now - opened, 1s);
}

// After a watch that has delivered something breaks, the next call follows at once, however many calls failed
// before that watch.
TEST(WatchSchedule, BackoffGrowsOnlyWhileNoWatchDelivers) {
    Watch w;
    for (int i = 0; i < 10; ++i) {
        w.wait();
        w.fail_call(Failure::refused);
    }
    EXPECT_EQ(w.wait(), WatchCall::list);
    w.receive_list();
    EXPECT_EQ(w.wait(), WatchCall::watch);
    w.schedule.received(w.now, false);
    const Time ended_at = w.now;
    w.schedule.ended(w.now);
    w.wait();
    EXPECT_LE(w.now - ended_at, w.limits.backoff_initial + kPollInterval);
}

// Guards against requesting the complete list in a tight loop while discovery delivers it but ends each
// watch.
TEST(WatchSchedule, BackoffGrowsWhileOnlyTheListArrives) {
    Watch w;
    EXPECT_EQ(w.wait(), WatchCall::list);
    for (int i = 0; i < 10; ++i) {
        w.fail_call(Failure::watch_ended);
        EXPECT_EQ(w.wait(), WatchCall::list);
    }
    w.fail_call(Failure::watch_ended);
    const Time ended_at = w.now;
    w.wait();
    EXPECT_GE(w.now - ended_at, w.limits.backoff_max);
}

TEST(WatchSchedule, IsDueAtOnceAfterTheTargetChanged) {
    Watch w;
    w.wait();
    w.fail_call(Failure::refused);
    w.schedule.target_changed(w.now);
    EXPECT_EQ(w.schedule.due(w.now), WatchCall::list);
}

}  // namespace
}  // namespace chalksail::membership
