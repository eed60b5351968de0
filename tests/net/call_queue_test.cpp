// The queue of calls that wait for a connection: order, removal, and overdue calls.
#include "net/call_queue.hpp"

#include <gtest/gtest.h>

namespace chalksail::net {
namespace {

using namespace std::chrono_literals;

const UpstreamKey kOne{{"127.0.0.1", 1}, ""};
const UpstreamKey kOther{{"127.0.0.1", 1}, "proved"};
const Time kNow{1h};

PendingCall pending(std::uint64_t call, Duration waited = {}) {
    return {call, kNow - waited, UpstreamRequest{}, nullptr, 0};
}

TEST(CallQueue, FirstInFirstOutForEachServer) {
    CallQueue queue;
    queue.push(kOne, pending(3));
    queue.push(kOther, pending(1));
    queue.push(kOne, pending(2));
    EXPECT_EQ(queue.size(), 3U);
    EXPECT_EQ(queue.size(kOne), 2U);
    EXPECT_EQ(queue.pop(kOne).call, 3U);
    EXPECT_EQ(queue.pop(kOne).call, 2U);
    EXPECT_TRUE(queue.empty(kOne));
    EXPECT_EQ(queue.pop(kOther).call, 1U);
    EXPECT_EQ(queue.size(), 0U);
}

TEST(CallQueue, RemovedCallIsNotServed) {
    CallQueue queue;
    queue.push(kOne, pending(1));
    queue.push(kOne, pending(2));
    EXPECT_TRUE(queue.remove(1));
    EXPECT_FALSE(queue.remove(1));
    EXPECT_EQ(queue.pop(kOne).call, 2U);
}

TEST(CallQueue, OverdueCallsAreThoseThatWaitedLonger) {
    CallQueue queue;
    queue.push(kOther, pending(9, 3s));
    queue.push(kOne, pending(4, 2s));
    queue.push(kOne, pending(5, 1s));
    EXPECT_EQ(queue.overdue(kNow, 1s), (std::vector<std::uint64_t>{4, 9}));
}

}  // namespace
}  // namespace chalksail::net
