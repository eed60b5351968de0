// The gateway on the users' platform, on real sockets, against scripted peers.
#include "net/platform_rig.hpp"

namespace chalksail::net::testing {
namespace {

TEST_F(PlatformRig, ServesAStream) {
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(served("a1"));
    EXPECT_TRUE(served("a2"));
    EXPECT_EQ(writer->peers.size(), 1U);  // the connection was reused
    EXPECT_NE(writer->last.find("X-Correlation-Id: a2"), std::string::npos);
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

// ---- discovery ----

TEST_F(PlatformRig, WatchIsReopenedAfterRequestingTheCompleteList) {
    watch_limits.silence_timeout = 1h;  // no watch times out in this test
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return watch_requests == 1; }));
    EXPECT_NE(discovery->last.find("/v1/endpoints?follow=1&since=41 "), std::string::npos);
    open_watch->close();
    ASSERT_TRUE(until([&] { return list_responses == 2 && watch_requests == 2; }));
    EXPECT_NE(discovery->last.find("/v1/endpoints?follow=1&since=41 "), std::string::npos);
    EXPECT_TRUE(served("a2"));
    // After a malformed update the list stays in force, and the complete list is requested.
    open_watch->send(chunked("{\"generation\":42,\"instances\":[{}]}\n"));
    ASSERT_TRUE(until([&] { return list_responses == 3 && watch_requests == 3; }));
    EXPECT_TRUE(served("a3"));
}

// Guards against a discovery that restarts during a watch and numbers its versions from a lower number: its
// changes were ignored as already known. Such changes mean that the complete list is needed.
TEST_F(PlatformRig, OutOfOrderChangesCauseARequestForTheCompleteList) {
    watch_limits.silence_timeout = 1h;  // no watch times out in this test
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return watch_requests == 1; }));
    const auto removed = messages::instance("w1", "writer", format_address(writer->address), "removed");
    open_watch->send(chunked(messages::list_text(removed, 5, false) + "\n"));
    ASSERT_TRUE(until([&] { return list_responses == 2 && watch_requests == 2; }));
    EXPECT_TRUE(served("a2"));  // the complete list contains the writer
    // An empty delta of the version in force is ignored.
    open_watch->send(chunked(messages::list_text("", 41, false) + "\n"));
    EXPECT_TRUE(served("a3"));
    EXPECT_EQ(discovery->requests, 4);
}

// A list may arrive byte by byte, spread over lines, with white space anywhere.
TEST_F(PlatformRig, IndentedListInManyPartsIsApplied) {
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return watch_requests == 1; }));
    const auto draining = messages::instance("w1", "writer", format_address(writer->address), "draining");
    const std::string indented =
        "\r\n  {\n  \"generation\": 42,\n\t\"reset\": false,\n  \"instances\": [\n    " + draining +
        "\n  ]\n}\n";
    for (const char c : indented) open_watch->send(chunked(std::string(1, c)));
    RawClient& c = client();
    ASSERT_TRUE(until([&] { return !in_service("w1"); }));
    c.send(messages::post("a2", "chat", "", "300m"));
    EXPECT_TRUE(answered_without_a_server(c));
    EXPECT_EQ(writer->requests, 1);  // that of a1
    EXPECT_EQ(discovery->requests, 2);
}

// The response to a list call may be a stream that stays open: the watch must not wait for its end.
TEST_F(PlatformRig, WatchFollowsAListResponseThatStaysOpen) {
    watch_limits.object_silence_timeout = 50ms;
    watch_limits.silence_timeout = 1h;
    bool watched = false;
    begin([](auto& p) { p.send(kStream); });
    edge.reset();
    discovery = std::make_unique<RawServer>(loop, [&](RawServer::Peer& p) {
        watched = watched || is_watch_request(*p.server);
        p.send(kStreamHead + (is_watch_request(*p.server) ? "" : chunked(complete_list(41) + "\n")));
    });
    open(std::nullopt, [](auto&) {});
    EXPECT_TRUE(served("a1"));
    EXPECT_TRUE(until([&] { return watched; }));
    EXPECT_EQ(discovery->requests, 2);
}

