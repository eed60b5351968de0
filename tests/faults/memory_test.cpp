// Crowds of clients, and servers, that make a gateway process with little memory hold as much as it can. Its
// resident memory must never pass the limit in its settings.
#include "faults/crowd_rig.hpp"

namespace chalksail::faults::testing {
namespace {

using namespace std::chrono_literals;

class MemoryLimit : public CrowdRig {
protected:
    static constexpr auto kCrowdTime = 2500ms;

    // Starts a gateway with the least memory and 1,024 descriptors, a reader, and a writer that answers with
    // this stream.
    void begin(const std::string& stream = kStream) {
        set_limits(kMemoryMb, 1024);
        start_reader();
        writer = std::make_unique<RawServer>(loop, [stream](RawServer::Peer& p) {
            p.send(p.server->last.starts_with("DELETE") ? kNoContentResponse : stream);
        });
        start(reader->address, writer->address, "");
    }
    // Lets a crowd of these clients act.
    void run_crowd(const std::function<CrowdClient::Behaviour(int)>& behaviour) {
        add(kCrowd, behaviour);
        run_for(kCrowdTime);
        expect_within_memory();
    }
    // The same, and expects that usual clients are served behind it.
    void run_crowd_then_serve(const std::function<CrowdClient::Behaviour(int)>& behaviour) {
        run_crowd(behaviour);
        crowd.clear();
        EXPECT_EQ(count_served(3, "behind"), 3) << log();
        expect_within_memory();
    }
};

// Guards against heads that take much more memory than their bytes: a field of four bytes was stored in two
// strings, and counted as one byte.
TEST_F(MemoryLimit, IsKeptForHeadsOfVeryManyShortFields) {
    begin();
    run_crowd_then_serve([](int) { return CrowdClient::Behaviour{head_of_short_fields(16'000)}; });
}

// The same for heads that are complete, of clients that stop within the body.
TEST_F(MemoryLimit, IsKeptForHeadsOfVeryManyShortFieldsAheadOfABody) {
    begin();
    run_crowd_then_serve([](int) {
        return CrowdClient::Behaviour{
            head_of_short_fields(7'000, "Content-Length: 50000\r\n\r\n" + std::string(20, 'x'))};
    });
}

TEST_F(MemoryLimit, IsKeptForClientsThatStopHalfWayThroughALargeRequest) {
    begin();
    run_crowd_then_serve([](int i) {
        const std::string request = large_post("h" + std::to_string(i), 262'000);
        return CrowdClient::Behaviour{request.substr(0, 200'000)};
    });
}

TEST_F(MemoryLimit, IsKeptForClientsThatWriteLargeRequestsSlowly) {
    begin();
    run_crowd_then_serve([](int i) {
        return CrowdClient::Behaviour{large_post("s" + std::to_string(i), 262'000), 700};
    });
}

TEST_F(MemoryLimit, IsKeptForClientsThatReadLongResponsesSlowly) {
    begin(long_stream(30, 8'000));
    run_crowd_then_serve([](int i) {
        return CrowdClient::Behaviour{platform_messages::post("r" + std::to_string(i)), 16 * 1024, 100, 2048};
    });
}

// Large requests are retained while the servers that they were sent to do not respond.
TEST_F(MemoryLimit, IsKeptForLargeRequestsAtSilentServers) {
    set_limits(kMemoryMb, 1024);
    reader = std::make_unique<RawServer>(loop, [](RawServer::Peer& p) {
        if (p.server->last.starts_with("DELETE")) p.send(kNoContentResponse);
    });
    start_writer();
    start(reader->address, writer->address, "");
    add(kCrowd,
        [](int i) { return CrowdClient::Behaviour{large_post("l" + std::to_string(i), 200'000, "order")}; });
    run_for(kCrowdTime);
    expect_within_memory();
}

TEST_F(MemoryLimit, IsKeptForPipelinedRequests) {
    begin();
    run_crowd_then_serve([](int) {
        std::string requests;
        for (int i = 0; i < 400; ++i) requests += platform_messages::post("p" + std::to_string(i));
        return CrowdClient::Behaviour{requests};
    });
}

// Servers whose response heads have very many short fields: the same fault on the other side.
TEST_F(MemoryLimit, IsKeptForResponseHeadsOfVeryManyShortFields) {
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < 15'000; ++i) head += "a:\r\n";
    begin(head);
    run_crowd([](int i) {
        return CrowdClient::Behaviour{platform_messages::post("f" + std::to_string(i), "order")};
    });
}

// Servers that write an event, or a prefill's response, up to the size limit and then stop.
TEST_F(MemoryLimit, IsKeptForResponsesThatStopWithinALargeEvent) {
    begin(kStreamHead + chunked("data: " + std::string(64'000, 'x')));
    run_crowd([](int i) {
        return CrowdClient::Behaviour{platform_messages::post("e" + std::to_string(i), "order")};
    });
}

// Guards against reading megabytes of one connection in a single turn of the loop.
TEST_F(MemoryLimit, IsKeptForResponsesThatNeverEnd) {
    std::string endless = kStreamHead;
    for (int i = 0; i < 40; ++i) endless += chunked("data: " + std::string(60'000, 'x') + "\n\n");
    begin(endless);
    run_crowd([](int i) {
        return CrowdClient::Behaviour{platform_messages::post("n" + std::to_string(i), "order")};
    });
}

}  // namespace
}  // namespace chalksail::faults::testing
