// Cache events over real sockets: heard, replayed, through a restart of the publisher, in a flood.
#include "net/cache_feed.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <vector>

#include "shell/cache_publisher.hpp"

namespace chalksail::net::testing {
namespace {

class Feeds : public ::testing::Test, protected CacheFeed::Handler {
protected:
    Feeds() {
        uv_loop_init(&loop);
        // What the feed owns does not keep a loop alive.
        uv_timer_init(&loop, &alive);
        uv_timer_start(
            &alive, [](uv_timer_t*) {}, 1, 1);
    }
    ~Feeds() override {
        uv_close(reinterpret_cast<uv_handle_t*>(&alive), nullptr);
        feed.reset();
        publisher.reset();
        for (int i = 0; i < 100 && uv_run(&loop, UV_RUN_NOWAIT) != 0; ++i) {
        }
        EXPECT_EQ(uv_loop_close(&loop), 0);
    }
    void begin(std::size_t past, CacheFeed::Limits limits = {}) {
        publisher = std::make_unique<lab::CachePublisher>(past, [this] { return lose; });
        feed = std::make_unique<CacheFeed>(loop, static_cast<CacheFeed::Handler&>(*this), limits);
        feed->follow("e", publisher->events(), publisher->replay());
    }
    void on_cache_message(const std::string& server, std::uint64_t sequence, std::string payload,
                          bool replayed) override {
        EXPECT_EQ(server, "e");
        EXPECT_TRUE(prefix::decode(payload));
        (replayed ? past : heard).push_back(sequence);
        ++this_turn;
    }
    void on_cache_replay_ended(const std::string&) override { ++ended; }
    // Turns the loop until it is so; the limit only keeps a broken build from standing still.
    bool until(
        const std::function<bool()>& so, const std::function<void()>& each = [] {}) {
        const auto limit = uv_hrtime() + 60'000'000'000ULL;
        while (!so() && uv_hrtime() < limit) {
            each();
            publisher->tick();
            this_turn = 0;
            uv_run(&loop, UV_RUN_NOWAIT);
            most_in_a_turn = std::max(most_in_a_turn, this_turn);
        }
        return so();
    }
    void publish() { publisher->publish({prefix::AllBlocksCleared{}}); }
    // A subscriber hears what is published once its connection is there: until then nothing comes.
    bool joined() {
        return until([this] { return !heard.empty(); }, [this] { publish(); });
    }

    uv_loop_t loop{};
    uv_timer_t alive{};
    std::unique_ptr<lab::CachePublisher> publisher;
    std::unique_ptr<CacheFeed> feed;
    std::vector<std::uint64_t> heard, past;
    int ended = 0, this_turn = 0, most_in_a_turn = 0;
    bool lose = false;
};

TEST_F(Feeds, HeardInOrderAndReplayed) {
    begin(1000);
    ASSERT_TRUE(joined());
    const auto first = heard.front();
    for (int i = 0; i < 20; ++i) publish();
    lose = true;
    publish();  // nobody hears this one
    lose = false;
    publish();
    ASSERT_TRUE(until([&] { return heard.size() >= 2 && heard.back() - heard[heard.size() - 2] == 2; }));
    feed->replay("e", first);
    ASSERT_TRUE(until([&] { return ended == 1; }));
    EXPECT_EQ(past.front(), first);
    EXPECT_EQ(past.back(), heard.back());
    EXPECT_EQ(past.size(), heard.back() - first + 1);  // the lost one, too
    feed->replay("nobody", 0);
    EXPECT_EQ(feed->counts().malformed, 0U);
}

TEST_F(Feeds, PastThatIsGoneIsNotReplayed) {
    begin(3);
    ASSERT_TRUE(joined());
    for (int i = 0; i < 10; ++i) publish();
    feed->replay("e", 0);
    ASSERT_TRUE(until([&] { return ended == 1; }));
    EXPECT_EQ(past.size(), 3U);
}

TEST_F(Feeds, NewProcessAtTheSamePortsIsHeard) {
    begin(100);
    ASSERT_TRUE(joined());
    publisher->start();
    heard.clear();
    ASSERT_TRUE(joined());
    EXPECT_LT(heard.front(), 1'000'000U);
    feed->leave("e");
    EXPECT_EQ(feed->counts().followed, 0U);
}

// A flood is taken a part at a time: the loop's other work never waits for more than that.
TEST_F(Feeds, FloodIsReadInParts) {
    CacheFeed::Limits limits;
    limits.each_turn = 16;
    limits.queue = 100'000;
    begin(10, limits);
    ASSERT_TRUE(joined());
    most_in_a_turn = 0;
    for (int i = 0; i < 500; ++i) publish();  // within the publisher's own queue
    const auto all = heard.size() + 400;
    ASSERT_TRUE(until([&] { return heard.size() >= all; }));
    EXPECT_LE(most_in_a_turn, 16);
    EXPECT_GT(most_in_a_turn, 1);
}

}  // namespace
}  // namespace chalksail::net::testing
