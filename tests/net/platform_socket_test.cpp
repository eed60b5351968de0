// The edge on the users' platform, on real sockets, against scripted peers.
#include "net/platform_rig.hpp"

namespace chalksail::net::testing {
namespace {

TEST_F(PlatformRig, ServesAStream) {
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(served("a1"));
    EXPECT_TRUE(served("a2"));
    EXPECT_EQ(writer->peers.size(), 1U);  // the connection was kept
    EXPECT_NE(writer->last.find("X-Correlation-Id: a2"), std::string::npos);
}

// Clients that ask once and keep their connection for good filled all places, and whoever came next was
// closed on (half of a churn day was lost so).
TEST_F(PlatformRig, ReusableConnectionsMakeRoomForNewOnes) {
    begin([](auto& p) { p.send(kStream); }, [](auto& s) { s.limits.client_connections = 4; });
    for (int i = 0; i < 12; ++i) EXPECT_TRUE(served("a" + std::to_string(i))) << i;
    EXPECT_GE(std::count_if(clients.begin(), clients.end(), [](const auto& c) { return c->closed(); }), 8);
}

// A crowd that says nothing is let go of in its time, and never keeps a request out.
TEST_F(PlatformRig, ManySilentClientsKeepNobodyOut) {
    begin([](auto& p) { p.send(kStream); },
          [](auto& s) {
              s.limits.client_connections = 4;
              s.limits.first_timeout = 300ms;
          });
    for (int i = 0; i < 12; ++i) client();
    const auto client_workload = clients.size();
    EXPECT_TRUE(until([&] {
        return std::all_of(clients.begin(), clients.begin() + static_cast<std::ptrdiff_t>(client_workload),
                           [](const auto& c) { return c->closed(); });
    }));
    EXPECT_TRUE(served("a1"));
}

// An error that is followed by a close while the client still sends would be eaten by a reset.
TEST_F(PlatformRig, ErrorIsReadByAClientThatGoesOnSending) {
    begin([](auto& p) { p.send(kStream); });
    RawClient& c = client();
    c.send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
    for (int i = 0; i < 60; ++i) c.send(std::string(1'000'000, 'x'));
    EXPECT_TRUE(answered(c, "HTTP/1.1 413"));
    EXPECT_TRUE(until([&] { return c.closed(); }));
    EXPECT_EQ(reader->requests, 0);
}

// Each is within its own limit; all together they would take the memory.
TEST_F(PlatformRig, HalfRequestsTogetherStayWithinALimit) {
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

// Its end was there before the next request: that goes out on another connection, and only once.
TEST_F(PlatformRig, ConnectionThatWasClosedOrSentMoreIsNotReused) {
    for (const auto& more : {std::string(), kStream}) {
        int count = 0;
        begin([&](auto& p) {
            p.send(kStream);
            if (++count > 1) return;
            if (more.empty()) p.close();
            else p.send(more);
        });
        EXPECT_TRUE(served("a1"));
        EXPECT_TRUE(served("a2"));
        EXPECT_EQ(count, 2);
        EXPECT_EQ(writer->peers.size(), 2U);
        stop();
    }
}

// ---- bad clients ----

class BadClient : public PlatformRig, public ::testing::WithParamInterface<std::string> {};
TEST_P(BadClient, GetsAnErrorOrACloseAndNothingIsPassedOn) {
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

// Hundreds at once, on one connection and on many, and at once again after each refusal.
TEST_F(PlatformRig, CrowdsAreAnsweredOneByOne) {
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

// Guards against attempts for a client that has gone: a close behind bytes that nobody had read was not
// heard.
TEST_F(PlatformRig, CloseBehindRequestsSentAheadIsNoticed) {
    begin([](auto&) {});  // the writer says nothing
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

// ---- bad servers ----

class BadServer : public PlatformRig, public ::testing::WithParamInterface<std::pair<std::string, bool>> {};
TEST_P(BadServer, EndsTheClientsStreamOrItsAttemptAndIsNotUsedAgain) {
    int count = 0;
    begin([&](auto& p) { p.send(++count == 1 ? GetParam().first : kStream); });
    RawClient& c = client();
    c.send(messages::post("a1", "order"));
    if (GetParam().second) {  // events of it were passed on: cut, without the stream's end
        ASSERT_TRUE(until([&] { return c.closed(); }));
        EXPECT_NE(c.got().find(kEvent), std::string::npos);
        EXPECT_EQ(c.got().find("\r\n0\r\n\r\n"), std::string::npos);
    } else {
        EXPECT_TRUE(answered(c, "HTTP/1.1 502"));
    }
    EXPECT_EQ(count, 1);  // it may have run
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

TEST_F(PlatformRig, GoodStreamThatBringsMoreIsServed) {
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

TEST_F(PlatformRig, WatchIsTakenUpAgainWithTheWholeList) {
    watch_limits.silence_timeout = 1h;  // it is not silence that ends a watch here
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return watch_requests == 1; }));
    EXPECT_NE(discovery->last.find("/v1/endpoints?follow=1&since=41 "), std::string::npos);
    open_watch->close();
    ASSERT_TRUE(until([&] { return list_responses == 2 && watch_requests == 2; }));
    EXPECT_NE(discovery->last.find("/v1/endpoints?follow=1&since=41 "), std::string::npos);
    EXPECT_TRUE(served("a2"));
    // What can't be read: the list stays, and is asked for whole.
    open_watch->send(chunked("{\"generation\":42,\"instances\":[{}]}\n"));
    ASSERT_TRUE(until([&] { return list_responses == 3 && watch_requests == 3; }));
    EXPECT_TRUE(served("a3"));
}

// Guards against a discovery that starts anew under its watch and counts from a lower number: its changes
// were passed over as known. They tell that the whole list is needed.
TEST_F(PlatformRig, ChangesThatDoNotFollowAreAnsweredByTheWholeList) {
    watch_limits.silence_timeout = 1h;  // it is not silence that ends a watch here
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return watch_requests == 1; }));
    const auto disconnected = messages::instance("w1", "writer", format_address(writer->address), "removed");
    open_watch->send(chunked(messages::list_text(disconnected, 5, false) + "\n"));
    ASSERT_TRUE(until([&] { return list_responses == 2 && watch_requests == 2; }));
    EXPECT_TRUE(served("a2"));  // the whole list has the writer
    // An empty change of a known version tells nothing, and costs nothing.
    open_watch->send(chunked(messages::list_text("", 41, false) + "\n"));
    EXPECT_TRUE(served("a3"));
    EXPECT_EQ(discovery->requests, 4);
}

// A list may come in pieces, spread over lines, with white space anywhere.
TEST_F(PlatformRig, ListMayComeIndentedAndInParts) {
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return watch_requests == 1; }));
    const auto draining = messages::instance("w1", "writer", format_address(writer->address), "draining");
    const std::string spread =
        "\r\n  {\n  \"generation\": 42,\n\t\"reset\": false,\n  \"instances\": [\n    " + draining +
        "\n  ]\n}\n";
    for (const char c : spread) open_watch->send(chunked(std::string(1, c)));
    RawClient& c = client();
    ASSERT_TRUE(until([&] { return !in_service("w1"); }));
    c.send(messages::post("a2", "chat", "", "300m"));
    EXPECT_TRUE(answered(c, "HTTP/1.1 503"));  // no writer is in service
    EXPECT_EQ(discovery->requests, 2);
}

