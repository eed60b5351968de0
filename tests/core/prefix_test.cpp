// Cache events in the core: who is heard, what reaches the module, and what a wrong word costs.
#include <gtest/gtest.h>

#include "core/driver.hpp"
#include "prefix/cache_fixture.hpp"

namespace chalksail::core::testing {
namespace {

// As the engines render what Driver::ask() sends.
const std::string kPrompt = R"({"role":"user","content":"Is the jollof ready?"})";

config::EdgeSettings with_events() {
    auto s = settings();
    for (auto& k : s.kinds) k.cache_events = k.name == "reader";
    s.cache_events.replay_timeout = 500ms;
    return s;
}
membership::EndpointConfig publishing(const std::string& name, std::uint16_t port = 11, Time born = {}) {
    auto s = listed(name, "reader");
    s.events = Address{"127.0.0.1", port};
    s.replay = Address{"127.0.0.1", static_cast<std::uint16_t>(port + 1)};
    s.endpoint.started_at = born;
    return s;
}
CacheEventMessage holds(const std::string& server, std::uint64_t sequence, double ts, bool replayed = false) {
    return {server, sequence, prefix::encode({ts, {prefix::testing::stored(kPrompt, 5)}, 0}), replayed};
}
template <class T>
std::vector<T> of(const std::vector<Output>& all) {
    std::vector<T> out;
    for (const auto& o : all)
        if (const auto* one = std::get_if<T>(&o)) out.push_back(*one);
    return out;
}
// Asks, and takes the read to its end there; where it went.
std::string prefill_at(Driver& d, std::uint64_t client, int cached = 0) {
    d.send_request("m", R"(,"stream":true)", {}, client);
    const Call read = d.sent().back();
    d.now += 20ms;
    d.give({CallSent{read.call}, CallHead{read.call, 200, {}},
            CallBody{read.call,
                     R"({"id":"x","usage":{"prompt_tokens":40,"prompt_tokens_details":{"cached_tokens":)" +
                         std::to_string(cached) + R"(}},"kv_transfer_params":{"remote_engine_id":"r"}})"},
            CallDone{read.call}});
    const Call write = d.sent().back();
    d.head(write.call);
    d.body(write.call, chunk("yes") + chat::format_event("[DONE]"));
    return read.server;
}

TEST(Prefix, ListDecidesTheSubscriptions) {
    Edge edge(with_events());
    const auto list = [&](std::vector<membership::EndpointConfig> servers) {
        return edge.step(Time(1000s),
                         {membership::EndpointList{EndpointUpdateKind::snapshot, std::move(servers)}});
    };
    auto out = list({publishing("r1"), listed("r2", "reader"), listed("w1", "writer")});
    ASSERT_EQ(of<SubscribeCacheEvents>(out).size(), 1U);
    EXPECT_EQ(of<SubscribeCacheEvents>(out)[0].server, "r1");
    EXPECT_TRUE(of<SubscribeCacheEvents>(list({publishing("r1"), listed("w1", "writer")})).empty());
    EXPECT_EQ(of<SubscribeCacheEvents>(list({publishing("r1", 21), listed("w1", "writer")})).size(),
              1U);  // moved
    out = list({listed("w1", "writer")});
    ASSERT_EQ(of<UnsubscribeCacheEvents>(out).size(), 1U);
    EXPECT_EQ(of<UnsubscribeCacheEvents>(out)[0].server, "r1");
}

// A gateway that starts anew knows what the one before it knew, once the engine proves that it is the same.
TEST(Prefix, SnapshotServesTheNextGateway) {
    auto s = with_events();
    s.cache_events.snapshot_interval = 10s;
    std::map<std::string, std::string> stored;
    {
        Edge before(s);
        (void)before.step(Time(1000s), {CacheSnapshots{}});
        (void)before.step(Time(1000s), {membership::EndpointList{EndpointUpdateKind::snapshot,
                                                                 {publishing("r1"), publishing("r2", 21)}}});
        (void)before.step(Time(1001s), {holds("r1", 0, 1)});
        // Each in its turn, five seconds apart; of the one that has said nothing there is none.
        for (Time at(1002s); at < Time(1030s); at = std::max(at + 1s, *before.next_wake()))
            for (auto& k : of<StoreCacheSnapshot>(before.step(at, {}))) stored[k.server] = k.snapshot;
        ASSERT_EQ(stored.size(), 1U);
    }
    Edge edge(s);
    stored["r2"] = "not one of ours";
    (void)edge.step(Time(2000s), {CacheSnapshots{stored}});
    const auto out = edge.step(
        Time(2000s),
        {membership::EndpointList{EndpointUpdateKind::snapshot, {publishing("r1"), publishing("r2", 21)}}});
    ASSERT_EQ(of<ReplayCacheEvents>(out).size(), 1U);
    EXPECT_EQ(of<ReplayCacheEvents>(out)[0].server, "r1");
    EXPECT_EQ(of<ReplayCacheEvents>(out)[0].from, 0U);
    ASSERT_EQ(of<DropCacheSnapshot>(out).size(), 1U);
    EXPECT_EQ(of<DropCacheSnapshot>(out)[0].server, "r2");
    EXPECT_EQ(edge.gauges().prefixes.trusted, 0U);
    EXPECT_GT(edge.gauges().prefixes.blocks, 0U);
    (void)edge.step(Time(2000s), {holds("r1", 0, 1, true), CacheReplayEnded{"r1"}});
    EXPECT_EQ(edge.gauges().prefixes.trusted, 1U);
    // Off the list: what is stored of it goes too.
    EXPECT_EQ(of<DropCacheSnapshot>(
                  edge.step(Time(2001s),
                            {membership::EndpointList{EndpointUpdateKind::snapshot, {publishing("r2", 21)}}}))
                  .size(),
              1U);
}

// Nobody answers the question for the past: nothing is believed after the time-out.
TEST(Prefix, UnprovedSnapshotIsForgotten) {
    auto s = with_events();
    Edge before(s), edge(s);
    (void)before.step(Time(1000s), {CacheSnapshots{}});
    (void)before.step(Time(1000s),
                      {membership::EndpointList{EndpointUpdateKind::snapshot, {publishing("r1")}}});
    (void)before.step(Time(1001s), {holds("r1", 0, 1)});
    const auto keep = of<StoreCacheSnapshot>(before.step(*before.next_wake(), {}));
    ASSERT_EQ(keep.size(), 1U);
    (void)edge.step(Time(1000s), {CacheSnapshots{{{"r1", keep[0].snapshot}}}});
    (void)edge.step(Time(1000s),
                    {membership::EndpointList{EndpointUpdateKind::snapshot, {publishing("r1")}}});
    EXPECT_GT(edge.gauges().prefixes.blocks, 0U);
    (void)edge.step(Time(1000s) + s.cache_events.replay_timeout, {});
    EXPECT_EQ(edge.gauges().prefixes.blocks, 0U);
    EXPECT_EQ(edge.gauges().prefixes.trusted, 0U);
}

TEST(Prefix, PrefillGoesWhereThePrefixIsCached) {
    for (const std::string& holder : {std::string("r1"), std::string("r2")}) {
        Driver d(with_events());
        d.list({publishing("r1"), publishing("r2"), listed("w1", "writer")});
        const prefix::Batch none{1, {}, 0};
        for (const std::string& other : {std::string("r1"), std::string("r2")})
            if (other != holder) d.give({CacheEventMessage{other, 0, prefix::encode(none), false}});
        d.give({holds(holder, 0, 1)});
        EXPECT_EQ(d.edge.gauges().prefixes.trusted, 2U);
        for (std::uint64_t i = 1; i <= 4; ++i) EXPECT_EQ(prefill_at(d, i, 12), holder);
        EXPECT_EQ(d.edge.gauges().prefixes.trusted, 2U);
        expect_empty(d);
    }
}

// Engines of a real model: their token ids by its tokenizer, the prompt by its template.
TEST(Prefix, TokenizerAndTemplateFindTheText) {
    const auto vocabulary = engine::Vocabulary::parse(
        R"({"model":{"vocab":{"<u>":1,"Is":2," the":3," jollof":4," ready?":5,"</u>":6}}})");
    ASSERT_TRUE(vocabulary);
    auto s = with_events();
    s.cache_events.vocabulary = config::Vocabulary::tokenizer;
    s.cache_events.prompt_message = "<u>{content}</u>";
    EXPECT_THROW(Edge{s}, std::invalid_argument);
    Driver d(s, std::make_shared<const engine::Vocabulary>(*vocabulary));
    d.list({publishing("r1"), publishing("r2"), listed("w1", "writer")});
    prefix::BlockStored e;
    e.block_size = 2;
    e.blocks = {71, 72, 73};
    e.tokens = {1, 2, 3, 4, 5, 6};
    d.give({CacheEventMessage{"r1", 0, prefix::encode({1, {}, 0}), false},
            CacheEventMessage{"r2", 0, prefix::encode({1, {e}, 0}), false}});
    EXPECT_EQ(d.edge.gauges().prefixes.blocks, 3U);
    for (std::uint64_t i = 1; i <= 4; ++i) EXPECT_EQ(prefill_at(d, i, 6), "r2");
    expect_empty(d);
}

TEST(Prefix, FalseReportsFallBackToTheEstimate) {
    Driver d(with_events());
    d.list({publishing("r1"), listed("w1", "writer")});
    d.give({holds("r1", 0, 1)});
    ASSERT_EQ(d.edge.gauges().prefixes.trusted, 1U);
    for (std::uint64_t i = 1; i <= 8; ++i) prefill_at(d, i, 0);  // nothing was kept, whatever it says
    EXPECT_EQ(d.edge.gauges().prefixes.trusted, 0U);
    for (std::uint64_t i = 11; i <= 18; ++i) prefill_at(d, i, 12);
    EXPECT_EQ(d.edge.gauges().prefixes.trusted, 1U);
}

TEST(Prefix, GapsAreReplayedWithATimeLimit) {
    Edge edge(with_events());
    Time now(1000s);
    (void)edge.step(now, {membership::EndpointList{EndpointUpdateKind::snapshot,
                                                   {publishing("r1"), listed("w1", "writer")}}});
    (void)edge.step(now, {holds("r1", 0, 1)});
    const auto replays = of<ReplayCacheEvents>(edge.step(now, {holds("r1", 3, 4)}));
    ASSERT_EQ(replays.size(), 1U);
    EXPECT_EQ(replays[0].from, 1U);
    ASSERT_EQ(edge.next_wake(), now + 500ms);
    (void)edge.step(now + 500ms, {});
    EXPECT_EQ(edge.gauges().prefixes.unfilled_gaps, 1U);
    // The rest of that replay comes too late, and changes nothing.
    (void)edge.step(now + 600ms, {holds("r1", 1, 2, true), CacheReplayEnded{"r1"}});
    EXPECT_TRUE(of<ReplayCacheEvents>(edge.step(now + 600ms, {holds("r1", 4, 5)})).empty());
    EXPECT_EQ(edge.gauges().prefixes.gaps, 1U);
}

// Comes back empty on the same address: the list's word is enough, whatever its old events said.
TEST(Prefix, RestartedServerHasNothingCached) {
    Driver d(with_events());
    d.list({publishing("r1"), publishing("r2"), listed("w1", "writer")});
    d.give({holds("r1", 0, 1)});
    EXPECT_GT(d.edge.gauges().prefixes.blocks, 0U);
    d.list({publishing("r1", 11, d.now), publishing("r2"), listed("w1", "writer")});
    EXPECT_EQ(d.edge.gauges().prefixes.blocks, 0U);
    EXPECT_EQ(d.edge.gauges().prefixes.trusted, 0U);
}

TEST(Prefix, EventsOfUnknownServersAndGarbageAreHarmless) {
    Driver d(with_events());
    d.list({publishing("r1"), listed("w1", "writer")});
    d.give({holds("nobody", 0, 1), CacheEventMessage{"r1", 0, "\xc1", false}, CacheReplayEnded{"r1"},
            CacheReplayEnded{"nobody"}});
    EXPECT_EQ(d.edge.gauges().prefixes.malformed_messages, 1U);
    EXPECT_EQ(prefill_at(d, 1), "r1");
    Driver plain;  // no kind publishes: events are not even looked at
    plain.usual_list();
    plain.give({holds("r1", 0, 1), CacheReplayEnded{"r1"}});
    EXPECT_EQ(plain.edge.gauges().prefixes.messages, 0U);
}

}  // namespace
}  // namespace chalksail::core::testing
