// Clients that close their connections while the gateway has much of what they sent still to read, and ids
// that come again.
#include <csignal>

#include "faults/crowd_rig.hpp"

namespace chalksail::faults::testing {
namespace {

using namespace std::chrono_literals;

class ClientLeaves : public CrowdRig {
protected:
    // The longest time for which a gateway may be held up, with a margin.
    static constexpr auto kHoldUp = 200ms;

    void begin() {
        start_reader();
        start_writer();
        start(reader->address, writer->address, "");
    }
    // Counts the requests that reach a model server.
    [[nodiscard]] int attempts() const { return reader->requests + writer->requests - releases; }
    // While the gateway is held up, a client connects, sends as much of `bytes` as the system accepts, and
    // closes its connection.
    void send_and_close_while_held_up(const std::string& bytes) {
        ::kill(gateway(), SIGSTOP);
        CrowdClient::Behaviour behaviour{bytes, bytes.size(), 0};
        crowd.push_back(std::make_unique<CrowdClient>(address, std::move(behaviour)));
        run_for(kHoldUp / 2);
        crowd.clear();
        run_for(kHoldUp);
        ::kill(gateway(), SIGCONT);
    }
};

std::string small_orders(int count) {
    std::string requests;
    for (int i = 0; i < count; ++i) requests += platform_messages::post("i" + std::to_string(i), "order");
    return requests;
}

// Guards against attempts for a client that has closed its connection: the close stood behind megabytes of
// pipelined requests, and the first of these was begun before the rest had been read.
TEST_F(ClientLeaves, PipelinedRequestsAreNotBegunBehindItsClose) {
    begin();
    send_and_close_while_held_up(small_orders(20'000));
    run_for(500ms);
    EXPECT_EQ(attempts(), 0) << log();
    EXPECT_EQ(count_served(1, "behind"), 1);
}

// The same with large requests, each of which takes several reads.
TEST_F(ClientLeaves, LargePipelinedRequestsAreNotBegunBehindItsClose) {
    begin();
    std::string requests;
    for (int i = 0; i < 40; ++i) requests += large_post("b" + std::to_string(i), 100'000, "order");
    send_and_close_while_held_up(requests);
    run_for(500ms);
    EXPECT_EQ(attempts(), 0) << log();
    EXPECT_EQ(count_served(1, "behind"), 1);
}

// A client that stays gets all its answers, however much it has sent at once.
TEST_F(ClientLeaves, PipelinedRequestsOfAClientThatStaysAreServed) {
    begin();
    DirectClient client(address);
    constexpr int kRequests = 100;
    std::string requests;
    for (int i = 0; i < kRequests; ++i) requests += platform_messages::post("k" + std::to_string(i));
    client.send(requests);
    const auto complete = [&] {
        int streams = 0;
        for (auto at = client.got.find("[DONE]"); at != std::string::npos;
             at = client.got.find("[DONE]", at + 1))
            streams += 1;
        return streams;
    };
    EXPECT_TRUE(until([&] { return !client.read() || complete() == kRequests; }));
    EXPECT_EQ(complete(), kRequests) << log();
}

// Guards against an id that ran twice: its client left, and sent the request again.
TEST_F(ClientLeaves, IdThatMayHaveRunIsNotRunAgain) {
    int decodes = 0;
    start_reader();
    writer = std::make_unique<RawServer>(loop, [&decodes](RawServer::Peer& p) {
        if (p.server->last.starts_with("DELETE")) return p.send(kNoContentResponse);
        decodes += 1;  // and no response
    });
    start(reader->address, writer->address, "");
    {
        DirectClient client(address);
        client.send(platform_messages::post("9b1f", "order"));
        ASSERT_TRUE(until([&] { return decodes == 1; })) << log();
    }
    ASSERT_TRUE(until([&] { return log().find("client_gone") != std::string::npos; }));
    DirectClient again(address);
    again.send(platform_messages::post("9b1f", "order"));
    ASSERT_TRUE(answered_completely(again)) << log();
    EXPECT_EQ(decodes, 1) << again.got;
    EXPECT_FALSE(again.got.starts_with("HTTP/1.1 503")) << again.got;  // it would promise that it has not run
}

}  // namespace
}  // namespace chalksail::faults::testing