// The answer to a call for the list may be a stream that stays open: the watch does not wait for its end.
TEST_F(PlatformRig, ListThatDoesNotEndIsFollowedByTheWatch) {
    watch_limits.object_silence_timeout = 50ms;
    watch_limits.silence_timeout = 1h;
    bool watched = false;
    begin([](auto& p) { p.send(kStream); });
    edge.reset();
    discovery = std::make_unique<RawServer>(loop, [&](RawServer::Peer& p) {
        watched = watched || is_watch_request(*p.server);
        p.send(kStreamHead + (is_watch_request(*p.server) ? "" : chunked(whole(41) + "\n")));
    });
    open(std::nullopt, [](auto&) {});
    EXPECT_TRUE(served("a1"));
    EXPECT_TRUE(until([&] { return watched; }));
    EXPECT_EQ(discovery->requests, 2);
}

// Guards against a watch that stops inside an object: what was in it is missed, and a pause there is no pause
// between two changes.
TEST_F(PlatformRig, WatchThatStopsInsideAnObjectIsTakenUpAnewSoon) {
    watch_limits.object_silence_timeout = 50ms;
    watch_limits.silence_timeout = 1h;
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return watch_requests == 1; }));
    const int lists_before = list_responses;
    open_watch->send(chunked("{\"generation\":42,"));
    EXPECT_TRUE(until([&] { return list_responses > lists_before; }));
}

