// Races between a call and its server: a partly written request, a response before the request is complete, a
// close between the last byte and libuv's write callback, a connection that is ready too late. Each case is
// forced by the peer's actions or by replacing libuv functions; no test depends on timing.
#include <dlfcn.h>

#include <algorithm>

#include "net/pool_rig.hpp"

namespace {

// While set, uv_try_write() writes nothing, so requests use uv_write(), which passes them to the kernel
// immediately and reports that by a callback in a later loop iteration.
bool no_direct_writes = false;

}  // namespace

// Replaces libuv's function in this whole test program.
extern "C" int uv_try_write(uv_stream_t* stream, const uv_buf_t* buffers, unsigned count) {
    using Function = int (*)(uv_stream_t*, const uv_buf_t*, unsigned);
    static const auto real = reinterpret_cast<Function>(dlsym(RTLD_NEXT, "uv_try_write"));
    return no_direct_writes ? UV_EAGAIN : real(stream, buffers, count);
}

namespace chalksail::net::testing {
namespace {

constexpr std::size_t kMoreThanAnyBuffer = 32U * 1024 * 1024;

class PoolCrossing : public Pool {
protected:
    ~PoolCrossing() override { no_direct_writes = false; }
    // Leaves an idle connection, so that the next call is written within start().
    void open_idle_connection(Peer& peer) {
        open();
        call(peer);
        answer(peer);
    }
    static std::size_t read_available(const Peer& peer) {
        std::string bytes(1U << 20U, '\0');
        std::size_t total = 0;
        for (;;) {
            const auto n = recv(peer.connection, bytes.data(), bytes.size(), MSG_DONTWAIT);
            if (n <= 0) return total;
            total += static_cast<std::size_t>(n);
        }
    }
};

// Guards against treating a request as never run although the kernel has accepted all of it: libuv's callback
// reports that one loop iteration later, after timers. The write queue shows it immediately.
TEST_F(PoolCrossing, LastByteIsReportedBeforeLibuvsCallback) {
    Peer peer;
    open_idle_connection(peer);
    no_direct_writes = true;
    call(peer, "body");
    EXPECT_TRUE(written);
    EXPECT_GT(read_available(peer), 0U);  // already received, without a loop iteration
}

// When the pool itself ends the call, it reports the last byte before the end.
TEST_F(PoolCrossing, LastByteIsReportedBeforeTheEndOfItsCall) {
    Peer peer;
    open_idle_connection(peer);
    no_direct_writes = true;
    call(peer, "body");
    peer.disconnect(true);
    run_until([&] { return ended; });
    EXPECT_TRUE(written);
    EXPECT_EQ(ending, engine::ExchangeEnd::connection_closed);
}

// Bytes that are still queued in this process don't count as written, also in report_written().
TEST_F(PoolCrossing, QueuedBytesAreNotReportedAsWritten) {
    Peer peer;
    open_idle_connection(peer);
    const std::string body(kMoreThanAnyBuffer, 'x');
    call(peer, body);
    pool->report_written();
    EXPECT_FALSE(written);
    // The peer reads until all bytes are written, which must be reported without libuv's callback.
    std::size_t got = 0;
    run_until([&] {
        got += read_available(peer);
        return written;
    });
    run_until([&] {
        got += read_available(peer);
        return got > kMoreThanAnyBuffer;
    });
    peer.send_bytes(kAnswer);
    run_until([&] { return ended; });
    EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
}

// Each way in which a server may end a call, with the request written in part and completely.
enum class ServerAction { close, reset, half_close, answer };
class EndOfACall : public PoolCrossing,
                   public ::testing::WithParamInterface<std::tuple<ServerAction, bool>> {};
TEST_P(EndOfACall, ReportsWhetherTheLastByteWasWritten) {
    const auto [end, all_out] = GetParam();
    Peer peer;
    open_idle_connection(peer);
    call(peer, all_out ? std::string("body") : std::string(kMoreThanAnyBuffer, 'x'));
    if (all_out) run_until([&] { return written; });
    switch (end) {
        case ServerAction::close:
            read_available(peer);
            peer.disconnect(false);
            break;
        case ServerAction::reset: peer.disconnect(true); break;
        case ServerAction::half_close: shutdown(peer.connection, SHUT_WR); break;
        case ServerAction::answer:
            peer.send_bytes("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
            break;
    }
    run_until([&] { return ended; });
    EXPECT_EQ(written, all_out);
    // On a reused connection, a response to a request that was not written may be an earlier one's.
    const bool answered = end == ServerAction::answer && all_out;
    EXPECT_EQ(ending,
              answered ? engine::ExchangeEnd::response_received : engine::ExchangeEnd::connection_closed);
    EXPECT_EQ(statuses.contains(last_call), answered);
    // The rest of this request must not be sent ahead of the next one on the same connection.
    const auto dialled = pool->counts().dialled;
    Peer other;
    call(peer);
    EXPECT_EQ(pool->counts().dialled, dialled + (answered ? 0 : 1));
    pool->cancel(last_call);
}
INSTANTIATE_TEST_SUITE_P(Kinds, EndOfACall,
                         ::testing::Combine(::testing::Values(ServerAction::close, ServerAction::reset,
                                                              ServerAction::half_close, ServerAction::answer),
                                            ::testing::Bool()));

// Nothing of an earlier call can be on its way on a new connection: a server may reject a request before it
// has received all of it, as one that is too large. The connection is not reused.
TEST_F(PoolCrossing, ResponseBeforeTheRequestIsWrittenIsReportedOnANewConnection) {
    open();
    Peer peer;
    call(peer, std::string(kMoreThanAnyBuffer, 'x'));
    peer.accept_connection();
    peer.send_bytes("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
    run_until([&] { return ended; });
    EXPECT_FALSE(written);
    EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
    EXPECT_EQ(statuses[last_call], 413);
    EXPECT_EQ(pool->counts().connections, 0U);
    EXPECT_EQ(pool->counts().unrequested, 0U);
}

// Guards against sending a request whose deadline passed while its connection was established. The connection
// stays usable and serves the next call.
TEST_F(PoolCrossing, CallThatExpiresBeforeItsConnectionIsReadyIsNotSent) {
    open();
    Peer peer;
    send_allowed = false;
    call(peer, "body");
    run_until([&] { return ended; });
    EXPECT_EQ(ending, engine::ExchangeEnd::expired);
    peer.accept_connection();
    EXPECT_EQ(read_available(peer), 0U);
    EXPECT_EQ(pool->counts().connections, 1U);
    send_allowed = true;
    ending = engine::ExchangeEnd::response_received;
    call(peer, "body");
    EXPECT_EQ(pool->counts().dialled, 1U);
    answer(peer);
    EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
}

// The header with the remaining time is updated when the request is written.
TEST_F(PoolCrossing, HeadersAreUpdatedWhenTheConnectionIsReady) {
    open();
    Peer peer;
    update = "70m";
    http::Headers headers;
    headers.add("X-Time-Left", "300m");
    ended = written = false;
    pool->start(++last_call, Target(peer.address), {"POST", "/", std::move(headers), "body"});
    run_until([&] { return written; });
    peer.accept_connection();
    std::string got(1000, '\0');
    got.resize(static_cast<std::size_t>(recv(peer.connection, got.data(), got.size(), 0)));
    EXPECT_NE(got.find("X-Time-Left: 70m\r\n"), std::string::npos);
    EXPECT_EQ(got.find("300m"), std::string::npos);
    answer(peer);
}

// After a half-close the call's response is still read, and the connection is not reused.
TEST_F(PoolCrossing, ResponseIsReadOnAHalfClosedConnection) {
    Peer peer;
    open_idle_connection(peer);
    call(peer, "body");
    run_until([&] { return written; });
    pool->half_close(last_call);
    read_available(peer);
    char byte = 0;
    EXPECT_EQ(recv(peer.connection, &byte, 1, 0), 0);  // the server sees the end
    peer.send_bytes(kAnswer);
    run_until([&] { return ended; });
    EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
    EXPECT_EQ(pool->counts().connections, 0U);
}

// A connection that is established after its call was cancelled must not carry any request.
TEST_F(PoolCrossing, ConnectionOfACancelledCallCarriesNoRequest) {
    open();
    Peer peer;
    call(peer, "body");
    pool->cancel(last_call);
    EXPECT_EQ(pool->counts().connections, 0U);
    Peer other;
    call(other, "body");
    answer(other);
    peer.accept_connection();
    char byte = 0;
    EXPECT_EQ(recv(peer.connection, &byte, 1, 0), 0);  // closed without any bytes
}

// Several calls wait for one connection: the expired ones are rejected one after another, the next one is
// sent.
TEST_F(PoolCrossing, ExpiredCallsInTheQueueDoNotDelayTheNext) {
    PoolLimits limits;
    limits.connections_per_server = 1;
    limits.dial_timeout = std::chrono::seconds(20);
    pool = std::make_unique<UpstreamPool>(loop, static_cast<UpstreamPool::Handler&>(*this), limits);
    Peer peer;
    call(peer);
    run_until([&] { return written; });
    for (int i = 0; i < 3; ++i) pool->start(++last_call, Target(peer.address), {"POST", "/late", {}, {}});
    last_rejected_call = last_call;
    pool->start(++last_call, Target(peer.address), {"POST", "/next", {}, {}});
    written = false;
    peer.accept_connection();
    peer.send_bytes(kAnswer);
    run_until([&] { return expired == 3 && written; });
    ended = false;
    peer.send_bytes(kAnswer);
    run_until([&] { return ended; });
    EXPECT_EQ(pool->counts().dialled, 1U);
}

}  // namespace
}  // namespace chalksail::net::testing
