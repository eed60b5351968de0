// Tests the queue of received bytes.
#include "net/receive_buffer.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <string>

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
            buffer.append(bytes);
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
    buffer.append(std::string(1'000'000, 'x'));
    while (buffer.front().size() > 1) {
        const char* const before = buffer.front().data();
        buffer.consume(1);
        EXPECT_EQ(buffer.front().data(), before + 1);
        buffer.consume(buffer.front().size() / 2);
    }
}

TEST(ReceiveBuffer, ClearedBufferIsEmptyAndUsable) {
    ReceiveBuffer buffer;
    buffer.append("abc");
    buffer.consume(1);
    buffer.clear();
    EXPECT_TRUE(buffer.empty());
    EXPECT_TRUE(buffer.front().empty());
    buffer.append("de");
    EXPECT_EQ(buffer.front(), "de");
}

}  // namespace
}  // namespace chalksail::net