TEST_F(PlatformRig, OldListServesWhileDiscoveryIsDown) {
    quiet = true;
    begin([](auto& p) { p.send(kStream); });
    edge.reset();
    open(platform::parse_endpoint_list(whole(7)).value(), [](auto&) {});
    EXPECT_TRUE(served("a1"));
    EXPECT_TRUE(discovery->last.starts_with("GET /v1/endpoints HTTP/1.1\r\n"));
}

// A watch that says nothing, not even an empty line, may have lost its other end.
TEST_F(PlatformRig, SilentWatchIsTakenUpAnew) {
    watch_limits.silence_timeout = 100ms;
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(until([&] { return list_responses >= 3; }));
    EXPECT_TRUE(served("a1"));
}

// Guards against a call to a discovery that takes connections and says nothing: it is answered at once or
// given up, long before an old watch's silence counts.
TEST_F(PlatformRig, CallForTheListThatIsNotAnsweredIsMadeAnewSoon) {
    watch_limits.object_silence_timeout = 50ms;
    watch_limits.silence_timeout = 1h;
    quiet = true;
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(until([&] { return discovery->requests >= 3; }));
    quiet = false;
    EXPECT_TRUE(served("a1"));
}

// Guards against a discovery that is slower than the time given to a call: here each call is answered when
// the next one has come.
TEST_F(PlatformRig, ListThatIsAnsweredLateIsTaken) {
    watch_limits.object_silence_timeout = 50ms;
    watch_limits.silence_timeout = 1h;
    begin([](auto& p) { p.send(kStream); });
    edge.reset();
    RawServer::Peer* waiting = nullptr;
    discovery = std::make_unique<RawServer>(loop, [&](RawServer::Peer& p) {
        if (is_watch_request(*p.server)) return p.send(kStreamHead);
        if (waiting != nullptr) waiting->send(sized(200, whole(41)));
        waiting = &p;
    });
    open(std::nullopt, [](auto&) {});
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return is_watch_request(*discovery); }));
    EXPECT_EQ(discovery->requests, 3);                          // the list twice, then the watch
    EXPECT_TRUE(until([&] { return waiting->disconnected; }));  // its answer is not needed
}

// The later call may be answered first, and the earlier one after it.
TEST_F(PlatformRig, LateAnswerBehindTheListChangesNothing) {
    watch_limits.object_silence_timeout = 50ms;
    watch_limits.silence_timeout = 1h;
    begin([](auto& p) { p.send(kStream); });
    edge.reset();
    RawServer::Peer* waiting = nullptr;
    discovery = std::make_unique<RawServer>(loop, [&](RawServer::Peer& p) {
        if (is_watch_request(*p.server)) return p.send(kStreamHead);
        if (std::exchange(waiting, &p) == nullptr) return;
        p.send(sized(200, whole(41)));
        discovery->peers[0]->send(sized(200, whole(40)));
    });
    open(std::nullopt, [](auto&) {});
    EXPECT_TRUE(served("a1"));
    ASSERT_TRUE(until([&] { return is_watch_request(*discovery); }));
    EXPECT_EQ(discovery->requests, 3);
    EXPECT_TRUE(served("a2"));
}

// Guards against what was kept of the old discovery's versions: the new one may count from a lower number,
// and would leave out what it takes for known.
TEST_F(PlatformRig, DiscoveryMovesAndTheListStays) {
    begin([](auto& p) { p.send(kStream); });
    EXPECT_TRUE(served("a1"));
    RawServer other(loop, [](auto&) {});
    watch->move(other.address);
    ASSERT_TRUE(until([&] { return other.requests == 1; }));
    EXPECT_TRUE(other.last.starts_with("GET /v1/endpoints HTTP/1.1\r\n"));
    EXPECT_TRUE(served("a2"));
    other.peers[0]->send(sized(200, whole(3)));
    ASSERT_TRUE(until([&] { return other.requests == 2; }));
    EXPECT_NE(other.last.find("follow=1&since=3 "), std::string::npos);
    other.peers.back()->send(
        kStreamHead +
        chunked(
            messages::list_text(
                messages::instance("w1", "writer", format_address(writer->address), "draining"), 4, false) +
            "\n"));
    ASSERT_TRUE(until([&] { return !in_service("w1"); }));
    const auto sent = writer->requests;
    RawClient& c = client();
    c.send(messages::post("a3", "chat", "", "300m"));
    EXPECT_TRUE(answered(c, "HTTP/1.1 503"));  // no writer is in service
    EXPECT_EQ(writer->requests, sent);
    stop();
}

// ---- going away ----

// New connections still come, and clients go on with the ones that they have.
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
