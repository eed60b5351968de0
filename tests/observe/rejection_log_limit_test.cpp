// Tests the limit on log lines about rejected requests.
#include "observe/rejection_log_limit.hpp"

#include <gtest/gtest.h>

namespace chalksail::observe::testing {
namespace {

using namespace std::chrono_literals;

RequestRecord record_of(TerminationReason reason) {
    RequestRecord record;
    record.reason = reason;
    return record;
}

// Guards against a client that sends bad requests at full speed: each caused a line, 14 MB in a second.
TEST(RejectionLogLimit, CountsRejectionsBeyondTheMaximumOfEachSecond) {
    RejectionLogLimit limit;
    int lines = 0;
    for (int i = 0; i < 1000; ++i)
        lines += limit.allows(record_of(TerminationReason::invalid_request), Time(1s)) ? 1 : 0;
    EXPECT_EQ(lines, RejectionLogLimit::kMaxLinesPerSecond);
    EXPECT_EQ(limit.take_suppressed(Time(1s)), "invalid: 950");
    EXPECT_FALSE(limit.allows(record_of(TerminationReason::over_limit), Time(1999ms)));
    EXPECT_TRUE(limit.allows(record_of(TerminationReason::over_limit), Time(2s)));
    EXPECT_EQ(limit.take_suppressed(Time(2s)), "limit: 1");
}

TEST(RejectionLogLimit, NeverSuppressesRequestsThatWereAttempted) {
    RejectionLogLimit limit;
    for (int i = 0; i < 1000; ++i) {
        EXPECT_TRUE(limit.allows(record_of(TerminationReason::served), Time(1s)));
        EXPECT_TRUE(limit.allows(record_of(TerminationReason::disconnected_during_attempt), Time(1s)));
        EXPECT_TRUE(limit.allows(GuardRecord{}, Time(1s)));
    }
    EXPECT_FALSE(limit.take_suppressed(Time(5s)));
}

}  // namespace
}  // namespace chalksail::observe::testing
