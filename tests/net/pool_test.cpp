// The pool of server connections: which it keeps, and which it trusts.
#include "net/pool_rig.hpp"

namespace chalksail::net::testing {
namespace {

// What had come on a kept connection before the next call was not looked at: the call was lost, or answered
// by it.
TEST_F(Pool, IdleConnectionOnWhichSomethingHasComeIsNotReused) {
    const std::string kTimedOut = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n";
    for (const auto& more : {std::string(), kAnswer, kTimedOut, kAnswer.substr(0, 9), std::string("\r\n")}) {
        open();
        Peer peer;
        call(peer);
        answer(peer);
        if (more.empty()) peer.disconnect(false);
        else peer.send_bytes(more);
        call(peer);
        EXPECT_EQ(pool->counts().dialled, 2U);
        EXPECT_EQ(pool->counts().stale, 1U);
        if (!more.empty()) peer.disconnect(false);
        answer(peer);
        EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
    }
}

// Servers dropped what they had kept, with nothing to be seen of it: after a few, connections are dialled
// anew.
TEST_F(Pool, IdleConnectionsThatBreakAreNoLongerReused) {
    open();
    int broken = 0;
    for (int i = 0; i < 40; ++i) {
        Peer peer;
        call(peer);
        answer(peer);
        const auto before = pool->counts().reused;
        call(peer);
        if (pool->counts().reused == before) break;
        until([&] { return written; });
        peer.disconnect(true);
        until([&] { return over; });
        ++broken;
    }
    EXPECT_GE(broken, 3);
    EXPECT_LT(broken, 40);
}

// A request of which the last byte was not taken never ran, whatever went before it.
TEST_F(Pool, LastByteIsReportedOnlyOnceItIsOut) {
    open();
    Peer peer;
    const std::string body(32 * 1024 * 1024, 'x');
    call(peer, body);
    peer.take();
    char first = 0;
    until([&] { return recv(peer.one, &first, 1, MSG_PEEK | MSG_DONTWAIT) == 1; });
    peer.disconnect(true);
    until([&] { return over; });
    EXPECT_FALSE(written);
}

TEST_F(Pool, LimitForAllServersLetsUnusedOnesGoAndLetGoCallsPass) {
    open(1);
    Peer one, other, third;
    call(one);
    until([&] { return written; });
    call(other);
    EXPECT_EQ(ending, engine::ExchangeEnd::no_resources);
    over = false;
    written = true;  // the first one's
    answer(one);
    ending = engine::ExchangeEnd::response_received;
    call(other);  // in place of the one at rest
    answer(other);
    EXPECT_EQ(pool->counts().connections, 1U);
    call(other);
    call(third, "", true);
    answer(third);
    EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
}

}  // namespace
}  // namespace chalksail::net::testing
