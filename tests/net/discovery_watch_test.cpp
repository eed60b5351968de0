// The watch of the endpoint list on real sockets: lists that are late, slow, malformed or out of order, a
// discovery service that is silent or moves.
#include "net/platform_rig.hpp"

namespace chalksail::net::testing {
namespace {

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

}  // namespace
}  // namespace chalksail::net::testing
