// Which connections the pool keeps, and which of them it reuses.
#include "net/pool_rig.hpp"

namespace chalksail::net::testing {
namespace {

// Guards against reusing an idle connection that has unread input: the next call would be lost, or the input
// would be taken for its response.
TEST_F(Pool, IdleConnectionWithUnreadInputIsNotReused) {
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

// Servers drop idle connections without a visible close: after a few failed calls the pool stops reusing idle
// connections.
TEST_F(Pool, IdleConnectionsAreNoLongerReusedAfterFailures) {
    open();
    int broken = 0;
    for (int i = 0; i < 40; ++i) {
        Peer peer;
        call(peer);
        answer(peer);
        const auto before = pool->counts().reused;
        call(peer);
        if (pool->counts().reused == before) break;
        run_until([&] { return written; });
        peer.disconnect(true);
        run_until([&] { return ended; });
        ++broken;
    }
    EXPECT_GE(broken, 3);
    EXPECT_LT(broken, 40);
}

// A request whose last byte the kernel has not accepted can't have run, however much of it was sent.
TEST_F(Pool, LastByteIsReportedOnlyOnceItIsWritten) {
    open();
    Peer peer;
    const std::string body(32 * 1024 * 1024, 'x');
    call(peer, body);
    peer.accept_connection();
    char first = 0;
    run_until([&] { return recv(peer.connection, &first, 1, MSG_PEEK | MSG_DONTWAIT) == 1; });
    peer.disconnect(true);
    run_until([&] { return ended; });
    EXPECT_FALSE(written);
}

TEST_F(Pool, TotalLimitClosesIdleConnectionsAndExemptsCallsBeyondTheLimit) {
    open(1);
    Peer one, other, third;
    call(one);
    run_until([&] { return written; });
    call(other);
    EXPECT_EQ(ending, engine::ExchangeEnd::no_resources);
    ended = false;
    written = true;  // the request of the first call
    answer(one);
    ending = engine::ExchangeEnd::response_received;
    call(other);  // replaces the idle connection
    answer(other);
    EXPECT_EQ(pool->counts().connections, 1U);
    call(other);
    call(third, "", true);
    answer(third);
    EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
}

}  // namespace
}  // namespace chalksail::net::testing
