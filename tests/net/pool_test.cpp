// The pool of server connections, against a peer that is driven by hand: nothing of it is seen by the loop in
// between.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>

#include "net/http_pool.hpp"

namespace chalksail::net {
namespace {

const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

struct Peer {
    Peer() {
        listener = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t n = sizeof at;
        bind(listener, reinterpret_cast<sockaddr*>(&at), n);
        listen(listener, 16);
        getsockname(listener, reinterpret_cast<sockaddr*>(&at), &n);
        address = {"127.0.0.1", ntohs(at.sin_port)};
    }
    ~Peer() {
        for (const int fd : {one, listener})
            if (fd >= 0) close(fd);
    }
    void take() { one = accept(listener, nullptr, nullptr); }
    void say(const std::string& bytes) const {
        EXPECT_EQ(send(one, bytes.data(), bytes.size(), MSG_NOSIGNAL), static_cast<ssize_t>(bytes.size()));
    }
    void hang_up(bool reset) {
        const linger hard{1, 0};
        if (reset) setsockopt(one, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close(std::exchange(one, -1));
    }
    int listener = -1;
    int one = -1;
    Address address;
};

class Pool : public ::testing::Test, protected HttpPool::Handler {
protected:
    Pool() { uv_loop_init(&loop); }
    ~Pool() override {
        pool.reset();
        uv_run(&loop, UV_RUN_DEFAULT);
        EXPECT_EQ(uv_loop_close(&loop), 0);
    }
    void open(std::size_t connections = 0) {
        PoolLimits limits;
        limits.connections = connections;
        limits.dial_timeout = std::chrono::seconds(20);
        pool = std::make_unique<HttpPool>(loop, static_cast<HttpPool::Handler&>(*this), limits);
    }
    void call(const Peer& peer, std::string_view body = "", bool beyond_limit = false) {
        over = written = false;
        pool->start(++last, Target(peer.address), "POST", "/", {}, body, 0, beyond_limit);
    }
    void until(const std::function<bool()>& so) {
        // Only keeps a broken build from standing still: a timer, as a loop with nothing to hear of would
        // wait.
        uv_timer_t limit;
        bool over_limit = false;
        uv_timer_init(&loop, &limit);
        limit.data = &over_limit;
        uv_timer_start(
            &limit, [](uv_timer_t* t) { *static_cast<bool*>(t->data) = true; }, 20'000, 0);
        while (!so() && !over_limit) uv_run(&loop, UV_RUN_ONCE);
        bool closed = false;
        limit.data = &closed;
        uv_close(reinterpret_cast<uv_handle_t*>(&limit),
                 [](uv_handle_t* h) { *static_cast<bool*>(h->data) = true; });
        while (!closed) uv_run(&loop, UV_RUN_NOWAIT);
        ASSERT_TRUE(so());
    }
    void answer(Peer& peer) {
        until([&] { return written; });
        if (peer.one < 0) peer.take();
        peer.say(kAnswer);
        until([&] { return over; });
    }
    void on_written(HttpPool::Call) override { written = true; }
    void on_head(HttpPool::Call, int, http::Headers) override {}
    void on_body(HttpPool::Call, std::string) override {}
    void on_done(HttpPool::Call) override { over = true; }
    void on_failed(HttpPool::Call, engine::Ending why, std::string) override {
        over = true;
        ending = why;
    }
    uv_loop_t loop{};
    std::unique_ptr<HttpPool> pool;
    HttpPool::Call last = 0;
    bool over = false, written = false;
    engine::Ending ending = engine::Ending::answered;
};

// What had come on a kept connection before the next call was not looked at: the call was lost, or answered
// by it.
TEST_F(Pool, KeptConnectionOnWhichSomethingHasComeIsNotUsed) {
    for (const bool more : {false, true}) {
        open();
        Peer peer;
        call(peer);
        answer(peer);
        more ? peer.say(kAnswer) : peer.hang_up(false);
        call(peer);
        EXPECT_EQ(pool->counts().dialled, 2U);
        EXPECT_EQ(pool->counts().stale, 1U);
        if (more) peer.hang_up(false);
        answer(peer);
        EXPECT_EQ(ending, engine::Ending::answered);
    }
}

// Servers dropped what they had kept, with nothing to be seen of it: after a few, connections are dialled
// anew.
TEST_F(Pool, KeptConnectionsThatBreakAreNoLongerTrusted) {
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
        peer.hang_up(true);
        until([&] { return over; });
        ++broken;
    }
    EXPECT_GE(broken, 3);
    EXPECT_LT(broken, 40);
}

// A request of which the last byte was not taken never ran, whatever went before it.
TEST_F(Pool, LastByteIsToldOnlyOnceItIsOut) {
    open();
    Peer peer;
    const std::string body(32 * 1024 * 1024, 'x');
    call(peer, body);
    peer.take();
    char first = 0;
    until([&] { return recv(peer.one, &first, 1, MSG_PEEK | MSG_DONTWAIT) == 1; });
    peer.hang_up(true);
    until([&] { return over; });
    EXPECT_FALSE(written);
}

TEST_F(Pool, LimitForAllServersLetsUnusedOnesGoAndLetGoCallsPass) {
    open(1);
    Peer one, other, third;
    call(one);
    until([&] { return written; });
    call(other);
    EXPECT_EQ(ending, engine::Ending::no_resources);
    over = false;
    written = true;  // the first one's
    answer(one);
    ending = engine::Ending::answered;
    call(other);  // in place of the one at rest
    answer(other);
    EXPECT_EQ(pool->counts().connections, 1U);
    call(other);
    call(third, "", true);
    answer(third);
    EXPECT_EQ(ending, engine::Ending::answered);
}

}  // namespace
}  // namespace chalksail::net
