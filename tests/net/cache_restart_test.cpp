// Restarts a gateway, on real sockets: the cache snapshots of the previous process must be usable at once.
#include <filesystem>

#include "net/rig.hpp"
#include "sockets/cache_publisher.hpp"

namespace chalksail::net::testing {
namespace {

class Restart : public Rig {
protected:
    Restart()
        : folder(std::filesystem::temp_directory_path() / ("chalksail-snap-" + std::to_string(getpid()))) {
        std::filesystem::remove_all(folder);
        reader = std::make_unique<RawServer>(loop, [](RawServer::Peer&) {});
        publisher = std::make_unique<lab::CachePublisher>(100, [] { return false; });
        log = std::make_unique<observe::Log>("t", "error");
    }
    ~Restart() override { std::filesystem::remove_all(folder); }
    void begin() {
        const std::string text = R"(name "t"
            seed 1
            class "chat" { aim "1s"; deadline "5s"; }
            kind "r" { role "prefill"; cache-events #true; }
            cache-events { replay-timeout "20s"; snapshot-every "20ms"; snapshots ")" +
                                 folder.string() + R"("; }
            server "r1" kind="r" address=")" +
                                 format_address(reader->address) + "\" events=\"" +
                                 format_address(publisher->events()) + "\" replay=\"" +
                                 format_address(publisher->replay()) + "\"\n";
        auto parsed = config::parse_settings(text, "t");
        if (!parsed) throw std::runtime_error(format(parsed.error().front()));
        edge = std::make_unique<EdgeServer>(loop, *parsed, *log);
    }
    double metric(const std::string& name) {
        RawClient admin(loop, edge->admin_address());
        admin.send("GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n");
        until([&] {
            publisher->tick();
            return admin.closed();
        });
        const std::string& page = admin.got();
        const auto at = page.find("\nchalksail_" + name + "{");
        const auto value = at == std::string::npos ? at : page.find("} ", at);
        return value == std::string::npos ? -1 : std::atof(page.c_str() + value + 2);
    }
    bool reaches(const std::string& name, double value, bool publish) {
        for (int i = 0; i < 20'000; ++i) {
            if (metric(name) == value) return true;
            if (publish) publisher->publish({block(++last)});
        }
        return false;
    }
    // Waits for two further snapshots. The second one was begun after the call, so it contains everything
    // known at the call.
    bool written_twice() {
        const double before = metric("prefix_snapshots_written");
        for (int i = 0; i < 20'000; ++i)
            if (metric("prefix_snapshots_written") >= before + 2) return true;
        return false;
    }
    static prefix::BlockStored block(std::uint64_t hash) {
        prefix::BlockStored e;
        e.block_size = 1;
        e.blocks = {hash};
        e.tokens = {0x61620000U + static_cast<std::uint32_t>(hash)};
        return e;
    }
    std::filesystem::path folder;
    std::unique_ptr<lab::CachePublisher> publisher;
    std::uint64_t last = 0;  // hash of the last published block
};

TEST_F(Restart, SnapshotIsUsedAfterARestart) {
    begin();
    ASSERT_TRUE(reaches("prefix_servers_told", 1, true));
    ASSERT_TRUE(reaches("prefix_blocks", static_cast<double>(last), false));
    ASSERT_TRUE(written_twice());
    edge.reset();
    begin();
    // The engine publishes nothing new; it only responds to the replay request.
    ASSERT_TRUE(reaches("prefix_servers_told", 1, false));
    EXPECT_EQ(metric("prefix_blocks"), static_cast<double>(last));
    EXPECT_EQ(metric("prefix_snapshots_proved"), 1);
}

TEST_F(Restart, SnapshotOfAnEngineThatRestartedIsDiscarded) {
    begin();
    ASSERT_TRUE(reaches("prefix_servers_told", 1, true));
    ASSERT_TRUE(written_twice());
    edge.reset();
    publisher->start();
    const auto before = last;
    for (last = 0; last < before + 5;) publisher->publish({block(++last)});  // more batches than before
    begin();
    ASSERT_TRUE(reaches("prefix_restarts", 1, false));
    EXPECT_EQ(metric("prefix_blocks"), 0);
    EXPECT_EQ(metric("prefix_servers_told"), 0);
}

}  // namespace
}  // namespace chalksail::net::testing
