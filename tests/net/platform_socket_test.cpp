// The gateway on the users' platform, on real sockets, against scripted peers.
#include "net/platform_rig.hpp"

namespace chalksail::net::testing {
namespace {

TEST_F(PlatformRig, ServesAStream) {
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(served("a1"));
    pass_reuse_delay();
    EXPECT_TRUE(served("a2"));
    EXPECT_EQ(writer->peers.size(), 1U);  // the connection was reused
    EXPECT_NE(writer->last.find("X-Correlation-Id: a2"), std::string::npos);
}

// Guards against a foreign answer: a server's second response, some milliseconds behind the first, was
// forwarded to the client of the next request on that connection (review/1).
TEST_F(PlatformRig, LateSecondResponseIsNotForwardedToAnotherClient) {
    const std::string foreign = kStreamHead + chunked("data: {\"choices\":[],\"foreign\":1}\n\n") +
                                chunked("data: [DONE]\n\n") + "0\r\n\r\n";
    std::vector<RawServer::Peer*> decoding;
    begin([&](auto& p) { decoding.push_back(&p); }, [](auto& s) { s.limits.server_reuse_delay = 1h; });
    RawClient& first = client();
    first.send(messages::post("a1"));
    ASSERT_TRUE(until([&] { return decoding.size() == 1; }));
    decoding[0]->send(kStream);
    ASSERT_TRUE(answered(first, "0\r\n\r\n"));
    RawClient& second = client();
    second.send(messages::post("a2"));
    ASSERT_TRUE(until([&] { return decoding.size() == 2; }));
    decoding[0]->send(foreign);
    ASSERT_TRUE(until([&] { return decoding[0]->disconnected || !second.got().empty(); }));
    decoding[1]->send(kStream);
    ASSERT_TRUE(answered(second, "0\r\n\r\n"));
    EXPECT_EQ(second.got().find("foreign"), std::string::npos);
    // The prefill server's connection is not reused either.
    EXPECT_EQ(reader->peers.size(), 2U);
}

// Guards against idle connections that use up the connection limit: clients that sent one request and kept
// their connections open caused new connections to be closed, which lost half the requests of a simulated day
// with client churn.
TEST_F(PlatformRig, ReusableConnectionsMakeRoomForNewOnes) {
    begin([](auto& p) { p.send(kStream); }, [](auto& s) { s.limits.client_connections = 4; });
    for (int i = 0; i < 12; ++i) EXPECT_TRUE(served("a" + std::to_string(i))) << i;
    EXPECT_GE(std::count_if(clients.begin(), clients.end(), [](const auto& c) { return c->closed(); }), 8);
}

// Clients that send nothing are disconnected after the first-request time-out, and do not prevent other
// clients from connecting.
TEST_F(PlatformRig, ManySilentClientsDoNotExcludeOthers) {
    begin([](auto& p) { p.send(kStream); },
          [](auto& s) {
              s.limits.client_connections = 4;
              s.limits.first_timeout = 300ms;
          });
    for (int i = 0; i < 12; ++i) client();
    const auto silent_clients = clients.size();
    EXPECT_TRUE(until([&] {
        return std::all_of(clients.begin(), clients.begin() + static_cast<std::ptrdiff_t>(silent_clients),
                           [](const auto& c) { return c->closed(); });
    }));
    EXPECT_TRUE(served("a1"));
}

// Guards against closing the connection while the client still sends: the reset would discard the error
// response before the client reads it.
TEST_F(PlatformRig, ClientThatIsStillSendingReceivesTheError) {
    begin([](auto& p) { p.send(kStream); });
    RawClient& c = client();
    c.send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
    for (int i = 0; i < 60; ++i) c.send(std::string(1'000'000, 'x'));
    EXPECT_TRUE(answered(c, "HTTP/1.1 413"));
    EXPECT_TRUE(until([&] { return c.closed(); }));
    EXPECT_EQ(reader->requests, 0);
}

// Guards against many incomplete requests that are each within the request size limit but together use too
// much memory.
TEST_F(PlatformRig, IncompleteRequestsShareALimit) {
    begin([](auto& p) { p.send(kStream); }, [](auto& s) { s.limits.unfinished_bytes = 500'000; });
    const std::string half =
        "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 250000\r\n\r\n" + std::string(200'000, 'x');
    for (int i = 0; i < 6; ++i) client().send(half);
    EXPECT_TRUE(until([&] {
        return std::count_if(clients.begin(), clients.end(),
                             [](const auto& c) { return c->got().starts_with("HTTP/1.1 503"); }) >= 4;
    }));
    EXPECT_TRUE(served("a1"));
}

// Guards against many clients that each stop within a head: only bodies were counted.
TEST_F(PlatformRig, IncompleteHeadsShareALimit) {
    begin([](auto& p) { p.send(kStream); }, [](auto& s) { s.limits.unfinished_bytes = 100'000; });
    std::string half = "POST /v1/chat/completions HTTP/1.1\r\n";
    for (int i = 0; i < 90; ++i) half += "a: " + std::string(150, 'x') + "\r\n";
    for (int i = 0; i < 20; ++i) client().send(half);
    EXPECT_TRUE(until([&] {
        return std::count_if(clients.begin(), clients.end(),
                             [](const auto& c) { return c->got().starts_with("HTTP/1.1 503"); }) >= 14;
    }));
    EXPECT_TRUE(served("a1"));
}

// Guards against clients that pipeline as much as they may: requests of others were answered 503 while they
// were still coming.
TEST_F(PlatformRig, PipelinedInputLeavesRoomForOtherRequests) {
    const auto respond = [](RawServer::Peer& p) {
        if (p.server->last.find("X-Correlation-Id: unanswered") == std::string::npos) p.send(kStream);
    };
    begin(respond, [](auto& s) {
        s.limits.unfinished_bytes = 400'000;
        s.limits.pipelined_bytes = 200'000;
    });
    std::string requests;
    for (int i = 0; i < 6'000; ++i) requests += "GET /unknown HTTP/1.1\r\n\r\n";
    for (int i = 0; i < 4; ++i)
        client().send(messages::post("unanswered" + std::to_string(i), "order", "", "60000m") + requests);
    EXPECT_TRUE(until([&] { return writer->requests == 4; }));
    for (int i = 0; i < 20; ++i) {
        RawClient& c = client();
        const std::string request = messages::post("a" + std::to_string(i));
        c.send(request.substr(0, 200));
        RawClient& ready = client();  // answered behind the read of what was sent before
        ready.send("GET /ready HTTP/1.1\r\n\r\n");
        ASSERT_TRUE(answered(ready, "ready"));
        c.send(request.substr(200));
        EXPECT_TRUE(answered(c, "[DONE]")) << c.got();
    }
}

// Guards against rejecting a small request because others have sent parts of large ones: the largest is
// rejected first.
TEST_F(PlatformRig, LargestIncompleteRequestIsRejectedFirst) {
    begin([](auto& p) { p.send(kStream); }, [](auto& s) { s.limits.unfinished_bytes = 500'000; });
    const auto half = [](std::size_t bytes) {
        return "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 250000\r\n\r\n" +
               std::string(bytes, 'x');
    };
    RawClient& largest = client();
    largest.send(half(200'000));
    RawClient& smaller = client();
    smaller.send(half(150'000));
    RawClient& small = client();
    small.send(messages::post("a1").substr(0, 100));
    // Each of these answers takes some turns of the loop, in which what was sent before is read.
    for (int i = 0; i < 5; ++i) {
        RawClient& ready = client();
        ready.send("GET /ready HTTP/1.1\r\n\r\n");
        ASSERT_TRUE(answered(ready, "ready"));
    }
    for (int i = 0; i < 2; ++i) client().send(half(100'000));
    EXPECT_TRUE(until([&] { return !largest.got().empty(); }));
    EXPECT_TRUE(largest.got().starts_with("HTTP/1.1 503")) << largest.got();
    small.send(messages::post("a1").substr(100));
    EXPECT_TRUE(answered(small, "[DONE]"));
    EXPECT_TRUE(smaller.got().empty()) << smaller.got();
}

// The server closed the connection, or sent extra bytes, before the next request: that request must be sent
// on another connection, and only once.
TEST_F(PlatformRig, ConnectionThatWasClosedOrHasExtraBytesIsNotReused) {
    for (const auto& extra : {std::string(), kStream}) {
        int count = 0;
        begin([&](auto& p) {
            p.send(kStream);
            if (++count > 1) return;
            if (extra.empty()) p.close();
            else p.send(extra);
        });
        EXPECT_TRUE(served("a1"));
        EXPECT_TRUE(served("a2"));
        EXPECT_EQ(count, 2);
        EXPECT_EQ(writer->peers.size(), 2U);
        stop();
    }
}

// ---- clients that violate the protocol ----

class BadClient : public PlatformRig, public ::testing::WithParamInterface<std::string> {};
TEST_P(BadClient, GetsAnErrorOrACloseAndNothingIsForwarded) {
    begin([](auto& p) { p.send(kStream); },
          [](auto& s) {
              s.limits.request_idle_timeout = 200ms;
              s.limits.first_timeout = 200ms;
          });
    RawClient& c = client();
    c.send(GetParam());
    EXPECT_TRUE(until([&] { return c.closed() || c.got().starts_with("HTTP/1.1 4"); }));
    EXPECT_TRUE(served("good"));
    EXPECT_EQ(reader->requests, 1);
}
INSTANTIATE_TEST_SUITE_P(
    Kinds, BadClient,
    ::testing::Values(
        "POST /v1/chat/completions HTTP/1.1\r\nX: " + std::string(100'000, 'a'),
        std::string("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -5\r\n\r\n"),
        std::string("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n"),
        std::string("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n"),
        std::string("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: five\r\n\r\n"),
        "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: "
        "chunked\r\n\r\n0\r\n\r\n" +
            messages::post("hidden"),
        "POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: "
        "5\r\n\r\n0\r\n\r\n" +
            messages::post("hidden"),
        std::string("\x16\x03\x01\x02 what is this"), messages::post("half").substr(0, 80),
        messages::post("half").substr(0, messages::post("half").size() - 4), messages::post("bad", "nobody"),
        messages::post("bad", "chat", "", "soon"), messages::post("")));

// Hundreds of invalid requests pipelined on one connection, beside a hundred connections with valid requests.
TEST_F(PlatformRig, EveryRequestOfManyClientsIsAnsweredOnce) {
    begin([](auto& p) { p.send(kStream); });
    RawClient& c = client();
    std::string bad;
    for (int i = 0; i < 300; ++i) bad += messages::post("bad", "nobody");
    c.send(bad);
    for (int i = 0; i < 100; ++i) client().send(messages::post("id" + std::to_string(i)));
    const auto answers = [](const RawClient& of) {
        std::size_t count = 0;
        for (auto at = of.got().find("HTTP/1.1 "); at != std::string::npos;
             at = of.got().find("HTTP/1.1 ", at + 1))
            ++count;
        return count;
    };
    EXPECT_TRUE(until([&] {
        return answers(c) == 300 && std::all_of(clients.begin() + 1, clients.end(),
                                                [&](const auto& o) { return answers(*o) == 1; });
    }));
    EXPECT_EQ(c.got().find("HTTP/1.1 2"), std::string::npos);
}

// Guards against attempts for a client that has disconnected: a close after pipelined bytes that the gateway
// had not read yet was not detected.
TEST_F(PlatformRig, CloseAfterPipelinedRequestsIsDetected) {
    begin([](auto&) {});  // the writer does not respond
    RawClient& c = client();
    std::string all = messages::post("a1");
    for (int i = 0; i < 200; ++i) all += messages::post("b" + std::to_string(i));
    ASSERT_GT(all.size(), 20'000U);
    c.send(all);
    ASSERT_TRUE(until([&] { return writer->requests == 1; }));
    c.close();
    EXPECT_TRUE(until([&] { return edge->gauges().open_requests == 0; }));
    EXPECT_EQ(writer->requests, 1);
}

// ---- servers that violate the protocol ----

class BadServer : public PlatformRig, public ::testing::WithParamInterface<std::pair<std::string, bool>> {};
TEST_P(BadServer, EndsTheClientsStreamOrItsAttemptAndIsNotUsedAgain) {
    int count = 0;
    begin([&](auto& p) { p.send(++count == 1 ? GetParam().first : kStream); });
    RawClient& c = client();
    c.send(messages::post("a1", "order"));
    if (GetParam().second) {  // events were forwarded: the stream is cut without its final chunk
        ASSERT_TRUE(until([&] { return c.closed(); }));
        EXPECT_NE(c.got().find(kEvent), std::string::npos);
        EXPECT_EQ(c.got().find("\r\n0\r\n\r\n"), std::string::npos);
    } else {
        EXPECT_TRUE(answered(c, "HTTP/1.1 502"));
    }
    EXPECT_EQ(count, 1);  // no second attempt: the first one may have run
    EXPECT_TRUE(until([&] { return writer->peers[0]->disconnected; }));
}
INSTANTIATE_TEST_SUITE_P(
    Kinds, BadServer,
    ::testing::Values(std::pair(std::string("\x01\x02\x03 noise\r\n\r\n"), false),
                      std::pair("HTTP/1.1 200 OK\r\nX: " + std::string(200'000, 'a'), false),
                      std::pair(kStreamHead + "zz\r\nxx\r\n", false),
                      std::pair(kStreamHead + "C0000000\r\n" + std::string(200'000, 'a'), false),
                      std::pair(kStreamHead + chunked(kEvent) + "zz\r\nxx\r\n", true),
                      std::pair(kStreamHead + chunked(kEvent) + "3\r\nabcdef\r\n", true),
                      std::pair(kStreamHead + chunked(kEvent) + "C0000000\r\n" + std::string(200'000, 'a'),
                                true)));

// Guards against a server whose valid events never end: its client got neither an end nor a close.
TEST_F(PlatformRig, EndlessStreamOfValidEventsIsCutAtTheMaximumBodySize) {
    constexpr std::size_t kMaxBody = 256 * 1024;
    std::size_t sent = 0;
    begin(
        [&](auto& p) {
            p.send(kStreamHead);
            for (; sent <= kMaxBody; sent += kEvent.size()) p.send(chunked(kEvent));
        },
        [](auto& s) { s.limits.stream_idle_timeout = 1h; });  // only the size can end the stream
    RawClient& c = client();
    c.send(messages::post("a1"));
    ASSERT_TRUE(until([&] { return c.closed(); }));
    EXPECT_GT(c.got().size(), kMaxBody);
    EXPECT_EQ(c.got().find("\r\n0\r\n\r\n"), std::string::npos);
    EXPECT_TRUE(until([&] { return writer->peers[0]->disconnected; }));
}

TEST_F(PlatformRig, ValidStreamWithInformationalResponsesOrExtraBytesIsServed) {
    for (const auto& all :
         {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + kStream,
          kStream + kStream}) {
        begin([&](auto& p) { p.send(all); });
        EXPECT_TRUE(served("a1"));
        EXPECT_TRUE(served("a2"));
        stop();
    }
}

// ---- shutdown ----

// During the grace period new connections are accepted, and clients can use their open connections.
TEST_F(PlatformRig, AcceptsRequestsForAGracePeriodAfterTheSignalThenEnds) {
    begin([](auto& p) { p.send(kStream); }, [](auto& s) { s.limits.drain_grace = 300ms; });
    RawClient& reused = client();
    reused.send(messages::post("a1"));
    ASSERT_TRUE(answered(reused, "[DONE]"));
    edge->drain();
    for (const auto* id : {"a2", "a3"}) {
        const auto before = reused.got().size();
        reused.send(messages::post(id));
        ASSERT_TRUE(until([&] { return reused.got().find("0\r\n\r\n", before) != std::string::npos; }));
    }
    EXPECT_TRUE(served("a4"));
    EXPECT_TRUE(until([&] { return reused.closed(); }));
    EXPECT_TRUE(until([&] { return edge->finished(); }));
}

}  // namespace
}  // namespace chalksail::net::testing
