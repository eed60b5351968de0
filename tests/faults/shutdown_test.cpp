// What a gateway still owes after SIGTERM, on real processes: it does not end by itself before that is done.
#include "faults/process_rig.hpp"

namespace chalksail::faults::testing {
namespace {

using namespace std::chrono_literals;

// Classes whose deadline is short; on this platform a request's own time grows with its prompt beyond it.
class Shutdown : public ProcessRig {
protected:
    Shutdown() {
        settings = {{"\"aim_ns\":1000000000,\"deadline_ns\":4000000000",
                     "\"aim_ns\":100000000,\"deadline_ns\":200000000"},
                    {"\"aim_ns\":2500000000,\"deadline_ns\":12000000000",
                     "\"aim_ns\":100000000,\"deadline_ns\":200000000"}};
    }
    // A writer that takes requests, and answers when the test says so.
    void take_writes() {
        writer = std::make_unique<RawServer>(loop, [this](RawServer::Peer& p) {
            if (p.server->last.starts_with("DELETE")) return p.send(kLetGo);
            writes.push_back(&p);
        });
    }
    // How long a server works on something; ends early once `over` holds.
    void work_for(std::chrono::milliseconds time, const std::function<bool()>& over) {
        const auto end = std::chrono::steady_clock::now() + time;
        until([&] { return over() || std::chrono::steady_clock::now() >= end; });
    }
    bool announced() {
        return until([this] { return log().find("stops accepting") != std::string::npos; });
    }

    static constexpr auto kLongWork = 1500ms;  // beyond any time that follows from the classes' deadlines
    std::vector<RawServer::Peer*> writes;
};

// Guards against a drain with a time of its own: a request that was taken and has time left is not cut by it.
TEST_F(Shutdown, RequestWithMoreTimeThanItsClassIsAnswered) {
    for (const std::string cls : {"order", "chat"}) {
        writes.clear();
        serve_reads();
        take_writes();
        start(reader->address, writer->address, "");
        DirectClient client(address);
        client.send(platform_messages::post("9b1f", cls, "", "20000m"));
        ASSERT_TRUE(until([&] { return !writes.empty(); })) << log();
        terminate();
        ASSERT_TRUE(announced());
        work_for(kLongWork, [&] { return !client.read(); });
        writes.back()->send(kStream);  // a repeatable request may have been called off here, and refused
        EXPECT_TRUE(answered_whole(client)) << cls << ": cut\n" << log();
        EXPECT_TRUE(until([this] { return exited; })) << log();
        break_down();
    }
}

// The same for a stream under way, where clients do not ask for the rest of one.
TEST_F(Shutdown, StreamUnderWayIsForwardedToItsEnd) {
    settings.emplace_back("\"resume\":true", "\"resume\":false");
    serve_reads();
    take_writes();
    start(reader->address, writer->address, "");
    DirectClient client(address);
    client.send(platform_messages::post("9b1f", "order", "", "20000m"));
    ASSERT_TRUE(until([&] { return !writes.empty(); })) << log();
    writes.back()->send(net::testing::kStreamHead + chunked(net::testing::kEvent));
    bool open = true;
    ASSERT_TRUE(until([&] { return !(open = client.read()) || !client.got.empty(); }));
    terminate();
    ASSERT_TRUE(announced());
    work_for(kLongWork, [&] { return !(open = client.read()); });
    EXPECT_TRUE(open) << "cut\n" << log();
    writes.back()->send(chunked("data: [DONE]\n\n") + "0\r\n\r\n");
    EXPECT_TRUE(answered_whole(client)) << log();
    EXPECT_TRUE(until([this] { return exited; })) << log();
}

}  // namespace
}  // namespace chalksail::faults::testing
