// How long a connection stays idle after a response, by what its server has sent before.
#include "net/reuse_delay.hpp"

#include <gtest/gtest.h>

namespace chalksail::net {
namespace {

using namespace std::chrono_literals;

const UpstreamKey kServer{{"127.0.0.1", 1}, ""};
const UpstreamKey kOther{{"127.0.0.1", 2}, ""};

ReuseDelay make_delay() { return ReuseDelay({25ms, 250ms, 10s}); }

TEST(ReuseDelay, IsTheNormalDelayForAServerWithoutUnrequestedBytes) {
    ReuseDelay delay = make_delay();
    delay.record_unrequested_bytes(kOther, Time(1s));
    EXPECT_EQ(delay.reusable_at(kServer, Time(2s)), Time(2s + 25ms));
}

TEST(ReuseDelay, IsIncreasedAfterUnrequestedBytesUntilTheirTimeIsOver) {
    ReuseDelay delay = make_delay();
    delay.record_unrequested_bytes(kServer, Time(1s));
    EXPECT_EQ(delay.reusable_at(kServer, Time(1s)), Time(1s + 250ms));
    EXPECT_EQ(delay.reusable_at(kServer, Time(11s - 1ns)), Time(11s - 1ns + 250ms));
    EXPECT_EQ(delay.reusable_at(kServer, Time(11s)), Time(11s + 25ms));
    delay.record_unrequested_bytes(kServer, Time(9s));
    EXPECT_EQ(delay.reusable_at(kServer, Time(18s)), Time(18s + 250ms));
}

TEST(ReuseDelay, IsNeverDecreasedByTheIncreasedOne) {
    ReuseDelay delay({300ms, 250ms, 10s});
    delay.record_unrequested_bytes(kServer, Time(1s));
    EXPECT_EQ(delay.reusable_at(kServer, Time(1s)), Time(1s + 300ms));
}

}  // namespace
}  // namespace chalksail::net
