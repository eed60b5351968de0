// The listener while accept() fails. accept4() is replaced in this program.
#include "net/listener.hpp"

#include <dlfcn.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <vector>

namespace {
std::function<int()> accept_fault;  // the errno of the next accept4(), or 0
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
        listener = new Listener(loop, *this, {"127.0.0.1", 0});
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
    void on_listener_closed(Listener&) override { listener = nullptr; }

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
    Listener* listener = nullptr;
    std::vector<int> accepted, clients, errors;
};

TEST_F(ListenerTest, ConnectionsWaitWhileDescriptorsAreShort) {
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

// Guards against a loop that spins: a failure is followed by a pause, not by the next turn.
TEST_F(ListenerTest, ShortageThatLastsCostsFewCalls) {
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

TEST_F(ListenerTest, OneThatIsGoneIsPassedOver) {
    int calls = 0;
    accept_fault = [&] { return ++calls == 2 ? ECONNABORTED : 0; };
    connect_clients(3);
    run_until([&] { return accepted.size() == 3; });
}

// Guards against connections that are reset with their requests when the listener closes.
TEST_F(ListenerTest, WhatWaitsIsTakenBeforeItStops) {
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

TEST_F(ListenerTest, StopDoesNotWaitForEver) {
    connect_clients(1);
    accept_fault = [] { return ENFILE; };
    listener->stop();
    run_until([&] { return listener == nullptr; });
    EXPECT_TRUE(accepted.empty());
}

}  // namespace
}  // namespace chalksail::net
