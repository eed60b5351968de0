// The edge on real sockets: peers that violate the protocol, and the edge's own limits.
#include <sys/resource.h>

#include <filesystem>

#include "net/rig.hpp"

namespace chalksail::net::testing {
namespace {

void good_write(RawServer::Peer& p) { p.send(kWriteOk); }

TEST_F(Rig, ServesAStream) {
    start(good_write);
    EXPECT_TRUE(served());
    pass_reuse_delay();
    EXPECT_TRUE(served());
    EXPECT_EQ(writer->peers.size(), 1U);  // the connection was reused
}

TEST_F(Rig, PipelinedRequestsAreAnsweredInOrder) {
    start(good_write);
    RawClient& c = client();
    c.send("GET /v1/models HTTP/1.1\r\n\r\n" + post("m") + "GET /nope HTTP/1.1\r\n\r\n" + post("m", ""));
    ASSERT_TRUE(until([&] {
        return c.got().find("chat.completion\"") != std::string::npos ||
               c.got().find("\"content\":\"hello\"},") != std::string::npos;
    }));
    const auto models = c.got().find("\"object\":\"list\""), done = c.got().find("[DONE]"),
               nope = c.got().find("404 Not Found"), last = c.got().find("chat.completion\"");
    EXPECT_LT(models, done);
    EXPECT_LT(done, nope);
    EXPECT_LT(nope, last);
    EXPECT_NE(last, std::string::npos);
}

TEST_F(Rig, ContinueIsSentAndSingleByteChunksAreAccepted) {
    start(good_write);
    RawClient& c = client();
    c.send(
        "POST /v1/chat/completions HTTP/1.1\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n");
    ASSERT_TRUE(until([&] { return c.got() == "HTTP/1.1 100 Continue\r\n\r\n"; }));
    const std::string body = R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]})";
    for (const char b : body) c.send(chunked(std::string(1, b)));
    c.send("0\r\n\r\n");
    EXPECT_TRUE(until([&] { return c.got().find("[DONE]") != std::string::npos; }));
}

// ---- faulty engines: the client gets an error, and later requests are served ----

