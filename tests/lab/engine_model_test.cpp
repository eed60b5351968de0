// The stand-in engine: it must fail as engines do, or rehearsals prove nothing.
#include <gtest/gtest.h>

#include "engine/protocol.hpp"
#include "model/engine.hpp"
#include "prefix/prefix_index.hpp"

namespace chalksail::lab {
namespace {

using namespace std::chrono_literals;

EngineSpec reader() {
    EngineSpec s;
    s.name = "r";
    s.role = Role::prefill;
    s.slots = 2;
    s.queue = 1;
    s.read_pace = 1000;
    s.memory_tokens = 5000;
    return s;
}
EngineSpec writer() {
    EngineSpec s = reader();
    s.role = Role::decode;
    s.slots = 4;
    s.token_interval = 10ms;
    s.crowding = 0;
    s.memory_tokens = 1000;
    return s;
}
Job read_job(JobId id, double tokens) {
    Job j;
    j.id = id;
    j.read = true;
    j.request = "q" + std::to_string(id);
    j.prompt_tokens = tokens;
    j.blocks = {{id * 1000 + 1, tokens}};
    return j;
}
Job write_job(JobId id, std::size_t output, double prompt = 10) {
    Job j;
    j.id = id;
    j.request = "q" + std::to_string(id);
    j.prompt_tokens = prompt;
    j.output_tokens = output;
    j.has_state = true;
    return j;
}
constexpr Time kStart{1000s};

std::size_t tokens_of(const std::vector<Progress>& all, JobId id) {
    std::size_t out = 0;
    for (const auto& p : all)
        if (p.job == id && p.kind == Progress::Kind::tokens) out += p.count;
    return out;
}

TEST(EngineModel, ReadsShareThePaceAndLeaveAState) {
    EngineModel e(reader());
    (void)e.advance(kStart);
    EXPECT_EQ(e.submit(kStart, read_job(1, 800), 0.5), SubmitResult::accepted);
    EXPECT_EQ(e.submit(kStart, read_job(2, 800), 0.5), SubmitResult::accepted);
    EXPECT_TRUE(e.advance(kStart + 1900ms).empty());  // 2 x (800 + 200) tokens at 1,000 a second
    const auto done = e.advance(kStart + 2001ms);
    EXPECT_EQ(done.size(), 2U);
    ASSERT_NE(e.state("q1"), nullptr);
    EXPECT_TRUE(e.drop_state("q1"));
    EXPECT_FALSE(e.drop_state("q1"));
}

TEST(EngineModel, CachedPrefixIsPrefilledFaster) {
    EngineModel e(reader());
    (void)e.submit(kStart, read_job(1, 800), 0.5);
    (void)e.advance(kStart + 2s);
    auto again = read_job(1, 800);
    again.id = 7;
    (void)e.submit(kStart + 2s, again, 0.5);
    const auto done = e.advance(kStart + 2s + 210ms);
    ASSERT_EQ(done.size(), 1U);
    EXPECT_EQ(done[0].cached_tokens, 800);
}

// What it publishes is what it keeps: an index fed with it knows to the token what a read will find, through
// evictions and repeats.
TEST(EngineModel, PublishedEventsTellWhatAReadFinds) {
    auto spec = reader();
    spec.publishes = true;
    spec.cache_capacity_tokens = 40 * kBlockTokens;
    spec.read_pace = 1e6;
    EngineModel e(spec);
    prefix::PrefixIndex index(engine::four_bytes_of);
    const auto place = index.add("m");
    Time now = kStart;
    (void)e.advance(now);
    std::size_t known = 0;
    for (JobId id = 1; id <= 300; ++id) {
        // Three leading texts, and turns of a few sessions: some beginnings come back, some were evicted.
        const std::string text = std::string(200 + id % 3 * 100, static_cast<char>('a' + id % 3)) +
                                 std::string(id * 7 % 11 * 64, static_cast<char>('k' + id % 5));
        Job j;
        j.id = id;
        j.read = true;
        j.request = "q" + std::to_string(id);
        j.text = text;
        j.blocks = prefix_blocks(text);
        j.prompt_tokens = 1000;
        std::uint32_t claimed = 0;
        for (const auto& h : index.find("m", text)) claimed = h.tokens;
        ASSERT_EQ(e.submit(now, j, 0.5), SubmitResult::accepted);
        now += 1s;
        for (const auto& p : e.advance(now))
            if (p.kind == Progress::Kind::read_done) {
                EXPECT_EQ(p.cached_tokens, claimed) << "read " << id;
            }
        (void)e.drop_state(j.request);
        for (const auto& event : e.take_cache_events()) index.apply(place, event);
        known += claimed > 0 ? 1 : 0;
        ASSERT_LE(index.blocks(), 40U);
    }
    EXPECT_GT(known, 100U);
    EXPECT_LT(known, 300U);
}

TEST(EngineModel, QueueIsBoundedAndReportsFull) {
    EngineModel e(reader());
    for (JobId i = 1; i <= 3; ++i) EXPECT_EQ(e.submit(kStart, read_job(i, 100), 0.5), SubmitResult::accepted);
    EXPECT_EQ(e.submit(kStart, read_job(4, 100), 0.5), SubmitResult::full);
}

TEST(EngineModel, WaitingStatesHoldMemory) {
    EngineModel e(reader());
    (void)e.submit(kStart, read_job(1, 4900), 0.5);
    (void)e.advance(kStart + 6s);
    (void)e.submit(kStart + 6s, read_job(2, 4900), 0.5);
    EXPECT_TRUE(e.advance(kStart + 60s).empty());
    EXPECT_EQ(e.waiting(), 1U);
    e.drop_state("q1");
    EXPECT_EQ(e.waiting(), 0U);
    EXPECT_EQ(e.expire_states(kStart + 60s).size(), 0U);
}

TEST(EngineModel, MemoryOutPutsTheNewestBack) {
    EngineModel e(writer());
    (void)e.submit(kStart, write_job(1, 400, 400), 0.5);
    (void)e.submit(kStart, write_job(2, 400, 400), 0.5);
    const auto part = e.advance(kStart + 3s);
    EXPECT_GT(tokens_of(part, 1), tokens_of(part, 2));
    const auto remaining = e.advance(kStart + 60s);
    EXPECT_EQ(tokens_of(part, 1) + tokens_of(remaining, 1), 400U);
    EXPECT_EQ(tokens_of(part, 2) + tokens_of(remaining, 2), 400U);  // late, and whole
}

TEST(EngineModel, PauseAppearsSlowAndContinues) {
    EngineModel e(writer());
    (void)e.submit(kStart, write_job(1, 50), 0.5);
    const auto before = tokens_of(e.advance(kStart + 200ms), 1);
    e.set_paused(kStart + 200ms, true);
    EXPECT_FALSE(e.next());
    EXPECT_TRUE(e.advance(kStart + 5s).empty());
    e.set_paused(kStart + 5s, false);
    EXPECT_EQ(before + tokens_of(e.advance(kStart + 20s), 1), 50U);
}

TEST(EngineModel, IsOverloadedInSlowStartAndNotWhenWarm) {
    const auto flood = [](bool started, int jobs) {
        auto spec = reader();
        spec.queue = 1000;
        EngineModel e(spec);
        if (started) e.start_in_slow_start(kStart);
        for (int i = 0; i < jobs; ++i) {
            auto j = read_job(static_cast<JobId>(i + 1), 800);
            j.start_known = true;
            (void)e.submit(kStart + i * 10ms, std::move(j), 0.5);
        }
        return e.take_overload();
    };
    EXPECT_TRUE(flood(true, 40));
    EXPECT_EQ(*flood(true, 40), 1.0);
    EXPECT_FALSE(flood(true, 3));
    EXPECT_FALSE(flood(false, 40));
}

TEST(EngineModel, WarmsUp) {
    EngineModel e(reader());
    e.start_in_slow_start(kStart);
    EXPECT_NEAR(e.warmth(kStart), 0.33, 0.01);
    EXPECT_NEAR(e.warmth(kStart + 6s), 0.665, 0.01);
    EXPECT_EQ(e.warmth(kStart + 13s), 1);
}

TEST(Links, OneLinkARackAndZonesAreFar) {
    Links links({100'000, 50'000, 2});
    EngineSpec a = reader(), b = writer(), c = writer(), d = writer();
    a.zone = b.zone = c.zone = "x";
    d.zone = "y";
    c.cell = 1;
    d.cell = 2;
    EXPECT_EQ(links.transfer(kStart, a, b, 1000), 10ms);
    EXPECT_EQ(links.transfer(kStart, a, c, 1000), 20ms);
    EXPECT_EQ(links.transfer(kStart, a, c, 1000), 40ms);  // behind the one before
    EXPECT_EQ(links.transfer(kStart + 1s, a, d, 1000), 40ms);
}

}  // namespace
}  // namespace chalksail::lab
