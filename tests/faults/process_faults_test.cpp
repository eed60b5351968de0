// Real gateway processes under injected faults. The tests check the order of events, never durations.
#include <random>

#include "faults/process_rig.hpp"

namespace chalksail::faults::testing {
namespace {

// Guards against holding KV state for a decode call that the server's process has not read: the kernel of a
// hung server accepts the bytes, and the connection stays open without a response. The state must be released
// while that call is open, long before the request's deadline.
TEST_F(ProcessRig, KvStateIsReleasedWhileTheDecodeCallIsUnanswered) {
    for (const std::string cls : {"order", "chat"}) {
        HungServer hung;
        start_reader();
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
        stop_all();
    }
}

// Guards against losing a request while the machine is short of descriptors for a moment: a connection that
// can't be accepted must wait in the backlog together with its request.
TEST_F(ProcessRig, RequestSurvivesFailuresOfAccept) {
    start_reader();
    start_writer();
    start(reader->address, writer->address,
          "accept4:ENFILE:1:3:4 accept4:EMFILE:2:5:3 accept4:ENOBUFS:3:7:2");
    for (int i = 0; i < 12; ++i) {
        DirectClient client(address);
        client.send(platform_messages::post("a" + std::to_string(i)));
        EXPECT_TRUE(answered_completely(client)) << i << "\n" << log();
    }
}

// Guards against treating a client as disconnected because a check of its socket failed temporarily.
TEST_F(ProcessRig, RequestSurvivesFailedChecksOfItsClientSocket) {
    start_reader();
    start_writer();
    start(reader->address, writer->address, "recv@client:EINTR:1:2:4 recv@client:ENOMEM:2:4:3");
    for (int i = 0; i < 8; ++i) {
        DirectClient client(address);
        client.send(platform_messages::post("a" + std::to_string(i)));
        EXPECT_TRUE(answered_completely(client)) << i << "\n" << log();
    }
}

// Guards against rejecting requests, or counting failures against servers, while this machine temporarily has
// no free descriptor or port, or no route.
TEST_F(ProcessRig, RequestsAreServedDespiteFailedDials) {
    start_reader();
    start_writer();
    start(
        reader->address, writer->address,
        "socket:ENFILE:2:3:20 connect:EADDRNOTAVAIL:2:3:10 connect:ENETUNREACH:3:5:10 connect:ENOBUFS:4:7:5");
    EXPECT_EQ(count_served(12, "a"), 12) << log();
    EXPECT_EQ(count_served(12, "b"), 12) << log();
}

// Interrupted waits, and reads and writes of single bytes, must not affect any request.
TEST_F(ProcessRig, RequestsAreServedDespiteShortAndInterruptedCalls) {
    start_reader();
    start_writer();
    start(reader->address, writer->address,
          "epoll_wait:EINTR:5:5:100000 read:EINTR:3:3:100000 read:SHORT:2:5:100000 write:SHORT:2:4:100000 "
          "write:EINTR:3:7:100000 write:ENOBUFS:5:11:1000 recv:EINTR:2:3:100000 accept4:ECONNABORTED:1:2:100 "
          "accept4:EINTR:2:5:100");
    EXPECT_EQ(count_served(12, "a"), 12) << log();
    EXPECT_EQ(count_served(12, "b"), 12) << log();
}

// Guards against a gateway that fails to start because of a temporary shortage of resources.
TEST_F(ProcessRig, GatewayStartsDespiteTemporaryFailures) {
    start_reader();
    start_writer();
    start(reader->address, writer->address, "socket:ENFILE:1:1:2 socket:ENOMEM:1:1:2");
    EXPECT_EQ(count_served(1, "a"), 1);
}

// Random plans of faults that still allow a request to be served: each request must be served, and the
// process must not exit.
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
    start_reader();
    start_writer();
    start(reader->address, writer->address, faults);
    for (int round = 0; round < 3; ++round)
        EXPECT_EQ(count_served(10, "r" + std::to_string(round) + "-"), 10) << faults << "\n" << log();
    EXPECT_FALSE(exited) << faults;
}

// A network error on a connection to a server must end only the request on that connection, as any other
// break does; later requests are served.
TEST_F(ProcessRig, BrokenConnectionsToServersEndTheirOwnRequestsOnly) {
    start_reader();
    start_writer();
    start(reader->address, writer->address, "read@server:ETIMEDOUT:4:6:3 read@server:EHOSTUNREACH:6:9:3");
    for (int i = 0; i < 8; ++i) {
        DirectClient client(address);
        client.send(platform_messages::post("a" + std::to_string(i), "chat", "", "20000m"));
        EXPECT_TRUE(answered_completely(client)) << i << "\n" << log();
    }
    EXPECT_FALSE(exited);
}

// Guards against abandoning a reload because the file can't be read at that moment: it may be about to be
// replaced, or the system may be short of descriptors. The new discovery address must take effect soon after
// the signal.
TEST_F(ProcessRig, UnreadableConfigurationIsReadAgain) {
    start_reader();
    start_writer();
    start(reader->address, writer->address, "");
    ASSERT_EQ(count_served(1, "a"), 1);
    const std::string config = folder + "/config.json";
    std::ifstream in(config);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    RawServer new_discovery(loop, [](RawServer::Peer& p) { p.send(kStreamHead); });
    const std::string old_address = format_address(discovery->address);
    text.replace(text.find(old_address), old_address.size(), format_address(new_discovery.address));
    std::filesystem::remove(config);
    reload();
    ASSERT_TRUE(until([&] { return log().find("the old one stays") != std::string::npos; }));
    EXPECT_EQ(new_discovery.requests, 0);
    std::ofstream(folder + "/new.json") << text;
    std::filesystem::rename(folder + "/new.json", config);
    EXPECT_TRUE(until([&] { return new_discovery.requests > 0; })) << log();
}

}  // namespace
}  // namespace chalksail::faults::testing