class BadEngine : public Rig, public ::testing::WithParamInterface<std::pair<const char*, std::string>> {};
TEST_P(BadEngine, FailsOnlyItsOwnRequest) {
    bool bad = true;
    start(
        [&](RawServer::Peer& p) {
            if (!bad) return p.send(kWriteOk);
            p.send(GetParam().second);
            p.close();
        },
        "rules { max-attempts 2; }");
    RawClient& c = client();
    c.send(post("once"));
    ASSERT_TRUE(until([&] { return c.got().find("\"error\"") != std::string::npos; })) << c.got();
    EXPECT_EQ(c.got().find("[DONE]"), std::string::npos);
    EXPECT_EQ(writer->requests, 1);  // not retried, as it may have run
    bad = false;
    // A probe and a trial request return the server to service; the client repeats its request until then.
    bool again = false;
    for (int i = 0; i < 200 && !again; ++i) again = served();
    EXPECT_TRUE(again);
}
INSTANTIATE_TEST_SUITE_P(
    Kinds, BadEngine,
    ::testing::Values(
        std::pair("half a chunk", kStreamHead + "40\r\ndata: {\"id\""),
        std::pair("half a chunk after a token", kStreamHead + chunked(token("a")) + "40\r\ndata"),
        std::pair("bad chunk length", kStreamHead + "zz\r\nxx\r\n"),
        std::pair("no body", std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")),
        std::pair("body that is no stream", sized(200, "{\"oops\":1}")),
        std::pair("not HTTP", std::string("220 mail.example ready\r\n")),
        std::pair("closed at once", std::string()),
        std::pair("no DONE", kStreamHead + chunked(token("a")) + "0\r\n\r\n"),
        std::pair("error event",
                  kStreamHead + chunked("data: {\"error\":{\"message\":\"oom\"}}\n\n") + "0\r\n\r\n"),
        std::pair("large head", "HTTP/1.1 200 OK\r\nX: " + std::string(1'000'000, 'a'))),
    [](const auto& info) {
        std::string name = info.param.first;
        std::replace(name.begin(), name.end(), ' ', '_');
        return name;
    });

// The edge stops reading a response head of 100 MB at its limit, and closes the connection.
TEST_F(Rig, EndlessResponseHeadIsNotRead) {
    start(
        [](RawServer::Peer& p) {
            p.send("HTTP/1.1 200 OK\r\n");
            for (int i = 0; i < 100; ++i) p.send("X: " + std::string(1'000'000, 'a') + "\r\n");
        },
        "rules { max-attempts 2; }");
    RawClient& c = client();
    c.send(post("once"));
    ASSERT_TRUE(until([&] { return c.got().find("\"error\"") != std::string::npos; }));
    EXPECT_LT(writer->peers[0]->written, 20'000'000U);
}

TEST_F(Rig, RequestMayHaveRunWhenItsReusedConnectionCloses) {
    int count = 0;
    start([&](RawServer::Peer& p) {
        if (++count == 1) p.send(kWriteOk);
        else p.close();
    });
    ASSERT_TRUE(served(post("once")));
    RawClient& c = client();
    c.send(post("once"));
    ASSERT_TRUE(until([&] { return c.got().find("HTTP/1.1 502") != std::string::npos; })) << c.got();
    EXPECT_NE(c.got().find("X-Should-Retry: false"), std::string::npos);
    EXPECT_EQ(count, 2);
}

TEST_F(Rig, CancelledCallDoesNotDisturbTheNext) {
    RawServer::Peer* late = nullptr;
    start([&](RawServer::Peer& p) {
        if (late == nullptr) late = &p;
        else p.send(kWriteOk);
    });
    RawClient& c = client();
    c.send(post("m"));
    ASSERT_TRUE(until([&] { return late != nullptr; }));
    c.close();
    ASSERT_TRUE(until([&] { return late->disconnected; }));  // closing cancels the call
    clients.clear();
    EXPECT_TRUE(served());
}

// ---- faulty clients ----

TEST_F(Rig, MalformedRequestsFailOnlyTheirConnection) {
    start(good_write);
    const std::string deep = "{\"model\":\"m\",\"messages\":" + std::string(200'000, '[');
    for (const std::string& bytes :
         {std::string("\x16\x03\x01\x02", 4),
          std::string("GET / HTTP/1.1\r\nA: ") + std::string(200'000, 'x'),
          std::string("POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n"),
          std::string("POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"),
          std::string("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n"),
          std::string(100'000, '\0'), std::string("CONNECT a:1 HTTP/1.1\r\n\r\n"),
          std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
          "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: " + std::to_string(deep.size()) +
              "\r\nConnection: close\r\n\r\n" + deep}) {
        RawClient& c = client();
        c.send(bytes);
        EXPECT_TRUE(until([&] {
            return c.closed() || c.got().find("HTTP/1.1 4") != std::string::npos ||
                   c.got().find("HTTP/1.1 5") != std::string::npos;
        })) << bytes.substr(0, 60);
    }
    EXPECT_TRUE(served());
}

TEST_F(Rig, SlowHeadsTimeOut) {
    start(good_write, R"(limits { head-timeout "100ms"; body-timeout "100ms"; })");
    RawClient& c = client();
    c.send("POST /v1/chat/completions HTTP/1.1\r\nHos");
    EXPECT_TRUE(until([&] { return c.closed(); }));
    EXPECT_NE(c.got().find("HTTP/1.1 408"), std::string::npos);
    EXPECT_TRUE(served());
}

TEST_F(Rig, ConnectionsOverTheLimitAreClosedWhereNoneIsIdle) {
    bool answer = false;
    start(
        [&](RawServer::Peer& p) {
            if (answer) p.send(kWriteOk);
        },
        "limits { connections 3; }");
    for (int i = 0; i < 3; ++i) client().send(post("m"));
    ASSERT_TRUE(until([&] { return writer->requests == 3; }));
    RawClient& fourth = client();
    fourth.send(post("m"));
    EXPECT_TRUE(until([&] { return fourth.closed(); }));
    clients.clear();
    answer = true;
    bool again = false;
    until([&] { return again = served(); });
    EXPECT_TRUE(again);
}

// The engine's stream is read no faster than the client reads, so the buffered bytes stay within the limits.
TEST_F(Rig, SlowClientPausesReadingFromItsEngine) {
    const std::string part = chunked(token(std::string(60'000, 'a')));
    constexpr int parts = 1000;
    start([&](RawServer::Peer& p) {
        p.send(kStreamHead);
        for (int i = 0; i < parts; ++i) p.send(part);
        p.send(chunked("data: [DONE]\n\n") + "0\r\n\r\n");
    });
    RawClient& c = client();
    c.stop_reading();
    c.send(post("m"));
    ASSERT_TRUE(until([&] { return !writer->peers.empty() && writer->peers[0]->written > 0; }));
    std::size_t before = 1;  // waits until the engine makes no more progress
    for (int still = 0; still < 200;) {
        uv_run(&loop, UV_RUN_NOWAIT);
        still = writer->peers[0]->written == before ? still + 1 : 0;
        before = writer->peers[0]->written;
    }
    EXPECT_LT(before, parts * part.size() / 2);  // the kernel's buffers hold a few megabytes
    c.resume_reading();
    EXPECT_TRUE(until([&] { return c.got().find("[DONE]") != std::string::npos; }));
    EXPECT_GT(c.got().size(), parts * part.size() / 2);
}

TEST_F(Rig, StalledClientIsClosed) {
    start(
        [](RawServer::Peer& p) {
            p.send(kStreamHead);
            for (int i = 0; i < 400; ++i) p.send(chunked(token(std::string(60'000, 'a'))));
        },
        R"(limits { stall-timeout "200ms"; })");
    RawClient& c = client();
    c.stop_reading();
    c.send(post("m"));
    EXPECT_TRUE(until([&] { return !writer->peers.empty() && writer->peers[0]->disconnected; }));
    EXPECT_TRUE(until([&] { return edge->gauges().open_requests == 0; }));
}

// ---- this machine's limits ----

TEST_F(Rig, FileDescriptorsRunOutAndComeBack) {
    std::vector<RawServer::Peer*> held;  // Requests whose responses the test delays
    bool hold = false;
    start(
        [&](RawServer::Peer& p) {
            if (hold) held.push_back(&p);
            else p.send(kWriteOk);
        },
        R"(rules { probes #false; })");
    std::vector<RawClient*> all;
    for (int i = 0; i < 24; ++i) {
        all.push_back(&client());
        all.back()->send("GET /v1/models HTTP/1.1\r\n\r\n");
        ASSERT_TRUE(until([&] { return all.back()->got().find("200 OK") != std::string::npos; }));
    }
    ASSERT_TRUE(served());
    clients.pop_back();
    uv_run(&loop, UV_RUN_NOWAIT);
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    int highest = 0;
    for (const auto& e : std::filesystem::directory_iterator("/proc/self/fd"))
        highest = std::max(highest, std::stoi(e.path().filename().string()));
    rlimit tight = before;
    tight.rlim_cur = static_cast<rlim_t>(highest);  // open descriptors stay valid, hardly any new ones
    setrlimit(RLIMIT_NOFILE, &tight);
    hold = true;
    for (auto* c : all) c->send(post("m"));
    // Requests that get a connection proceed; the others are refused with Retry-After, and no server is
    // marked as failed.
    EXPECT_TRUE(until([&] {
        return std::count_if(all.begin(), all.end(), [](const RawClient* c) {
                   return c->got().find("HTTP/1.1 503") != std::string::npos;
               }) >= 3;
    }));
    for (const auto* c : all) {
        if (c->got().find("HTTP/1.1 503") == std::string::npos) continue;
        EXPECT_NE(c->got().find("Retry-After"), std::string::npos);
    }
    RawClient one_more(loop, edge->address());  // the failing accept() must not disturb anything either
    for (int i = 0; i < 20; ++i) uv_run(&loop, UV_RUN_NOWAIT);
    setrlimit(RLIMIT_NOFILE, &before);
    hold = false;
    for (auto* p : held) p->send(kWriteOk);
    EXPECT_TRUE(served());
}

// ---- draining ----

TEST_F(Rig, DrainFinishesOpenRequestsAndThenTheLoopEnds) {
    RawServer::Peer* open = nullptr;
    start([&](RawServer::Peer& p) {
        open = &p;
        p.send(kStreamHead + chunked(token("a")));
    });
    RawClient& c = client();
    c.send(post("m"));
    ASSERT_TRUE(until([&] { return c.got().find("data: ") != std::string::npos; }));
    edge->drain();
    RawClient& refused = client();
    refused.send(post("m"));
    EXPECT_TRUE(until([&] { return refused.closed(); }));  // the listener is closed
    EXPECT_EQ(c.got().find("[DONE]"), std::string::npos);
    open->send(chunked("data: [DONE]\n\n") + "0\r\n\r\n");
    EXPECT_TRUE(until([&] { return c.got().find("[DONE]") != std::string::npos && c.closed(); }));
    EXPECT_EQ(edge->gauges().open_requests, 0U);
}

TEST_F(Rig, DrainClosesRequestsThatDoNotEndInTime) {
    start([](RawServer::Peer& p) { p.send(kStreamHead + chunked(token("a"))); },
          R"(limits { drain "100ms"; })");
    RawClient& c = client();
    c.send(post("m"));
    ASSERT_TRUE(until([&] { return c.got().find("data: ") != std::string::npos; }));
    edge->drain();
    EXPECT_TRUE(until([&] { return c.closed(); }));
}

// ---- the admin listener ----

TEST_F(Rig, ServerListIsAppliedCompletelyOrNotAtAll) {
    start(good_write);
    RawClient admin(loop, edge->admin_address());
    const auto send_request = [&](const std::string& body) {
        const auto from = admin.got().size();
        admin.send("POST /servers HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                   body);
        until([&] { return admin.got().find("\r\n\r\n", from) != std::string::npos; });
        return admin.got().substr(from + 9, 3);
    };
    EXPECT_EQ(
        send_request(
            R"({"scope":"changes","servers":[{"name":"w1","kind":"w","address":"127.0.0.1:1","state":"gone"}]})"),
        "400");
    EXPECT_EQ(
        send_request(
            R"({"scope":"complete","servers":[{"name":"a","kind":"w","address":"127.0.0.1:1"},{"name":"a","kind":"w","address":"127.0.0.1:1"}]})"),
        "400");
    EXPECT_EQ(
        send_request(R"({"scope":"complete","servers":[{"name":"a","kind":"zz","address":"127.0.0.1:1"}]})"),
        "400");
    EXPECT_EQ(send_request("nonsense"), "400");
    EXPECT_TRUE(served());  // the last valid list stays in use
    EXPECT_EQ(send_request(R"({"scope":"complete","servers":[]})"), "200");
    admin.send("GET /metrics HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(until([&] { return admin.got().find("chalksail_requests_total") != std::string::npos; }));
    admin.close();
}

}  // namespace
}  // namespace chalksail::net::testing
