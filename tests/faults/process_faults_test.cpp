// Real gateway processes under injected faults. The verdicts are of order (what came before what), never of
// time.
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
        client.send(told::post("9b1f", cls, "", "20000m"));
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
        client.send(told::post("a" + std::to_string(i)));
        EXPECT_TRUE(answered_whole(client)) << i << "\n" << log();
    }
}

// Guards against a client that counts as gone because a look at its socket failed for a moment.
TEST_F(ProcessRig, RequestSurvivesFailuresOfLooksAtItsClient) {
    serve_reads();
    serve_writes();
    start(reader->address, writer->address, "recv@client:EINTR:1:2:4 recv@client:ENOMEM:2:4:3");
    for (int i = 0; i < 8; ++i) {
        DirectClient client(address);
        client.send(told::post("a" + std::to_string(i)));
        EXPECT_TRUE(answered_whole(client)) << i << "\n" << log();
    }
}

}  // namespace
}  // namespace chalksail::faults::testing
