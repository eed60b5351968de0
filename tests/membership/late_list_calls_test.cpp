// Tests which of the list calls that timed out stay open, and how long a slow discovery service takes to
// deliver the list then, on a simulated clock.
#include "membership/late_list_calls.hpp"

#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "membership/watch_schedule.hpp"

namespace chalksail::membership {
namespace {

using namespace std::chrono_literals;

constexpr Time kStart{1000s};

TEST(LateListCalls, NewCallDisplacesTheSecondOldest) {
    LateListCalls late;
    EXPECT_FALSE(late.add(1, kStart));
    EXPECT_FALSE(late.add(2, kStart + 1s));
    EXPECT_FALSE(late.add(3, kStart + 2s));
    EXPECT_EQ(late.add(4, kStart + 3s), 2U);
    EXPECT_EQ(late.add(5, kStart + 4s), 3U);
    EXPECT_EQ(late.clear(), (std::vector<LateListCalls::CallId>{1, 4, 5}));
}

TEST(LateListCalls, PatienceDoublesUpToItsMaximumEachTimeTheOldestExpires) {
    LateListCalls late;
    Duration timeout = LateListCalls::kInitialTimeout;
    for (LateListCalls::CallId call = 1; call < 8; ++call) {
        EXPECT_FALSE(late.add(call, kStart));
        EXPECT_FALSE(late.remove_expired(kStart + timeout));
        EXPECT_EQ(late.remove_expired(kStart + timeout + 1ms), call);
        timeout = std::min(2 * timeout, LateListCalls::kMaxTimeout);
    }
    late.reset_timeout();
    EXPECT_FALSE(late.add(9, kStart));
    EXPECT_EQ(late.remove_expired(kStart + LateListCalls::kInitialTimeout + 1ms), 9U);
}

TEST(LateListCalls, EndedCallIsNeitherDisplacedNorExpired) {
    LateListCalls late;
    EXPECT_FALSE(late.add(1, kStart));
    EXPECT_FALSE(late.add(2, kStart + 1s));
    late.remove(1);
    EXPECT_EQ(late.remove_expired(kStart + 1h), 2U);
    EXPECT_FALSE(late.remove_expired(kStart + 2h));
}

// What needs the list: a process that has just started, or one whose watch has fallen silent.
enum class Cause { start, silent_watch };

// A service that answers each list call a fixed time after it was opened, but the first few never.
struct SlowService {
    Duration delay{};
    int lost_calls = 0;

    // Returns the time from the cause to the list; Duration::max() if that takes more than ten minutes.
    [[nodiscard]] Duration time_to_list(Cause cause) const {
        constexpr Duration kPollInterval = 20ms;  // the owner's interval between polls
        WatchSchedule schedule{WatchLimits{}};
        LateListCalls late;
        std::map<LateListCalls::CallId, Time> open_calls;  // list calls, late ones too
        LateListCalls::CallId last_call = 0;
        if (cause == Cause::silent_watch) schedule.opened(WatchCall::watch, kStart);
        for (Time now = kStart; now < kStart + 10min; now += kPollInterval) {
            for (const auto& [call, opened_at] : open_calls)
                if (call > static_cast<LateListCalls::CallId>(lost_calls) && now - opened_at >= delay)
                    return now - kStart;
            while (const auto expired = late.remove_expired(now)) open_calls.erase(*expired);
            if (schedule.timed_out(now)) {
                if (schedule.may_be_answered_late())
                    if (const auto displaced = late.add(last_call, schedule.opened_at()))
                        open_calls.erase(*displaced);
                schedule.ended(now);
            }
            if (const auto call = schedule.due(now)) {
                schedule.opened(*call, now);
                open_calls.emplace(++last_call, now);
            }
            EXPECT_LE(open_calls.size(), LateListCalls::kMaxCalls + 1);
        }
        return Duration::max();
    }
};

// A change must be known 6 s after discovery had it and could be reached, and 6 s after a watch fell silent.
TEST(LateListCalls, SlowServiceDeliversTheListWithinSixSeconds) {
    struct Row {
        Duration delay{};
        int lost_calls = 0;
    };
    for (const auto& row : {Row{0ms, 0}, Row{0ms, 1}, Row{700ms, 0}, Row{700ms, 1}, Row{1200ms, 0},
                            Row{1200ms, 1}, Row{1800ms, 0}, Row{1800ms, 1}, Row{2000ms, 0}, Row{2000ms, 1},
                            Row{2500ms, 0}, Row{2500ms, 1}, Row{3000ms, 0}})
        for (const auto cause : {Cause::start, Cause::silent_watch}) {
            const SlowService service{row.delay, row.lost_calls};
            EXPECT_LE(service.time_to_list(cause), 6s)
                << row.delay / 1ms << " ms, " << row.lost_calls << " lost, cause " << static_cast<int>(cause);
        }
}

// However slow the service is, the list is received in the end, and lost calls do not prevent that.
TEST(LateListCalls, EveryConstantDelayUpToTheMaximumPatienceIsAwaited) {
    for (const auto delay : {4s, 5s, 8s, 13s, 30s, 59s})
        for (const int lost_calls : {0, 1, 5}) {
            const SlowService service{delay, lost_calls};
            EXPECT_LT(service.time_to_list(Cause::start), 10min)
                << delay.count() << " s, " << lost_calls << " lost";
        }
}

}  // namespace
}  // namespace chalksail::membership
