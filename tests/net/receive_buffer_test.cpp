// Tests the queue of received bytes.
#include "net/receive_buffer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace chalksail::net {
namespace {

RC_GTEST_PROP(ReceiveBuffer, GivesTheBytesBackInOrderHoweverTheyAreAppendedAndConsumed, ()) {
    ReceiveBuffer buffer;
    std::string expected;
    std::string consumed;
    std::string appended;
    const auto steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps; ++i) {
        const auto count = static_cast<std::size_t>(*rc::gen::inRange(0, 40'000));
        if (*rc::gen::arbitrary<bool>()) {
            const std::string bytes(count, static_cast<char>('a' + i % 26));
            buffer.append(bytes, Time{});
            appended += bytes;
        } else {
            const auto front = buffer.front();
            const auto taken = std::min(count, front.size());
            consumed += front.substr(0, taken);
            buffer.consume(taken);
        }
        RC_ASSERT(buffer.size() == appended.size() - consumed.size());
        RC_ASSERT(buffer.empty() == (buffer.size() == 0));
        RC_ASSERT(buffer.front().empty() == buffer.empty());
    }
    while (!buffer.empty()) {
        consumed += buffer.front();
        buffer.consume(buffer.front().size());
    }
    RC_ASSERT(consumed == appended);
}

// Guards against a cost of each request that grows with all bytes behind it: consuming bytes from the front
// moved the rest.
TEST(ReceiveBuffer, ConsumingDoesNotMoveTheRest) {
    ReceiveBuffer buffer;
    buffer.append(std::string(1'000'000, 'x'), Time{});
    while (buffer.front().size() > 1) {
        const char* const before = buffer.front().data();
        buffer.consume(1);
        EXPECT_EQ(buffer.front().data(), before + 1);
        buffer.consume(buffer.front().size() / 2);
    }
}

// A time may be too late by the resolution, never too early: a request must not lose time that it has.
RC_GTEST_PROP(ReceiveBuffer, KeepsTheTimeOfEachByteWithinTheResolution, ()) {
    ReceiveBuffer buffer;
    std::vector<Time> expected;  // of each byte
    Time now{};
    const auto reads = *rc::gen::inRange(1, 60);
    for (int i = 0; i < reads; ++i) {
        now += std::chrono::microseconds(*rc::gen::inRange(0, 9'000));
        const auto count = static_cast<std::size_t>(*rc::gen::inRange(1, 30'000));
        buffer.append(std::string(count, 'x'), now);
        expected.insert(expected.end(), count, now);
    }
    for (std::size_t at = 0; !buffer.empty();) {
        const auto count =
            static_cast<std::size_t>(*rc::gen::inRange(1, static_cast<int>(buffer.front().size()) + 1));
        const Time reported = buffer.front_received_at();
        RC_ASSERT(reported >= expected[at + count - 1]);
        RC_ASSERT(reported <= expected[at] + ReceiveBuffer::kTimeResolution);
        buffer.consume(count);
        at += count;
    }
}

// A client that sends a byte now and then for a long time must not use memory that the limits do not count.
TEST(ReceiveBuffer, MemoryIncludesThatOfBytesThatAreReceivedOneAtATime) {
    ReceiveBuffer buffer;
    constexpr int kBytes = 1000;
    for (int i = 0; i < kBytes; ++i) buffer.append("x", Time(i * 2 * ReceiveBuffer::kTimeResolution));
    EXPECT_EQ(buffer.size(), static_cast<std::size_t>(kBytes));
    EXPECT_GE(buffer.memory_bytes(), 100U * kBytes);
    for (int i = 0; i < kBytes; ++i) buffer.consume(1);
    EXPECT_EQ(buffer.memory_bytes(), 0U);
}

TEST(ReceiveBuffer, ClearedBufferIsEmptyAndUsable) {
    ReceiveBuffer buffer;
    buffer.append("abc", Time{});
    buffer.consume(1);
    buffer.clear();
    EXPECT_TRUE(buffer.empty());
    EXPECT_TRUE(buffer.front().empty());
    buffer.append("de", Time{});
    EXPECT_EQ(buffer.front(), "de");
}

}  // namespace
}  // namespace chalksail::net
