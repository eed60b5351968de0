// Tests the reports about this process's resident memory.
#include "net/memory_monitor.hpp"

#include <gtest/gtest.h>

namespace chalksail::net::testing {
namespace {

using namespace std::chrono_literals;

TEST(MemoryMonitor, ReportsThatTheProcessIsAboveHalfOfItsLimitOnce) {
    const std::size_t resident = MemoryMonitor(1).resident_bytes();
    ASSERT_GT(resident, 0U);
    MemoryMonitor monitor(resident + resident / 2);
    const auto report = monitor.poll(Time(1s));
    ASSERT_TRUE(report);
    EXPECT_EQ(report->level, MemoryMonitor::Level::high);
    EXPECT_GE(report->peak_bytes, report->resident_bytes);
    EXPECT_FALSE(monitor.poll(Time(1s)));  // within the interval
    EXPECT_FALSE(monitor.poll(Time(2s)));  // nothing has changed
}

TEST(MemoryMonitor, ReportsNothingFarBelowTheLimitOrWithoutOne) {
    MemoryMonitor far_below(std::size_t{1} << 40U);
    EXPECT_FALSE(far_below.poll(Time(1s)));
    MemoryMonitor unknown(0);
    EXPECT_FALSE(unknown.poll(Time(1s)));
}

}  // namespace
}  // namespace chalksail::net::testing
