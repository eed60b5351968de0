#include "policy/outlier_detection.hpp"

#include <gtest/gtest.h>

namespace chalksail::policy {
namespace {

using namespace std::chrono_literals;

constexpr Time kNow{1000s};
const ServerId kServer{"s"};

Settings settings(bool health_checks) {
    Settings out;
    out.classes.resize(1);
    out.classes[0].first_token_objective = 1s;
    out.slow_start_duration = 3s;
    out.dial_timeout = 250ms;
    out.health_checks_enabled = health_checks;
    return out;
}

struct Detection {
    explicit Detection(bool health_checks = false) : outliers(settings(health_checks)) {
        outliers.restart(kServer, health);
    }
    [[nodiscard]] bool admits(Time now, Idempotency idempotency = Idempotency::idempotent) const {
        return outliers.admits(health, idempotency, true, now);
    }
    OutlierDetection outliers;
    ServerHealth health;
};

TEST(OutlierDetection, TwoErrorsInQuickSuccessionEject) {
    Detection d;
    d.outliers.record_error(kServer, d.health, kNow);
    EXPECT_TRUE(d.health.recently_failed());
    EXPECT_TRUE(d.admits(kNow));
    d.outliers.record_error(kServer, d.health, kNow);
    EXPECT_TRUE(d.health.ejected());
    EXPECT_FALSE(d.admits(kNow));
    EXPECT_TRUE(d.outliers.unhealthy_servers().contains(kServer));
}

TEST(OutlierDetection, EjectionTimeDoublesUpToTheWarmUpTime) {
    Detection d;
    Time now = kNow;
    for (const Duration expected : {Duration(1s), Duration(2s), Duration(3s), Duration(3s)}) {
        d.outliers.eject(kServer, d.health, now);
        d.outliers.eject(kServer, d.health, now);  // simultaneous failures count once
        EXPECT_EQ(OutlierDetection::readmission_due(d.health), now + expected);
        now += expected;
        EXPECT_FALSE(d.outliers.begin_readmission(d.health, now - 1ns));
        EXPECT_FALSE(
            d.outliers.begin_readmission(d.health, now));  // without health checks the trial begins at once
        EXPECT_TRUE(d.admits(now));
    }
}

TEST(OutlierDetection, TrialAllowsOneIdempotentRequestAtATimeAndEndsAfterTwoSuccesses) {
    Detection d;
    d.outliers.eject(kServer, d.health, kNow);
    (void)d.outliers.begin_readmission(d.health, kNow + 1s);
    EXPECT_FALSE(d.admits(kNow + 1s, Idempotency::non_idempotent));
    d.outliers.record_sent(d.health, kNow + 1s);
    EXPECT_FALSE(d.admits(kNow + 1s));
    d.outliers.record_success(kServer, d.health);
    EXPECT_TRUE(d.admits(kNow + 1s));
    EXPECT_FALSE(d.health.in_good_standing());
    d.outliers.record_success(kServer, d.health);
    EXPECT_TRUE(d.health.in_good_standing());
    EXPECT_TRUE(d.outliers.unhealthy_servers().empty());
}

TEST(OutlierDetection, WithoutHealthyServersAnEjectedOneIsUsedAtALimitedRate) {
    Detection d;
    d.outliers.eject(kServer, d.health, kNow);
    d.outliers.record_sent(d.health, kNow);
    EXPECT_FALSE(d.outliers.admits(d.health, Idempotency::idempotent, false, kNow + 249ms));
    EXPECT_TRUE(d.outliers.admits(d.health, Idempotency::idempotent, false, kNow + 250ms));
}

TEST(OutlierDetection, WithSparseObservationsAHealthCheckDecidesOnASilentServer) {
    Detection d(true);
    const Duration timeout = 400ms;
    const auto at = [&](Duration elapsed) {
        return d.outliers.check_silence(d.health, kNow, timeout, {kNow + elapsed, true});
    };
    EXPECT_FALSE(at(99ms).send_health_check);
    EXPECT_TRUE(at(100ms).send_health_check);
    EXPECT_FALSE(at(101ms).send_health_check);  // one is in flight
    d.outliers.record_health_check(d.health, {kServer, AttemptOutcome::ok, 2ms, {}}, kNow + 102ms);
    EXPECT_FALSE(at(400ms).cancel_attempt);  // the server is busy: three times the timeout
    EXPECT_TRUE(at(1200ms).cancel_attempt);
}

TEST(OutlierDetection, FailedHealthCheckCancelsTheAttempt) {
    Detection d(true);
    (void)d.outliers.check_silence(d.health, kNow, 400ms, {kNow + 100ms, true});
    d.outliers.record_health_check(d.health, {kServer, AttemptOutcome::timeout, 250ms, {}}, kNow + 350ms);
    EXPECT_TRUE(d.outliers.check_silence(d.health, kNow, 400ms, {kNow + 351ms, true}).cancel_attempt);
}

}  // namespace
}  // namespace chalksail::policy
