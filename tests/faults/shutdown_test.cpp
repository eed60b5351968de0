// Shutdown of real gateway processes: after SIGTERM a gateway does not exit before its open requests are
// answered.
#include "faults/process_rig.hpp"

namespace chalksail::faults::testing {
namespace {

using namespace std::chrono_literals;

// Service classes with short deadlines. On this platform a request may last longer than its class's deadline,
// as its time limit grows with its prompt.
class Shutdown : public ProcessRig {
protected:
    Shutdown() {
        settings = {{"\"aim_ns\":1000000000,\"deadline_ns\":4000000000",
                     "\"aim_ns\":100000000,\"deadline_ns\":200000000"},
                    {"\"aim_ns\":2500000000,\"deadline_ns\":12000000000",
                     "\"aim_ns\":100000000,\"deadline_ns\":200000000"}};
    }
    // Starts a writer that accepts requests without answering; the test sends the responses.
    void accept_writes() {
        writer = std::make_unique<RawServer>(loop, [this](RawServer::Peer& p) {
            if (p.server->last.starts_with("DELETE")) return p.send(kNoContentResponse);
            writes.push_back(&p);
        });
    }
    // Runs the loop for this time, in which a server works on a request. Returns early once `over` holds.
    void work_for(std::chrono::milliseconds time, const std::function<bool()>& over) {
        const auto end = std::chrono::steady_clock::now() + time;
        until([&] { return over() || std::chrono::steady_clock::now() >= end; });
    }
    bool shutdown_started() {
        return until([this] { return log().find("shutdown started") != std::string::npos; });
    }

    static constexpr auto kLongWork = 1500ms;  // longer than any limit derived from the classes' deadlines
    std::vector<RawServer::Peer*> writes;
};

// Guards against a drain time limit that ends accepted requests before their own deadlines.
TEST_F(Shutdown, RequestWithMoreTimeThanItsClassIsAnswered) {
    for (const std::string cls : {"order", "chat"}) {
        writes.clear();
        start_reader();
        accept_writes();
        start(reader->address, writer->address, "");
        DirectClient client(address);
        client.send(platform_messages::post("9b1f", cls, "", "20000m"));
        ASSERT_TRUE(until([&] { return !writes.empty(); })) << log();
        terminate();
        ASSERT_TRUE(shutdown_started());
        work_for(kLongWork, [&] { return !client.read(); });
        writes.back()->send(kStream);  // the gateway may already have cancelled and rejected a repeatable one
        EXPECT_TRUE(answered_completely(client)) << cls << ": ended without a complete answer\n" << log();
        EXPECT_TRUE(until([this] { return exited; })) << log();
        stop_all();
    }
}

// Guards against cutting an open stream at shutdown where clients cannot resume it.
TEST_F(Shutdown, OpenStreamIsForwardedToItsEnd) {
    settings.emplace_back("\"resume\":true", "\"resume\":false");
    start_reader();
    accept_writes();
    start(reader->address, writer->address, "");
    DirectClient client(address);
    client.send(platform_messages::post("9b1f", "order", "", "20000m"));
    ASSERT_TRUE(until([&] { return !writes.empty(); })) << log();
    writes.back()->send(net::testing::kStreamHead + chunked(net::testing::kEvent));
    bool open = true;
    ASSERT_TRUE(until([&] { return !(open = client.read()) || !client.got.empty(); }));
    terminate();
    ASSERT_TRUE(shutdown_started());
    work_for(kLongWork, [&] { return !(open = client.read()); });
    EXPECT_TRUE(open) << "the gateway cut the stream\n" << log();
    writes.back()->send(chunked("data: [DONE]\n\n") + "0\r\n\r\n");
    EXPECT_TRUE(answered_completely(client)) << log();
    EXPECT_TRUE(until([this] { return exited; })) << log();
}

}  // namespace
}  // namespace chalksail::faults::testing
