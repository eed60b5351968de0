// What crosses a call at its server: a request half written, an answer before it is whole, an end between the
// last byte and libuv's word of it, a connection that is ready too late. Each case is forced by what the peer
// does, or by taking the place of libuv's own calls; nothing waits for time to pass.
#include <dlfcn.h>

#include <algorithm>

#include "net/pool_rig.hpp"

namespace {

// While set, nothing goes out by uv_try_write(): requests go by uv_write(), which hands them to the kernel at
// once and tells of it by a callback in a later turn.
bool no_direct_writes = false;

}  // namespace

// Stands before libuv's own for all of this test program.
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
    // A connection that is kept: the next call is written within start().
    void keep(Peer& peer) {
        open();
        call(peer);
        answer(peer);
    }
    static std::size_t drain(const Peer& peer) {
        std::string bytes(1U << 20U, '\0');
        std::size_t total = 0;
        for (;;) {
            const auto n = recv(peer.one, bytes.data(), bytes.size(), MSG_DONTWAIT);
            if (n <= 0) return total;
            total += static_cast<std::size_t>(n);
        }
    }
};

// Guards against a request that is taken for one that never ran while all of it is with the kernel: libuv
// says so by a callback, one turn later, and timers come before that. The write queue says so at once.
TEST_F(PoolCrossing, LastByteCountsOnceTheKernelHasItNotAtLibuvsCallback) {
    Peer peer;
    keep(peer);
    no_direct_writes = true;
    call(peer, "body");
    EXPECT_TRUE(written);
    EXPECT_GT(drain(peer), 0U);  // it was all there, and no turn of the loop has passed
}

// The same where the call is ended by the pool itself: told before its end.
TEST_F(PoolCrossing, LastByteIsReportedBeforeTheEndOfItsCall) {
    Peer peer;
    keep(peer);
    no_direct_writes = true;
    call(peer, "body");
    peer.disconnect(true);
    until([&] { return over; });
    EXPECT_TRUE(written);
    EXPECT_EQ(ending, engine::ExchangeEnd::connection_closed);
}

// The other way: what waits in this process has not gone, whoever asks.
TEST_F(PoolCrossing, BytesThatWaitHereAreNotOut) {
    Peer peer;
    keep(peer);
    const std::string body(kMoreThanAnyBuffer, 'x');
    call(peer, body);
    pool->report_written();
    EXPECT_FALSE(written);
    // Taken by the peer, until all is out: told without the callback's help, as soon as it is so.
    std::size_t got = 0;
    until([&] {
        got += drain(peer);
        return written;
    });
    until([&] {
        got += drain(peer);
        return got > kMoreThanAnyBuffer;
    });
    peer.send_bytes(kAnswer);
    until([&] { return over; });
    EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
}

