// Tests the memory of ids that may have run.
#include "core/run_history.hpp"

#include <gtest/gtest.h>

namespace chalksail::core::testing {
namespace {

// Guards against memory that grows with the number of ids.
TEST(RunHistory, ForgetsTheOldestIdsBeyondTheMaximum) {
    RunHistory history;
    for (std::size_t i = 0; i < RunHistory::kMaxIds + 2; ++i) {
        history.record(std::to_string(i));
        history.record(std::to_string(i));  // a second time has no effect
    }
    EXPECT_FALSE(history.contains("0"));
    EXPECT_FALSE(history.contains("1"));
    EXPECT_TRUE(history.contains("2"));
    EXPECT_TRUE(history.contains(std::to_string(RunHistory::kMaxIds + 1)));
}

}  // namespace
}  // namespace chalksail::core::testing