// Guards against treating a pause inside an object like a pause between two changes: the change in the
// incomplete object would be missed until the longer time-out.
TEST_F(PlatformRig, WatchThatStallsInsideAnObjectIsReplacedSoon) {
    watch_limits.object_silence_timeout = 50ms;
    watch_limits.silence_timeout = 1h;
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return watch_requests == 1; }));
    const int lists_before = list_responses;
    open_watch->send(chunked("{\"generation\":42,"));
    EXPECT_TRUE(until([&] { return list_responses > lists_before; }));
}

TEST_F(PlatformRig, CachedListIsUsedWhileDiscoveryIsDown) {
    quiet = true;
    begin([](auto& p) { p.send(kStream); });
    edge.reset();
    open(platform::parse_endpoint_list(complete_list(7)).value(), [](auto&) {});
    EXPECT_TRUE(served("a1"));
    EXPECT_TRUE(discovery->last.starts_with("GET /v1/endpoints HTTP/1.1\r\n"));
}

// A watch without any byte, not even white space, may have lost its connection.
TEST_F(PlatformRig, SilentWatchIsReplaced) {
    watch_limits.silence_timeout = 100ms;
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(until([&] { return list_responses >= 3; }));
    EXPECT_TRUE(served("a1"));
}

// Guards against waiting for a discovery that accepts connections and does not respond: a list call times out
// much sooner than a silent watch.
TEST_F(PlatformRig, UnansweredListCallIsRepeatedSoon) {
    watch_limits.object_silence_timeout = 50ms;
    watch_limits.silence_timeout = 1h;
    quiet = true;
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(until([&] { return discovery->requests >= 3; }));
    quiet = false;
    EXPECT_TRUE(served("a1"));
}

// Guards against never receiving a list from a discovery that is slower than the time-out of a call: here
// each call is answered only after the next one has arrived.
TEST_F(PlatformRig, LateListResponseIsApplied) {
    watch_limits.object_silence_timeout = 50ms;
    watch_limits.silence_timeout = 1h;
    begin([](auto& p) { p.send(kStream); });
    edge.reset();
    RawServer::Peer* waiting = nullptr;
    discovery = std::make_unique<RawServer>(loop, [&](RawServer::Peer& p) {
        if (is_watch_request(*p.server)) return p.send(kStreamHead);
        if (waiting != nullptr) waiting->send(sized(200, complete_list(41)));
        waiting = &p;
    });
    open(std::nullopt, [](auto&) {});
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return is_watch_request(*discovery); }));
    EXPECT_EQ(discovery->requests, 3);                          // two list calls, then the watch
    EXPECT_TRUE(until([&] { return waiting->disconnected; }));  // the second list call was cancelled
}

// Guards against never receiving a list from a discovery that takes longer than two time-outs of a call: a
// call was cancelled when the next one timed out. Here each call is answered when the second one after it has
// arrived.
TEST_F(PlatformRig, ListResponseThatIsLateByTwoCallsIsApplied) {
    watch_limits.object_silence_timeout = 50ms;
    watch_limits.silence_timeout = 1h;
    begin([](auto& p) { p.send(kStream); });
    edge.reset();
    std::vector<RawServer::Peer*> waiting;
    discovery = std::make_unique<RawServer>(loop, [&](RawServer::Peer& p) {
        if (is_watch_request(*p.server)) return p.send(kStreamHead);
        waiting.push_back(&p);
        if (waiting.size() > 2) waiting[waiting.size() - 3]->send(sized(200, complete_list(41)));
    });
    open(std::nullopt, [](auto&) {});
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return is_watch_request(*discovery); }));
    EXPECT_TRUE(until([&] { return waiting[1]->disconnected && waiting[2]->disconnected; }));
}

