// Tests the trust in cache reports for repeated prefills of one kind. reported_caches_test.cpp tests
// sequences of different prefills.
#include "prefix/report_trust.hpp"

#include <gtest/gtest.h>

namespace chalksail::prefix {
namespace {

using namespace std::chrono_literals;

// Returns a pace of 1 ms per token with enough samples to be known.
PrefillPace known_pace() {
    PrefillPace pace;
    for (int i = 0; i < 5; ++i) pace.observe({1000, 0, std::nullopt, 1s});
    return pace;
}
bool trusted_after(int prefills, const ObservedPrefill& prefill, const PrefillPace& pace) {
    ReportTrust trust;
    for (int i = 0; i < prefills; ++i) trust.observe(prefill, pace);
    return trust.trusted();
}

TEST(PrefillPace, CountsOnlyUncachedPrefills) {
    PrefillPace pace;
    for (int i = 0; i < 20; ++i) {
        pace.observe({1000, 500, std::nullopt, 1s});  // reported as cached
        pace.observe({1000, 0, 500.0, 1s});           // cached according to the engine
    }
    EXPECT_FALSE(pace.known());
    EXPECT_TRUE(known_pace().known());
    EXPECT_DOUBLE_EQ(known_pace().seconds_per_token(), 0.001);
}

TEST(ReportTrust, UsesTheEnginesCount) {
    const PrefillPace unknown;
    EXPECT_FALSE(trusted_after(8, {1000, 800, 0.0, 1s}, unknown));
    EXPECT_TRUE(trusted_after(8, {1000, 800, 800.0, 1s}, unknown));
    EXPECT_TRUE(trusted_after(8, {1000, 800, 700.0, 1s}, unknown));  // a small part was evicted
}

TEST(ReportTrust, UsesElapsedTimeWithoutACount) {
    EXPECT_FALSE(trusted_after(16, {1000, 800, std::nullopt, 1s}, known_pace()));
    EXPECT_TRUE(trusted_after(16, {1000, 800, std::nullopt, 100ms}, known_pace()));
    EXPECT_TRUE(trusted_after(16, {1000, 800, std::nullopt, 800ms}, known_pace()));  // inconclusive
    EXPECT_TRUE(trusted_after(16, {1000, 300, std::nullopt, 2s}, known_pace()));     // too little reported
    EXPECT_TRUE(trusted_after(16, {1000, 800, std::nullopt, 1s}, PrefillPace()));    // pace unknown
}

TEST(ReportTrust, IgnoresCountContradictedByElapsedTime) {
    EXPECT_FALSE(trusted_after(16, {1000, 800, 800.0, 1s}, known_pace()));
}

}  // namespace
}  // namespace chalksail::prefix
