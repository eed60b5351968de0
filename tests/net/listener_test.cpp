// The listener and the HTTP server while accept() and MSG_PEEK fail. This program replaces accept4() and
// recv().
#include "net/listener.hpp"

#include <dlfcn.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/http_server.hpp"

namespace {
std::function<int()> accept_fault;  // Returns the errno of the next accept4(), or 0
std::function<int()> peek_error;    // Returns the errno of the next recv() with MSG_PEEK, or 0
}  // namespace

extern "C" ssize_t recv(int fd, void* buffer, size_t size, int flags) {
    static const auto real = reinterpret_cast<ssize_t (*)(int, void*, size_t, int)>(dlsym(RTLD_NEXT, "recv"));
    if (const int error = peek_error && (flags & MSG_PEEK) != 0 ? peek_error() : 0; error != 0) {
        errno = error;
        return -1;
    }
    return real(fd, buffer, size, flags);
}

extern "C" int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
    static const auto real =
        reinterpret_cast<int (*)(int, sockaddr*, socklen_t*, int)>(dlsym(RTLD_NEXT, "accept4"));
    if (const int error = accept_fault ? accept_fault() : 0; error != 0) {
        errno = error;
        return -1;
    }
    return real(fd, address, length, flags);
}

namespace chalksail::net {
namespace {

class ListenerTest : public ::testing::Test, protected Listener::Handler {
protected:
    ListenerTest() {
        uv_loop_init(&loop);
        listener =
            std::make_unique<Listener>(loop, static_cast<Listener::Handler&>(*this), Address{"127.0.0.1", 0});
    }
    ~ListenerTest() override {
        accept_fault = nullptr;
        if (listener != nullptr) listener->close();
        for (const int fd : accepted) ::close(fd);
        for (const int fd : clients) ::close(fd);
        uv_run(&loop, UV_RUN_DEFAULT);
        EXPECT_EQ(uv_loop_close(&loop), 0);
    }
    void on_accepted(Listener&, int descriptor) override { accepted.push_back(descriptor); }
    void on_accept_error(int error) override { errors.push_back(error); }
    void on_listener_closed(Listener&) override { listener.reset(); }

    void connect_clients(int count) {
        for (int i = 0; i < count; ++i) {
            const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in at{};
            at.sin_family = AF_INET;
            at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            at.sin_port = htons(listener->address().port);
            ASSERT_EQ(::connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
            clients.push_back(fd);
        }
    }
    void run_until(const std::function<bool()>& holds) {
        for (int turns = 0; !holds() && turns < 10000; ++turns) uv_run(&loop, UV_RUN_ONCE);
        EXPECT_TRUE(holds());
    }

    uv_loop_t loop{};
    std::unique_ptr<Listener> listener;
    std::vector<int> accepted, clients, errors;
};

TEST_F(ListenerTest, ConnectionsStayPendingDuringAResourceShortage) {
    for (const int error : {ENFILE, EMFILE, ENOBUFS, ENOMEM}) {
        accepted.clear();
        int failures = 5;
        accept_fault = [&] { return failures-- > 0 ? error : 0; };
        connect_clients(3);
        run_until([&] { return accepted.size() == 3; });
        EXPECT_EQ(errors.back(), error);
        for (const int fd : accepted) ::close(fd);
    }
    accepted.clear();
}

// Guards against a spinning loop: after a failure the listener pauses instead of retrying in each iteration.
TEST_F(ListenerTest, LastingShortageCausesFewCalls) {
    int calls = 0;
    accept_fault = [&] {
        ++calls;
        return ENFILE;
    };
    connect_clients(1);
    run_until([&] { return errors.size() >= 2; });
    const int before = calls;
    for (int turns = 0; turns < 100; ++turns) uv_run(&loop, UV_RUN_NOWAIT);
    EXPECT_LE(calls, before + 2);
}

TEST_F(ListenerTest, AbortedConnectionIsSkipped) {
    int calls = 0;
    accept_fault = [&] { return ++calls == 2 ? ECONNABORTED : 0; };
    connect_clients(3);
    run_until([&] { return accepted.size() == 3; });
}

// Guards against resetting pending connections, and losing their requests, when the listener closes.
TEST_F(ListenerTest, PendingConnectionsAreAcceptedBeforeItStops) {
    connect_clients(3);
    listener->stop();
    EXPECT_EQ(accepted.size(), 3U);
    EXPECT_EQ(listener, nullptr);
}

TEST_F(ListenerTest, StopWaitsForAShortageToEnd) {
    connect_clients(3);
    int failures = 4;
    accept_fault = [&] { return failures-- > 0 ? ENFILE : 0; };
    listener->stop();
    EXPECT_NE(listener, nullptr);
    run_until([&] { return listener == nullptr; });
    EXPECT_EQ(accepted.size(), 3U);
}

TEST_F(ListenerTest, StopTimesOutDuringALastingShortage) {
    connect_clients(1);
    accept_fault = [] { return ENFILE; };
    listener->stop();
    run_until([&] { return listener == nullptr; });
    EXPECT_TRUE(accepted.empty());
}

class ServerTest : public ::testing::Test, public HttpServer::Handler {
protected:
    ServerTest() {
        uv_loop_init(&loop);
        server = std::make_unique<HttpServer>(loop, *this, ServerLimits{});
        address = server->listen({"127.0.0.1", 0});
    }
    ~ServerTest() override {
        peek_error = nullptr;
        server.reset();
        ::close(client);
        uv_run(&loop, UV_RUN_DEFAULT);
        EXPECT_EQ(uv_loop_close(&loop), 0);
    }
    void on_request(HttpServer::Peer peer, http::Request, Time) override {
        requests += 1;
        server->reply(peer, 200, {}, "x");
        server->flush();
    }
    void on_closed(HttpServer::Peer, const ConnectionEnd&) override {}
    void connect_client() {
        client = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(address.port);
        ASSERT_EQ(::connect(client, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
        while (server->counts().connections == 0) uv_run(&loop, UV_RUN_ONCE);
    }
    void send_request() const {
        const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
        ASSERT_EQ(::send(client, request.data(), request.size(), 0), static_cast<ssize_t>(request.size()));
    }

    uv_loop_t loop{};
    std::unique_ptr<HttpServer> server;
    Address address;
    int client = -1;
    int requests = 0;
};

// Guards against shutting down a connection with an unread request because the check of its socket failed.
TEST_F(ServerTest, ConnectionIsNotShutDownWhileItsSocketCannotBeChecked) {
    for (const int error : {EINTR, ENOMEM}) {
        connect_client();
        send_request();
        peek_error = [error] { return error; };
        server->drain();
        peek_error = nullptr;
        const int before = requests;
        for (int turns = 0; turns < 100 && requests == before; ++turns) uv_run(&loop, UV_RUN_NOWAIT);
        EXPECT_EQ(requests, before + 1) << error;
        std::string answer(4096, '\0');
        EXPECT_GT(::recv(client, answer.data(), answer.size(), 0), 0);
        ::close(client);
        while (server->counts().connections > 0) uv_run(&loop, UV_RUN_ONCE);
    }
    client = -1;
}

}  // namespace
}  // namespace chalksail::net
