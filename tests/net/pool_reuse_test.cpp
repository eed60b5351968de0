// When the pool reuses a connection: only when no bytes of an earlier response can still be on their way.
#include "net/pool_rig.hpp"

namespace chalksail::net::testing {
namespace {

using namespace std::chrono_literals;

const std::string kSecondAnswer = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
constexpr Duration kNever = std::chrono::hours(1);

class PoolReuse : public Pool {
protected:
    void open_with_delay(Duration normal, Duration increased = kNever) {
        PoolLimits limits;
        limits.reuse_delay = {normal, increased, kNever};
        open_with(limits);
    }
    // Makes the next call, which must be on a new connection, and returns that connection's peer.
    void call_on_new_connection(Peer& peer) {
        const auto dialled = pool->counts().dialled;
        call(peer);
        ASSERT_EQ(pool->counts().dialled, dialled + 1);
        run_until([&] { return written; });
        first_connection = std::exchange(peer.connection, -1);
        peer.accept_connection();
    }
    ~PoolReuse() override {
        if (first_connection >= 0) close(first_connection);
    }
    int first_connection = -1;
};

// Guards against a foreign answer: a server's second response, some milliseconds behind the first, was taken
// for the response to the next request on the connection, and so on from request to request (review/1).
TEST_F(PoolReuse, LateSecondResponseIsNotTakenForTheNextCalls) {
    open_with_delay(kNever);
    Peer peer;
    call(peer);
    answer(peer);
    ASSERT_NO_FATAL_FAILURE(call_on_new_connection(peer));
    ASSERT_EQ(send(first_connection, kSecondAnswer.data(), kSecondAnswer.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(kSecondAnswer.size()));
    run_until([&] { return pool->counts().unrequested == 1; });
    EXPECT_EQ(pool->counts().connections, 1U);
    EXPECT_FALSE(ended);
    peer.send_bytes(kAnswer);
    run_until([&] { return ended; });
    EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
    EXPECT_EQ(statuses[last_call], 200);
}

TEST_F(PoolReuse, ConnectionIsReusedOnceTheDelayIsOver) {
    open_with_delay(20ms);
    Peer peer;
    call(peer);
    answer(peer);
    const Time ended_at = uv_now_time();
    run_until([&] { return uv_now_time() >= ended_at + 20ms; });
    call(peer);
    answer(peer);
    EXPECT_EQ(pool->counts().dialled, 1U);
    EXPECT_EQ(pool->counts().reused, 1U);
}

// A connection that was established without a call has no earlier response.
TEST_F(PoolReuse, NewConnectionNeedsNoDelay) {
    open_with_delay(kNever);
    Peer peer;
    pool->connect(++last_call, Target(peer.address));
    run_until([&] { return ended; });
    call(peer);
    answer(peer);
    EXPECT_EQ(pool->counts().dialled, 1U);
}

// At the limit of connections a call waits for the delay of a connection, and is sent without another event.
TEST_F(PoolReuse, CallAtTheConnectionLimitIsSentWhenTheDelayIsOver) {
    PoolLimits limits;
    limits.connections_per_server = 1;
    limits.reuse_delay.normal = 30ms;
    open_with(limits);
    Peer peer;
    call(peer);
    run_until([&] { return written; });
    peer.accept_connection();
    const Time answered_at = uv_now_time();
    peer.send_bytes(kAnswer);
    run_until([&] { return ended; });
    call(peer);
    EXPECT_FALSE(written);
    EXPECT_EQ(pool->counts().waiting, 1U);
    run_until([&] { return written; });
    EXPECT_GE(uv_now_time(), answered_at + 30ms);
    EXPECT_EQ(pool->counts().dialled, 1U);
    answer(peer);
    EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
}

// At the limit of connections to all servers, a connection that may not be reused yet makes room for a new
// one, so that the call does not fail.
TEST_F(PoolReuse, CallAtTheTotalLimitReplacesAConnectionThatMayNotBeReused) {
    PoolLimits limits;
    limits.connections = 1;
    limits.reuse_delay.normal = kNever;
    open_with(limits);
    Peer peer;
    call(peer);
    answer(peer);
    ASSERT_NO_FATAL_FAILURE(call_on_new_connection(peer));
    EXPECT_EQ(pool->counts().connections, 1U);
    answer(peer);
    EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
}

// The same for a connection that is established without a call. Guards, like the test above, against a use of
// the server's entry after its last connection was closed to make room.
TEST_F(PoolReuse, ConnectAtTheTotalLimitReplacesAnIdleConnectionToTheSameServer) {
    open(1);
    Peer peer;
    for (int i = 0; i < 2; ++i) {
        ended = false;
        pool->connect(++last_call, Target(peer.address));
        run_until([&] { return ended; });
        EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
    }
    EXPECT_EQ(pool->counts().dialled, 2U);
    EXPECT_EQ(pool->counts().connections, 1U);
}

// Where a server's unrequested bytes arrive.
enum class Surplus { with_the_response, while_idle, unread_at_the_next_call, before_the_request_is_written };
class UnrequestedBytes : public PoolReuse, public ::testing::WithParamInterface<Surplus> {
protected:
    // Makes one call, and has its server send more than the response.
    void receive_surplus(Peer& peer) {
        call(peer);
        run_until([&] { return written; });
        peer.accept_connection();
        const bool at_once = GetParam() == Surplus::with_the_response;
        peer.send_bytes(at_once ? kAnswer + kSecondAnswer : kAnswer);
        run_until([&] { return ended; });
        switch (GetParam()) {
            case Surplus::with_the_response: break;
            case Surplus::while_idle:
                peer.send_bytes(kSecondAnswer);
                run_until([&] { return pool->counts().connections == 0; });
                break;
            case Surplus::unread_at_the_next_call: peer.send_bytes(kSecondAnswer); break;
            case Surplus::before_the_request_is_written:
                call(peer, std::string(32U * 1024 * 1024, 'x'));
                peer.send_bytes(kSecondAnswer);
                run_until([&] { return ended; });
                EXPECT_FALSE(statuses.contains(last_call));
                break;
        }
    }
};

// A server that has sent unrequested bytes may do so again, and later than usual.
TEST_P(UnrequestedBytes, IncreaseTheDelayOfTheServersConnections) {
    open_with_delay(Duration{}, kNever);
    Peer peer;
    receive_surplus(peer);
    ASSERT_NO_FATAL_FAILURE(call_on_new_connection(peer));
    peer.send_bytes(kAnswer);
    run_until([&] { return ended; });
    EXPECT_EQ(statuses[last_call], 200);
    EXPECT_EQ(pool->counts().unrequested, 1U);
    const auto dialled = pool->counts().dialled;
    call(peer);
    EXPECT_EQ(pool->counts().dialled, dialled + 1);
    // Connections to other servers are reused at once.
    Peer other;
    call(other);
    answer(other);
    call(other);
    EXPECT_EQ(pool->counts().reused, GetParam() == Surplus::before_the_request_is_written ? 2U : 1U);
}
INSTANTIATE_TEST_SUITE_P(Places, UnrequestedBytes,
                         ::testing::Values(Surplus::with_the_response, Surplus::while_idle,
                                           Surplus::unread_at_the_next_call,
                                           Surplus::before_the_request_is_written));

}  // namespace
}  // namespace chalksail::net::testing
