// Races between events of a client, the edge and a server, on loopback sockets. Events that must coincide are
// triggered between two loop iterations by peers that don't use the loop; no test depends on timing.
#include "net/platform_rig.hpp"

namespace chalksail::net::testing {
namespace {

// ---- clients' closes ----

enum class ClientClose { close, reset, half_close };
void close_client(DirectClient& client, ClientClose how) {
    switch (how) {
        case ClientClose::close: return client.close();
        case ClientClose::reset: return client.reset();
        case ClientClose::half_close: return client.half_close();
    }
}

class ClientCloses : public PlatformRig, public ::testing::WithParamInterface<ClientClose> {};
INSTANTIATE_TEST_SUITE_P(Kinds, ClientCloses,
                         ::testing::Values(ClientClose::close, ClientClose::reset, ClientClose::half_close));

// Guards against an attempt for a client that closed right after its request: the loop reads the request in
// one iteration and sees the close in the next.
TEST_P(ClientCloses, RightAfterTheRequestOnANewConnection) {
    begin([](auto& p) { p.send(kStream); });
    ASSERT_TRUE(served("a0"));
    DirectClient disconnected(edge->address());
    disconnected.send(messages::post("a1"));
    close_client(disconnected, GetParam());
    ASSERT_TRUE(served("a2"));  // a later request was served, so the first one was read
    EXPECT_EQ(reader->requests, 2);
    EXPECT_EQ(edge->gauges().open_requests, 0U);
}

TEST_P(ClientCloses, RightAfterTheRequestOnAReusedConnection) {
    begin([](auto& p) { p.send(kStream); });
    DirectClient disconnected(edge->address());
    disconnected.send(messages::post("a0"));
    ASSERT_TRUE(until(
        [&] { return disconnected.read() && disconnected.got.find("0\r\n\r\n") != std::string::npos; }));
    disconnected.send(messages::post("a1"));
    close_client(disconnected, GetParam());
    ASSERT_TRUE(served("a2"));
    EXPECT_EQ(reader->requests, 2);
    EXPECT_EQ(edge->gauges().open_requests, 0U);
}

// Guards against an attempt that starts on the first event of a loop iteration although the client's close
// arrives in the same iteration: all events must be processed before anything is sent.
TEST_P(ClientCloses, InTheIterationInWhichItsServersAreListed) {
    quiet = true;
    begin([](auto& p) { p.send(kStream); });
    ASSERT_TRUE(until([&] { return !discovery->peers.empty() && discovery->requests == 1; }));
    DirectClient disconnected(edge->address());
    disconnected.send(messages::post("a1"));
    ASSERT_TRUE(until([&] { return edge->gauges().open_requests == 1; }));
    answer_discovery(*discovery->peers[0]);
    close_client(disconnected, GetParam());
    ASSERT_TRUE(served("a2"));
    EXPECT_EQ(reader->requests, 1);
}

TEST_P(ClientCloses, WhileItsPrefillIsRunning) {
    begin([](auto& p) { p.send(kStream); });
    ASSERT_TRUE(served("a0"));
    DirectClient disconnected(edge->address());
    disconnected.send(messages::post("a1"));
    ASSERT_TRUE(until([&] { return reader->requests == 2; }));  // its response is on the way
    close_client(disconnected, GetParam());
    ASSERT_TRUE(
        until([&] { return edge->gauges().open_requests == 0 && edge->gauges().kv_states_held == 0; }));
    ASSERT_TRUE(served("a2"));
    EXPECT_EQ(writer->requests, 2);
}

// Guards against back-pressure that stops reading and so hides the close of a client that pipelined much.
TEST_P(ClientCloses, AfterPipeliningMoreThanTheLimit) {
    begin([](auto&) {},  // the writer never responds
          [](auto& s) { s.limits.pipelined_bytes = 2000; });
    DirectClient disconnected(edge->address());
    disconnected.send(messages::post("a1"));
    ASSERT_TRUE(until([&] { return writer->requests == 1; }));
    std::string ahead;
    for (int i = 0; i < 100; ++i) ahead += messages::post("b" + std::to_string(i));
    disconnected.send(ahead);
    close_client(disconnected, GetParam());
    EXPECT_TRUE(until([&] { return edge->gauges().open_requests == 0; }));
    EXPECT_EQ(writer->requests, 1);
}

// A client that pipelines too much gets the responses to its buffered requests in order, then a 503 and an
// orderly close.
TEST_F(PlatformRig, ClientThatPipelinesTooMuchIsAnsweredAndRejected) {
    RawServer::Peer* first_request = nullptr;
    begin(
        [&](auto& p) {
            if (first_request == nullptr) first_request = &p;
            else p.send(kStream);
        },
        [](auto& s) { s.limits.pipelined_bytes = 400; });
    DirectClient c(edge->address());
    c.send(messages::post("a1"));
    ASSERT_TRUE(until([&] { return first_request != nullptr; }));
    c.send(messages::post("b0"));
    ASSERT_TRUE(served("other"));  // by then b0 was read
    c.send(messages::post("b1"));  // exceeds the limit, and is still buffered
    ASSERT_TRUE(served("other2"));
    c.send(messages::post("b2"));  // is discarded
    ASSERT_TRUE(served("other3"));
    first_request->send(kStream);
    ASSERT_TRUE(until([&] { return !c.read(); }));
    EXPECT_TRUE(c.in_good_order);
    std::size_t streams = 0;
    for (auto at = c.got.find("HTTP/1.1 200"); at != std::string::npos;
         at = c.got.find("HTTP/1.1 200", at + 1))
        ++streams;
    EXPECT_EQ(streams, 3U);
    EXPECT_NE(c.got.find("HTTP/1.1 503"), std::string::npos);
}

// A connection that pipelines without end is closed and does not delay other clients.
TEST_F(PlatformRig, EndlessPipeliningIsEndedAndDelaysNoOtherClient) {
    int answered_writes = 0;
    begin(
        [&](auto& p) {
            if (++answered_writes > 1) p.send(kStream);
        },
        [](auto& s) { s.limits.pipelined_bytes = 4000; });
    RawClient& flood = client();
    flood.send(messages::post("a1"));
    ASSERT_TRUE(until([&] { return writer->requests == 1; }));
    flood.send(std::string(16U * 1024 * 1024, 'x'));
    ASSERT_TRUE(served("a2"));
    EXPECT_TRUE(until([&] { return flood.closed(); }));
}

// ---- shutting down ----

// Guards against a reset while a request is on its way: draining shuts the idle connection down, a later
// request is not accepted, and its client sees an orderly close, so that it can send the request elsewhere.
TEST_F(PlatformRig, RequestDuringTheShutdownIsNotAcceptedAndItsClientSeesAnOrderlyClose) {
    begin([](auto& p) { p.send(kStream); }, [](auto& s) { s.limits.drain_grace = 0ms; });
    DirectClient c(edge->address());
    c.send(messages::post("a1"));
    ASSERT_TRUE(until([&] { return c.read() && c.got.find("0\r\n\r\n") != std::string::npos; }));
    edge->drain();
    c.send(messages::post("a2"));
    c.got.clear();
    bool open = true;
    ASSERT_TRUE(until([&] { return !(open = c.read()); }));
    EXPECT_FALSE(open);
    EXPECT_TRUE(c.in_good_order);
    EXPECT_TRUE(c.got.empty());
    EXPECT_EQ(reader->requests, 1);
    c.close();
    EXPECT_TRUE(until([&] { return edge->finished(); }));
}

// A request that was received before the signal is answered, whether it was read or not.
TEST_F(PlatformRig, RequestReceivedBeforeTheShutdownIsAnswered) {
    for (const bool reused : {false, true}) {
        begin([](auto& p) { p.send(kStream); }, [](auto& s) { s.limits.drain_grace = 0ms; });
        ASSERT_TRUE(served("a0"));
        DirectClient c(edge->address());
        c.send(messages::post("a1"));
        if (reused) {
            ASSERT_TRUE(until([&] { return c.read() && c.got.find("0\r\n\r\n") != std::string::npos; }));
            c.got.clear();
            c.send(messages::post("a2"));
        } else {
            // The connection is accepted, but nothing was read from it.
            ASSERT_TRUE(served("a3"));
            c.send(messages::post("a4"));
        }
        edge->drain();
        ASSERT_TRUE(until([&] { return !c.read(); }));
        EXPECT_TRUE(c.in_good_order);
        EXPECT_NE(c.got.find("HTTP/1.1 "), std::string::npos);
        c.close();
        EXPECT_TRUE(until([&] { return edge->finished(); }));
        stop();
    }
}

// Guards against discarding pipelined requests that were read before the shutdown.
TEST_F(PlatformRig, PipelinedRequestsReadBeforeTheShutdownAreAnswered) {
    RawServer::Peer* first_request = nullptr;
    begin(
        [&](auto& p) {
            if (first_request == nullptr) first_request = &p;
            else p.send(kStream);
        },
        [](auto& s) { s.limits.drain_grace = 0ms; });
    DirectClient c(edge->address());
    c.send(messages::post("a1") + messages::post("a2") + messages::post("a3"));
    ASSERT_TRUE(until([&] { return first_request != nullptr; }));
    edge->drain();
    edge->drain();  // a second signal changes nothing
    first_request->send(kStream);
    ASSERT_TRUE(until([&] { return !c.read(); }));
    EXPECT_TRUE(c.in_good_order);
    std::size_t answers = 0;
    for (auto at = c.got.find("HTTP/1.1 "); at != std::string::npos; at = c.got.find("HTTP/1.1 ", at + 1))
        ++answers;
    EXPECT_EQ(answers, 3U);
    c.close();
    EXPECT_TRUE(until([&] { return edge->finished(); }));
}

// A request that was received in part before the signal is completed and answered, also if it was cut between
// its head and its body.
TEST_F(PlatformRig, RequestReceivedInPartAtTheShutdownIsAnswered) {
    const std::string whole_request = messages::post("a1");
    for (const std::size_t cut :
         {std::size_t{10}, whole_request.find("\r\n\r\n") + 4, whole_request.size() - 1}) {
        begin([](auto& p) { p.send(kStream); }, [](auto& s) { s.limits.drain_grace = 0ms; });
        ASSERT_TRUE(served("a0"));
        DirectClient c(edge->address());
        c.send(whole_request.substr(0, cut));
        ASSERT_TRUE(served("a2"));  // by then the first part was read
        edge->drain();
        c.send(whole_request.substr(cut));
        ASSERT_TRUE(until([&] { return !c.read(); })) << cut;
        EXPECT_TRUE(c.in_good_order) << cut;
        EXPECT_NE(c.got.find("HTTP/1.1 "), std::string::npos) << cut;
        c.close();
        EXPECT_TRUE(until([&] { return edge->finished(); }));
        stop();
    }
}

// A stream that its server ends after the signal reaches a slow client completely.
TEST_F(PlatformRig, StreamEndedAfterTheSignalReachesASlowClientCompletely) {
    RawServer::Peer* stream = nullptr;
    begin([&](auto& p) { stream = &p; },
          [](auto& s) {
              s.limits.drain_grace = 0ms;
              s.limits.max_stream_bytes = std::size_t{1} << 30U;  // the stream has to fill socket buffers
          });
    DirectClient c(edge->address());
    c.send(messages::post("a1"));
    ASSERT_TRUE(until([&] { return stream != nullptr; }));
    stream->send(kStreamHead + chunked(kEvent));
    ASSERT_TRUE(until([&] { return edge->gauges().started_streams == 1; }));
    edge->drain();
    const std::string event = "data: {\"x\":\"" + std::string(10'000, 'y') + "\"}\n\n";
    std::string rest;
    for (int i = 0; i < 200; ++i) rest += chunked(event);
    stream->send(rest + chunked("data: [DONE]\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(until([&] { return edge->gauges().started_streams == 0; }) || c.read());
    ASSERT_TRUE(until([&] { return !c.read(); }));
    EXPECT_TRUE(c.in_good_order);
    EXPECT_TRUE(c.got.ends_with("0\r\n\r\n"));
    c.close();
    EXPECT_TRUE(until([&] { return edge->finished(); }));
}

// At the end of the drain time connections are closed in the same orderly way: a client receives all written
// output, also if it has sent another request.
TEST_F(PlatformRig, EndOfTheDrainTimeLosesNoWrittenOutput) {
    RawServer::Peer* stream = nullptr;
    begin([&](auto& p) { stream = &p; },
          [](auto& s) {
              s.limits.drain_grace = 0ms;
              s.limits.drain_timeout = 1ms;
          });
    DirectClient c(edge->address());
    c.send(messages::post("a1"));
    ASSERT_TRUE(until([&] { return stream != nullptr; }));
    stream->send(kStreamHead + chunked(kEvent));
    ASSERT_TRUE(until([&] { return c.read() && c.got.find(kEvent) != std::string::npos; }));
    edge->drain();
    ASSERT_TRUE(until([&] { return edge->gauges().open_requests == 0; }));
    c.send(messages::post("a2"));
    ASSERT_TRUE(until([&] { return !c.read(); }));
    EXPECT_TRUE(c.in_good_order);
    EXPECT_FALSE(c.got.ends_with("0\r\n\r\n"));
    c.close();
    EXPECT_TRUE(until([&] { return edge->finished(); }));
}

// Guards against closing the listener while its backlog holds a connection, with a request, that arrived
// while the loop was busy.
TEST_F(PlatformRig, RequestInTheBacklogWhenTheListenerClosesIsAnswered) {
    begin([](auto& p) { p.send(kStream); }, [](auto& s) { s.limits.drain_grace = 1ms; });
    ASSERT_TRUE(served("a0"));
    edge->drain();
    DirectClient c(edge->address());
    c.send(messages::post("a1"));
    // Keeps the loop busy past the grace, so that its timer is due in the iteration that reports the
    // connection.
    const auto begun = uv_hrtime();
    while (uv_hrtime() < begun + 100'000'000) {
    }
    ASSERT_TRUE(until([&] { return !c.read(); }));
    EXPECT_TRUE(c.in_good_order);
    EXPECT_NE(c.got.find("HTTP/1.1 "), std::string::npos);
    c.close();
    EXPECT_TRUE(until([&] { return edge->finished(); }));
}

// ---- readiness ----

// While discovery is silent and silent clients use up the connection limit, the gateway is ready and accepts
// requests. They are served once discovery delivers the server list.
TEST_F(PlatformRig, ReadyDespiteManySilentClientsWhileDiscoveryIsDown) {
    watch_limits.object_silence_timeout = 50ms;
    quiet = true;
    begin([](auto& p) { p.send(kStream); }, [](auto& s) { s.limits.client_connections = 8; });
    for (int i = 0; i < 30; ++i) client();
    DirectClient probe(edge->address());
    probe.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    ASSERT_TRUE(until([&] { return !probe.read() || probe.got.find("\r\n\r\n") != std::string::npos; }));
    EXPECT_TRUE(probe.got.starts_with("HTTP/1.1 200"));
    DirectClient c(edge->address());
    c.send(messages::post("a1"));
    ASSERT_TRUE(until([&] { return edge->gauges().open_requests == 1 && discovery->requests >= 2; }));
    quiet = false;
    ASSERT_TRUE(until([&] { return !c.read() || c.got.find("0\r\n\r\n") != std::string::npos; }));
    EXPECT_TRUE(c.got.starts_with("HTTP/1.1 200"));
}

// ---- events ----

// Each event is forwarded before the next is written, although another client has stopped reading.
TEST_F(PlatformRig, EventsAreForwardedOneByOneDespiteASlowClient) {
    std::vector<RawServer::Peer*> streams;
    begin([&](auto& p) { streams.push_back(&p); });
    RawClient& slow = client();
    slow.send(messages::post("a1"));
    ASSERT_TRUE(until([&] { return streams.size() == 1; }));
    slow.stop_reading();
    streams[0]->send(kStreamHead);
    for (int i = 0; i < 2000; ++i)
        streams[0]->send(chunked("data: {\"x\":\"" + std::string(10'000, 'y') + "\"}\n\n"));
    RawClient& c = client();
    c.send(messages::post("a2"));
    ASSERT_TRUE(until([&] { return streams.size() == 2; }));
    streams[1]->send(kStreamHead);
    for (int i = 0; i < 50; ++i) {
        const std::string event = "data: {\"n\":" + std::to_string(i) + "}\n\n";
        streams[1]->send(chunked(event));
        ASSERT_TRUE(until([&] { return c.got().find(event) != std::string::npos; })) << i;
    }
}

// ---- idle connections to servers ----

// A second response, a 408 or part of a status line after a response must not be taken for the next call's
// response, whether it arrives with the first response or later.
TEST_F(PlatformRig, BytesAfterAResponseDoNotAnswerAnotherRequest) {
    for (const auto& more :
         {kStream, std::string("HTTP/1.1 408 X\r\nContent-Length: 0\r\n\r\n"), std::string("HTTP/1.1 20")}) {
        for (const bool together : {true, false}) {
            std::vector<RawServer::Peer*> writes;
            begin([&](auto& p) {
                writes.push_back(&p);
                if (writes.size() > 1) return p.send(kStream);
                p.send(together ? kStream + more : kStream);
            });
            ASSERT_TRUE(served("a1"));
            if (!together) writes[0]->send(more);
            ASSERT_TRUE(served("a2"));
            EXPECT_EQ(writes.size(), 2U);
            EXPECT_EQ(writer->peers.size(), 2U);
            stop();
        }
    }
}

}  // namespace
}  // namespace chalksail::net::testing
