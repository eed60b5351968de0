// Steps the wall clock of a running gateway while the monotonic clock continues. This program replaces
// clock_gettime().
#include <dlfcn.h>

#include <ctime>

#include "net/platform_rig.hpp"

namespace {
std::chrono::seconds wall_step{0};  // offset that is added to the wall clock
}

extern "C" int clock_gettime(clockid_t clock, timespec* out) {
    static const auto real =
        reinterpret_cast<int (*)(clockid_t, timespec*)>(dlsym(RTLD_NEXT, "clock_gettime"));
    const int result = real(clock, out);
    if (clock == CLOCK_REALTIME) out->tv_sec += wall_step.count();
    return result;
}

namespace chalksail::net::testing {
namespace {

std::int64_t wall_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

class WallClockStep : public Rig, public membership::EndpointSink {
protected:
    ~WallClockStep() override {
        watch.reset();
        discovery.reset();
        wall_step = std::chrono::seconds(0);
    }
    void apply(membership::EndpointList update) override { lists.push_back(std::move(update)); }
    void begin() {
        discovery = std::make_unique<RawServer>(loop, [this](RawServer::Peer& p) {
            if (!is_watch_request(*p.server)) return p.send(sized(200, list("old", wall_ms() - 5000, 1)));
            peer = &p;
            p.send(kStreamHead);
        });
        log = std::make_unique<observe::Log>("t", "off");
        watch = std::make_unique<DiscoveryWatch>(loop, *log, discovery->address, std::nullopt);
        watch->start(*this);
        ASSERT_TRUE(until([&] { return lists.size() == 1 && peer != nullptr; }));
    }
    // Sends a list change with one server, and waits until it was applied.
    void send_change(const std::string& id, std::int64_t started_ms) {
        const auto before = lists.size();
        peer->send(chunked(list(id, started_ms, static_cast<int>(before) + 1, false)));
        ASSERT_TRUE(until([&] { return lists.size() == before + 1; }));
    }
    static std::string list(const std::string& id, std::int64_t started_ms, int generation,
                            bool complete = true) {
        auto entry = messages::instance(id, "writer", "127.0.0.1:9");
        const std::string started = "\"startedAtMs\":0";
        entry.replace(entry.find(started), started.size(), "\"startedAtMs\":" + std::to_string(started_ms));
        return messages::list_text(entry, generation, complete) + "\n";
    }
    // Returns how long ago the server of the last list started, on the monotonic clock.
    [[nodiscard]] Duration age() const {
        return uv_now_time() - lists.back().endpoints.at(0).endpoint.started_at;
    }

    std::unique_ptr<RawServer> discovery;
    RawServer::Peer* peer = nullptr;
    std::unique_ptr<DiscoveryWatch> watch;
    std::vector<membership::EndpointList> lists;
};

// Guards against treating a cold server as warm, or a warm one as cold, after a step of the wall clock.
TEST_F(WallClockStep, ServersThatStartAfterAStepWarmUpForTheCorrectTime) {
    for (const auto step :
         {std::chrono::seconds(-3600), std::chrono::seconds(3600), std::chrono::seconds(-7)}) {
        begin();
        EXPECT_NEAR(seconds(age()), 5, 2);
        wall_step = step;
        send_change("new", wall_ms() - 100);
        EXPECT_NEAR(seconds(age()), 0.1, 2) << step.count();
        watch.reset();
        discovery.reset();
        peer = nullptr;
        lists.clear();
        wall_step = std::chrono::seconds(0);
    }
}

// Guards against treating servers as restarted because the wall clock was stepped.
TEST_F(WallClockStep, ServerListedAgainAfterAStepKeepsItsStartTime) {
    begin();
    const auto started = wall_ms() - 4000;
    send_change("w", started);
    const Time started_at = lists.back().endpoints.at(0).endpoint.started_at;
    for (const auto step :
         {std::chrono::seconds(3600), std::chrono::seconds(-3600), std::chrono::seconds(-2)}) {
        wall_step = step;
        send_change("w", started);
        EXPECT_EQ(lists.back().endpoints.at(0).endpoint.started_at, started_at) << step.count();
    }
}

}  // namespace
}  // namespace chalksail::net::testing