// The same for a list that begins in time and whose rest is late.
TEST_F(PlatformRig, ListWhoseRestIsLateIsApplied) {
    watch_limits.object_silence_timeout = 50ms;
    watch_limits.silence_timeout = 1h;
    begin([](auto& p) { p.send(kStream); });
    edge.reset();
    std::vector<RawServer::Peer*> waiting;
    discovery = std::make_unique<RawServer>(loop, [&](RawServer::Peer& p) {
        if (is_watch_request(*p.server)) return p.send(kStreamHead);
        waiting.push_back(&p);
        const std::string list = sized(200, complete_list(41));
        const std::size_t half = list.size() / 2;
        p.send(list.substr(0, half));
        if (waiting.size() > 1) waiting[waiting.size() - 2]->send(list.substr(half));
    });
    open(std::nullopt, [](auto&) {});
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return is_watch_request(*discovery); }));
    EXPECT_TRUE(until([&] { return waiting.back()->disconnected; }));
}

// A late response with an error status, or that is malformed, ends its call only.
TEST_F(PlatformRig, FailedLateListResponseDoesNotDisturbTheNextCall) {
    for (const auto& late : {sized(503, "{}"), sized(200, "not a list\n")}) {
        watch_limits.object_silence_timeout = 50ms;
        watch_limits.silence_timeout = 1h;
        begin([](auto& p) { p.send(kStream); });
        edge.reset();
        std::vector<RawServer::Peer*> waiting;
        discovery = std::make_unique<RawServer>(loop, [&](RawServer::Peer& p) {
            if (is_watch_request(*p.server)) return p.send(kStreamHead);
            waiting.push_back(&p);
            if (waiting.size() == 2) waiting[0]->send(late);
        });
        open(std::nullopt, [](auto&) {});
        ASSERT_TRUE(until([&] { return waiting.size() == 2; }));
        ASSERT_TRUE(until([&] { return waiting[0]->disconnected || waiting.size() > 2; }));
        EXPECT_FALSE(waiting[1]->disconnected);
        waiting[1]->send(sized(200, complete_list(41)));
        EXPECT_TRUE(served("a1"));
        ASSERT_TRUE(until([&] { return is_watch_request(*discovery); }));
        stop();
    }
}

// The later of two list calls may be answered first; the response to the earlier one is then ignored.
TEST_F(PlatformRig, LateResponseAfterTheListIsIgnored) {
    watch_limits.object_silence_timeout = 50ms;
    watch_limits.silence_timeout = 1h;
    begin([](auto& p) { p.send(kStream); });
    edge.reset();
    RawServer::Peer* waiting = nullptr;
    discovery = std::make_unique<RawServer>(loop, [&](RawServer::Peer& p) {
        if (is_watch_request(*p.server)) return p.send(kStreamHead);
        if (std::exchange(waiting, &p) == nullptr) return;
        p.send(sized(200, complete_list(41)));
        discovery->peers[0]->send(sized(200, complete_list(40)));
    });
    open(std::nullopt, [](auto&) {});
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return is_watch_request(*discovery); }));
    EXPECT_EQ(discovery->requests, 3);
    EXPECT_TRUE(served("a2"));
}

// Guards against using version numbers of the previous discovery with the new one, which may count from a
// lower number and would leave out changes that it takes for known.
TEST_F(PlatformRig, ListStaysInForceWhileDiscoveryMoves) {
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(served("a1"));
    RawServer other(loop, [](auto&) {});
    watch->move(other.address);
    ASSERT_TRUE(until([&] { return other.requests == 1; }));
    EXPECT_TRUE(other.last.starts_with("GET /v1/endpoints HTTP/1.1\r\n"));
    EXPECT_TRUE(served("a2"));
    other.peers[0]->send(sized(200, complete_list(3)));
    ASSERT_TRUE(until([&] { return other.requests == 2; }));
    EXPECT_NE(other.last.find("follow=1&since=3 "), std::string::npos);
    other.peers.back()->send(
        kStreamHead +
        chunked(
            messages::list_text(
                messages::instance("w1", "writer", format_address(writer->address), "draining"), 4, false) +
            "\n"));
    ASSERT_TRUE(until([&] { return !in_service("w1"); }));
    const auto requests_before = writer->requests;
    RawClient& c = client();
    c.send(messages::post("a3", "chat", "", "300m"));
    EXPECT_TRUE(answered_without_a_server(c));
    EXPECT_EQ(writer->requests, requests_before);
    stop();
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