// Each way in which a server may end a call, with a part of the request out and with all of it.
enum class ServerEnds { close, reset, half_close, answer };
class EndOfACall : public PoolCrossing, public ::testing::WithParamInterface<std::tuple<ServerEnds, bool>> {};
TEST_P(EndOfACall, TellsWhetherTheLastByteWasOut) {
    const auto [end, all_out] = GetParam();
    Peer peer;
    keep(peer);
    call(peer, all_out ? std::string("body") : std::string(kMoreThanAnyBuffer, 'x'));
    if (all_out) until([&] { return written; });
    switch (end) {
        case ServerEnds::close:
            drain(peer);
            peer.disconnect(false);
            break;
        case ServerEnds::reset: peer.disconnect(true); break;
        case ServerEnds::half_close: shutdown(peer.one, SHUT_WR); break;
        case ServerEnds::answer:
            peer.send_bytes("HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
            break;
    }
    until([&] { return over; });
    EXPECT_EQ(written, all_out);
    EXPECT_EQ(ending, end == ServerEnds::answer ? engine::ExchangeEnd::response_received
                                                : engine::ExchangeEnd::connection_closed);
    // Guards against what is left of this request going out ahead of the next one, on the same connection.
    const bool reused = end == ServerEnds::answer && all_out;
    const auto dialled = pool->counts().dialled;
    Peer other;
    call(peer);
    EXPECT_EQ(pool->counts().dialled, dialled + (reused ? 0 : 1));
    pool->cancel(last);
}
INSTANTIATE_TEST_SUITE_P(Kinds, EndOfACall,
                         ::testing::Combine(::testing::Values(ServerEnds::close, ServerEnds::reset,
                                                              ServerEnds::half_close, ServerEnds::answer),
                                            ::testing::Bool()));

// Guards against a request that goes out although its time was over while its connection was made. The
// connection is good, and serves the next.
TEST_F(PoolCrossing, CallWhoseTimeIsOverWhenItsConnectionIsReadyIsWithheld) {
    open();
    Peer peer;
    goes = false;
    call(peer, "body");
    until([&] { return over; });
    EXPECT_EQ(ending, engine::ExchangeEnd::expired);
    peer.take();
    EXPECT_EQ(drain(peer), 0U);
    EXPECT_EQ(pool->counts().connections, 1U);
    goes = true;
    ending = engine::ExchangeEnd::response_received;
    call(peer, "body");
    EXPECT_EQ(pool->counts().dialled, 1U);
    answer(peer);
    EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
}

// What a request says of the time left is what is left when it is written.
TEST_F(PoolCrossing, HeadersAreBroughtUpToDateWhenTheConnectionIsReady) {
    open();
    Peer peer;
    update = "70m";
    http::Headers headers;
    headers.add("X-Time-Left", "300m");
    over = written = false;
    pool->start(++last, Target(peer.address), {"POST", "/", std::move(headers), "body"});
    until([&] { return written; });
    peer.take();
    std::string got(1000, '\0');
    got.resize(static_cast<std::size_t>(recv(peer.one, got.data(), got.size(), 0)));
    EXPECT_NE(got.find("X-Time-Left: 70m\r\n"), std::string::npos);
    EXPECT_EQ(got.find("300m"), std::string::npos);
    answer(peer);
}

// Closed for sending, a call's answer is still heard; the connection is used for nothing else.
TEST_F(PoolCrossing, ResponseIsReadOnAHalfClosedConnection) {
    Peer peer;
    keep(peer);
    call(peer, "body");
    until([&] { return written; });
    pool->half_close(last);
    drain(peer);
    char byte = 0;
    EXPECT_EQ(recv(peer.one, &byte, 1, 0), 0);  // the server sees the end
    peer.send_bytes(kAnswer);
    until([&] { return over; });
    EXPECT_EQ(ending, engine::ExchangeEnd::response_received);
    EXPECT_EQ(pool->counts().connections, 0U);
}

// A connection that comes up after its call was given up serves nobody by mistake.
TEST_F(PoolCrossing, ConnectionThatComesUpLateCarriesNothing) {
    open();
    Peer peer;
    call(peer, "body");
    pool->cancel(last);
    EXPECT_EQ(pool->counts().connections, 0U);
    Peer other;
    call(other, "body");
    answer(other);
    peer.take();
    char byte = 0;
    EXPECT_EQ(recv(peer.one, &byte, 1, 0), 0);  // closed, with nothing said
}

// Several calls wait for one connection: those that are late are kept back one after another, the next goes.
TEST_F(PoolCrossing, LateCallsInTheQueueDoNotHoldUpTheNext) {
    PoolLimits limits;
    limits.connections_per_server = 1;
    limits.dial_timeout = std::chrono::seconds(20);
    pool = std::make_unique<UpstreamPool>(loop, static_cast<UpstreamPool::Handler&>(*this), limits);
    Peer peer;
    call(peer);
    until([&] { return written; });
    for (int i = 0; i < 3; ++i) pool->start(++last, Target(peer.address), {"POST", "/late", {}, {}});
    late_until = last;
    pool->start(++last, Target(peer.address), {"POST", "/next", {}, {}});
    written = false;
    peer.take();
    peer.send_bytes(kAnswer);
    until([&] { return expired == 3 && written; });
    over = false;
    peer.send_bytes(kAnswer);
    until([&] { return over; });
    EXPECT_EQ(pool->counts().dialled, 1U);
}

}  // namespace
}  // namespace chalksail::net::testing
