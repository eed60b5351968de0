// Real gateway processes under injected faults. The verdicts are of order (what came before what), never of
// time.
#include <random>

#include "faults/process_rig.hpp"

namespace chalksail::faults::testing {
namespace {

// Guards against a state that waits for a write which no server has read: the system of a server that hangs
// takes the bytes, and its connection stays open and silent. The state is released while that write is out,
// long before the request's own time is over.
TEST_F(ProcessRig, StateIsReleasedWhileItsWriteIsUnanswered) {
    for (const std::string cls : {"order", "chat"}) {
        HungServer hung;
        serve_reads();
        start(reader->address, hung.address(), "");
        DirectClient client(address);
        client.send(platform_messages::post("9b1f", cls, "", "20000m"));
        bool open = true;
        ASSERT_TRUE(until([&] {
            open = client.read();
            return releases > 0 || !client.got.empty() || !open;
        }));
        EXPECT_GT(releases, 0) << cls << "\n" << log();
        EXPECT_TRUE(client.got.empty()) << client.got;
        break_down();
    }
}

// Guards against a request that is lost while this machine is short of descriptors for a moment: a connection
// that can't be accepted now waits in the backlog, with its request.
TEST_F(ProcessRig, RequestSurvivesFailuresOfAccept) {
    serve_reads();
    serve_writes();
    start(reader->address, writer->address,
          "accept4:ENFILE:1:3:4 accept4:EMFILE:2:5:3 accept4:ENOBUFS:3:7:2");
    for (int i = 0; i < 12; ++i) {
        DirectClient client(address);
        client.send(platform_messages::post("a" + std::to_string(i)));
        EXPECT_TRUE(answered_whole(client)) << i << "\n" << log();
    }
}

// Guards against a client that counts as gone because a look at its socket failed for a moment.
TEST_F(ProcessRig, RequestSurvivesFailuresOfChecksOfItsClient) {
    serve_reads();
    serve_writes();
    start(reader->address, writer->address, "recv@client:EINTR:1:2:4 recv@client:ENOMEM:2:4:3");
    for (int i = 0; i < 8; ++i) {
        DirectClient client(address);
        client.send(platform_messages::post("a" + std::to_string(i)));
        EXPECT_TRUE(answered_whole(client)) << i << "\n" << log();
    }
}

// Guards against requests that are refused, and servers that are blamed, while this machine has no
// descriptor, port or route for a moment.
TEST_F(ProcessRig, RequestsAreServedDespiteFailuresOfDials) {
    serve_reads();
    serve_writes();
    start(
        reader->address, writer->address,
        "socket:ENFILE:2:3:20 connect:EADDRNOTAVAIL:2:3:10 connect:ENETUNREACH:3:5:10 connect:ENOBUFS:4:7:5");
    EXPECT_EQ(served(12, "a"), 12) << log();
    EXPECT_EQ(served(12, "b"), 12) << log();
}

// Interrupted waits, and reads and writes that move a byte at a time, change nothing.
TEST_F(ProcessRig, RequestsAreServedDespiteShortAndInterruptedCalls) {
    serve_reads();
    serve_writes();
    start(reader->address, writer->address,
          "epoll_wait:EINTR:5:5:100000 read:EINTR:3:3:100000 read:SHORT:2:5:100000 write:SHORT:2:4:100000 "
          "write:EINTR:3:7:100000 write:ENOBUFS:5:11:1000 recv:EINTR:2:3:100000 accept4:ECONNABORTED:1:2:100 "
          "accept4:EINTR:2:5:100");
    EXPECT_EQ(served(12, "a"), 12) << log();
    EXPECT_EQ(served(12, "b"), 12) << log();
}

// Guards against a gateway that does not come up for a moment's shortage.
TEST_F(ProcessRig, GatewayComesUpDespiteFailuresAtItsStart) {
    serve_reads();
    serve_writes();
    start(reader->address, writer->address, "socket:ENFILE:1:1:2 socket:ENOMEM:1:1:2");
    EXPECT_EQ(served(1, "a"), 1);
}

// Plans drawn from a seed, of all the failures that leave a request servable: each is served, and the process
// lives on.
class SeededPlan : public ProcessRig, public ::testing::WithParamInterface<unsigned> {
protected:
    static std::string plan(unsigned seed) {
        static const std::vector<std::string> faults = {
            "accept4:ENFILE",      "accept4:EMFILE",       "accept4:ENOBUFS", "accept4:ENOMEM",
            "accept4:EPROTO",      "accept4:ECONNABORTED", "accept4:EINTR",   "socket:ENFILE",
            "socket:EMFILE",       "socket:ENOBUFS",       "socket:ENOMEM",   "connect:EADDRNOTAVAIL",
            "connect:ENETUNREACH", "connect:ENOBUFS",      "connect:EAGAIN",  "recv:EINTR",
            "recv:ENOMEM",         "read:EINTR",           "read:SHORT",      "write:EINTR",
            "write:SHORT",         "write:ENOBUFS",        "epoll_wait:EINTR"};
        std::mt19937 draw(seed);
        std::string out;
        for (int i = 0; i < 6; ++i) {
            const auto first = 1 + draw() % 6;
            const auto every = 2 + draw() % 5;
            out += faults[draw() % faults.size()] + ":" + std::to_string(first) + ":" +
                   std::to_string(every) + ":12 ";
        }
        return out;
    }
};
INSTANTIATE_TEST_SUITE_P(Seeds, SeededPlan, ::testing::Range(1U, 13U));

TEST_P(SeededPlan, EveryRequestIsServed) {
    const std::string faults = plan(GetParam());
    serve_reads();
    serve_writes();
    start(reader->address, writer->address, faults);
    for (int round = 0; round < 3; ++round)
        EXPECT_EQ(served(10, "r" + std::to_string(round) + "-"), 10) << faults << "\n" << log();
    EXPECT_FALSE(exited) << faults;
}

// A server's connection that breaks with an error of the network ends its request like any other break, and
// no other one: what is behind it is served.
TEST_F(ProcessRig, BrokenConnectionsToServersEndTheirOwnRequestsOnly) {
    serve_reads();
    serve_writes();
    start(reader->address, writer->address, "read@server:ETIMEDOUT:4:6:3 read@server:EHOSTUNREACH:6:9:3");
    for (int i = 0; i < 8; ++i) {
        DirectClient client(address);
        client.send(platform_messages::post("a" + std::to_string(i), "chat", "", "20000m"));
        EXPECT_TRUE(answered_whole(client)) << i << "\n" << log();
    }
    EXPECT_FALSE(exited);
}

// Guards against a reload that is given up because its file can't be read at that moment: it may just be
// being replaced, or the system short of descriptors. What discovery tells counts soon after the signal.
TEST_F(ProcessRig, ConfigurationThatCantBeReadYetIsReadAgain) {
    serve_reads();
    serve_writes();
    start(reader->address, writer->address, "");
    ASSERT_EQ(served(1, "a"), 1);
    const std::string config = folder + "/config.json";
    std::ifstream in(config);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    RawServer moved(loop, [](RawServer::Peer& p) { p.send(kStreamHead); });
    const std::string from = format_address(discovery->address);
    text.replace(text.find(from), from.size(), format_address(moved.address));
    std::filesystem::remove(config);
    reload();
    ASSERT_TRUE(until([&] { return log().find("the old one stays") != std::string::npos; }));
    EXPECT_EQ(moved.requests, 0);
    std::ofstream(folder + "/new.json") << text;
    std::filesystem::rename(folder + "/new.json", config);
    EXPECT_TRUE(until([&] { return moved.requests > 0; })) << log();
}

}  // namespace
}  // namespace chalksail::faults::testing
