// Tests cache events in the core: subscriptions, their effect on the routing, and the handling of false
// reports.
#include <gtest/gtest.h>

#include "core/driver.hpp"
#include "prefix/cache_fixture.hpp"

namespace chalksail::core::testing {
namespace {

// The prompt of Driver::send_request() as servers render it.
const std::string kPrompt = R"({"role":"user","content":"Is the jollof ready?"})";

config::EdgeSettings with_events() {
    auto s = settings();
    for (auto& k : s.kinds) k.cache_events = k.name == "reader";
    s.cache_events.replay_timeout = 500ms;
    return s;
}
membership::EndpointConfig publishing(const std::string& name, std::uint16_t port = 11,
                                      Time started_at = {}) {
    auto s = listed(name, "reader");
    s.events = Address{"127.0.0.1", port};
    s.replay = Address{"127.0.0.1", static_cast<std::uint16_t>(port + 1)};
    s.endpoint.started_at = started_at;
    return s;
}
CacheEventMessage stored_event(const std::string& server, std::uint64_t sequence, double ts,
                               bool replayed = false) {
    return {server, sequence, prefix::encode({ts, {prefix::testing::stored(kPrompt, 5)}, 0}), replayed};
}
template <class T>
std::vector<T> effects_of(const std::vector<Output>& all) {
    std::vector<T> out;
    for (const auto& o : all)
        if (const auto* one = std::get_if<T>(&o)) out.push_back(*one);
    return out;
}
// Sends a request, completes its prefill and its stream, and returns the server of the prefill.
std::string prefill_at(Driver& d, std::uint64_t client, int cached = 0) {
    d.send_request("m", R"(,"stream":true)", {}, client);
    const Call prefill = d.sent().back();
    d.now += 20ms;
    d.step({CallSent{prefill.call}, CallHead{prefill.call, 200, {}},
            CallBody{prefill.call,
                     R"({"id":"x","usage":{"prompt_tokens":40,"prompt_tokens_details":{"cached_tokens":)" +
                         std::to_string(cached) + R"(}},"kv_transfer_params":{"remote_engine_id":"r"}})"},
            CallDone{prefill.call}});
    const Call decode = d.sent().back();
    d.head(decode.call);
    d.body(decode.call, chunk("yes") + chat::format_event("[DONE]"));
    return prefill.server;
}

TEST(Prefix, EndpointListDeterminesTheSubscriptions) {
    Edge edge(with_events());
    const auto list = [&](std::vector<membership::EndpointConfig> servers) {
        return edge.step(Time(1000s),
                         {membership::EndpointList{EndpointUpdateKind::snapshot, std::move(servers)}});
    };
    auto out = list({publishing("r1"), listed("r2", "reader"), listed("w1", "writer")});
    ASSERT_EQ(effects_of<SubscribeCacheEvents>(out).size(), 1U);
    EXPECT_EQ(effects_of<SubscribeCacheEvents>(out)[0].server, "r1");
    EXPECT_TRUE(effects_of<SubscribeCacheEvents>(list({publishing("r1"), listed("w1", "writer")})).empty());
    EXPECT_EQ(effects_of<SubscribeCacheEvents>(list({publishing("r1", 21), listed("w1", "writer")})).size(),
              1U);  // the address has changed
    out = list({listed("w1", "writer")});
    ASSERT_EQ(effects_of<UnsubscribeCacheEvents>(out).size(), 1U);
    EXPECT_EQ(effects_of<UnsubscribeCacheEvents>(out)[0].server, "r1");
}

// A restarted gateway uses its predecessor's snapshot once a replay has shown that the server has not
// restarted.
TEST(Prefix, SnapshotIsRestoredByTheNextGateway) {
    auto s = with_events();
    s.cache_events.snapshot_interval = 10s;
    std::map<std::string, std::string> stored;
    {
        Edge before(s);
        (void)before.step(Time(1000s), {CacheSnapshots{}});
        (void)before.step(Time(1000s), {membership::EndpointList{EndpointUpdateKind::snapshot,
                                                                 {publishing("r1"), publishing("r2", 21)}}});
        (void)before.step(Time(1001s), {stored_event("r1", 0, 1)});
        // One server at a time, five seconds apart. A server that has sent no events has no snapshot.
        for (Time at(1002s); at < Time(1030s); at = std::max(at + 1s, *before.next_wake()))
            for (auto& k : effects_of<StoreCacheSnapshot>(before.step(at, {}))) stored[k.server] = k.snapshot;
        ASSERT_EQ(stored.size(), 1U);
    }
    Edge edge(s);
    stored["r2"] = "not one of ours";
    (void)edge.step(Time(2000s), {CacheSnapshots{stored}});
    const auto out = edge.step(
        Time(2000s),
        {membership::EndpointList{EndpointUpdateKind::snapshot, {publishing("r1"), publishing("r2", 21)}}});
    ASSERT_EQ(effects_of<ReplayCacheEvents>(out).size(), 1U);
    EXPECT_EQ(effects_of<ReplayCacheEvents>(out)[0].server, "r1");
    EXPECT_EQ(effects_of<ReplayCacheEvents>(out)[0].from, 0U);
    ASSERT_EQ(effects_of<DropCacheSnapshot>(out).size(), 1U);
    EXPECT_EQ(effects_of<DropCacheSnapshot>(out)[0].server, "r2");
    EXPECT_EQ(edge.gauges().prefixes.trusted, 0U);
    EXPECT_GT(edge.gauges().prefixes.blocks, 0U);
    (void)edge.step(Time(2000s), {stored_event("r1", 0, 1, true), CacheReplayEnded{"r1"}});
    EXPECT_EQ(edge.gauges().prefixes.trusted, 1U);
    // The stored snapshot of a server that left the list is dropped.
    EXPECT_EQ(effects_of<DropCacheSnapshot>(
                  edge.step(Time(2001s),
                            {membership::EndpointList{EndpointUpdateKind::snapshot, {publishing("r2", 21)}}}))
                  .size(),
              1U);
}

// Without a response to the replay request, the snapshot is discarded after the timeout.
TEST(Prefix, UnconfirmedSnapshotIsDiscarded) {
    auto s = with_events();
    Edge before(s), edge(s);
    (void)before.step(Time(1000s), {CacheSnapshots{}});
    (void)before.step(Time(1000s),
                      {membership::EndpointList{EndpointUpdateKind::snapshot, {publishing("r1")}}});
    (void)before.step(Time(1001s), {stored_event("r1", 0, 1)});
    const auto stored = effects_of<StoreCacheSnapshot>(before.step(*before.next_wake(), {}));
    ASSERT_EQ(stored.size(), 1U);
    (void)edge.step(Time(1000s), {CacheSnapshots{{{"r1", stored[0].snapshot}}}});
    (void)edge.step(Time(1000s),
                    {membership::EndpointList{EndpointUpdateKind::snapshot, {publishing("r1")}}});
    EXPECT_GT(edge.gauges().prefixes.blocks, 0U);
    (void)edge.step(Time(1000s) + s.cache_events.replay_timeout, {});
    EXPECT_EQ(edge.gauges().prefixes.blocks, 0U);
    EXPECT_EQ(edge.gauges().prefixes.trusted, 0U);
}

TEST(Prefix, PrefillIsSentToTheServerThatCachesThePrefix) {
    for (const std::string& holder : {std::string("r1"), std::string("r2")}) {
        Driver d(with_events());
        d.list({publishing("r1"), publishing("r2"), listed("w1", "writer")});
        const prefix::Batch none{1, {}, 0};
        for (const std::string& other : {std::string("r1"), std::string("r2")})
            if (other != holder) d.step({CacheEventMessage{other, 0, prefix::encode(none), false}});
        d.step({stored_event(holder, 0, 1)});
        EXPECT_EQ(d.edge.gauges().prefixes.trusted, 2U);
        for (std::uint64_t i = 1; i <= 4; ++i) EXPECT_EQ(prefill_at(d, i, 12), holder);
        EXPECT_EQ(d.edge.gauges().prefixes.trusted, 2U);
        expect_no_open_work(d);
    }
}

// Servers with a real model: token ids are decoded with its tokenizer, and the prompt is rendered with its
// template.
TEST(Prefix, TokenizerAndTemplateMatchThePrompt) {
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
    d.step({CacheEventMessage{"r1", 0, prefix::encode({1, {}, 0}), false},
            CacheEventMessage{"r2", 0, prefix::encode({1, {e}, 0}), false}});
    EXPECT_EQ(d.edge.gauges().prefixes.blocks, 3U);
    for (std::uint64_t i = 1; i <= 4; ++i) EXPECT_EQ(prefill_at(d, i, 6), "r2");
    expect_no_open_work(d);
}

TEST(Prefix, FalseReportsAreNotTrusted) {
    Driver d(with_events());
    d.list({publishing("r1"), listed("w1", "writer")});
    d.step({stored_event("r1", 0, 1)});
    ASSERT_EQ(d.edge.gauges().prefixes.trusted, 1U);
    for (std::uint64_t i = 1; i <= 8; ++i)
        prefill_at(d, i, 0);  // nothing was cached, contrary to the reports
    EXPECT_EQ(d.edge.gauges().prefixes.trusted, 0U);
    for (std::uint64_t i = 11; i <= 18; ++i) prefill_at(d, i, 12);
    EXPECT_EQ(d.edge.gauges().prefixes.trusted, 1U);
}

TEST(Prefix, GapsAreReplayedWithATimeLimit) {
    Edge edge(with_events());
    Time now(1000s);
    (void)edge.step(now, {membership::EndpointList{EndpointUpdateKind::snapshot,
                                                   {publishing("r1"), listed("w1", "writer")}}});
    (void)edge.step(now, {stored_event("r1", 0, 1)});
    const auto replays = effects_of<ReplayCacheEvents>(edge.step(now, {stored_event("r1", 3, 4)}));
    ASSERT_EQ(replays.size(), 1U);
    EXPECT_EQ(replays[0].from, 1U);
    ASSERT_EQ(edge.next_wake(), now + 500ms);
    (void)edge.step(now + 500ms, {});
    EXPECT_EQ(edge.gauges().prefixes.unfilled_gaps, 1U);
    // The rest of that replay arrives too late and changes nothing.
    (void)edge.step(now + 600ms, {stored_event("r1", 1, 2, true), CacheReplayEnded{"r1"}});
    EXPECT_TRUE(effects_of<ReplayCacheEvents>(edge.step(now + 600ms, {stored_event("r1", 4, 5)})).empty());
    EXPECT_EQ(edge.gauges().prefixes.gaps, 1U);
}

// A restarted server on the same address has an empty cache. The endpoint list determines this, whatever the
// events before the restart reported.
TEST(Prefix, RestartedServerHasNothingCached) {
    Driver d(with_events());
    d.list({publishing("r1"), publishing("r2"), listed("w1", "writer")});
    d.step({stored_event("r1", 0, 1)});
    EXPECT_GT(d.edge.gauges().prefixes.blocks, 0U);
    d.list({publishing("r1", 11, d.now), publishing("r2"), listed("w1", "writer")});
    EXPECT_EQ(d.edge.gauges().prefixes.blocks, 0U);
    EXPECT_EQ(d.edge.gauges().prefixes.trusted, 0U);
}

TEST(Prefix, EventsOfUnknownServersAndMalformedEventsAreIgnored) {
    Driver d(with_events());
    d.list({publishing("r1"), listed("w1", "writer")});
    d.step({stored_event("nobody", 0, 1), CacheEventMessage{"r1", 0, "\xc1", false}, CacheReplayEnded{"r1"},
            CacheReplayEnded{"nobody"}});
    EXPECT_EQ(d.edge.gauges().prefixes.malformed_messages, 1U);
    EXPECT_EQ(prefill_at(d, 1), "r1");
    Driver plain;  // no kind publishes cache events: they are not decoded
    plain.list_default_servers();
    plain.step({stored_event("r1", 0, 1), CacheReplayEnded{"r1"}});
    EXPECT_EQ(plain.edge.gauges().prefixes.messages, 0U);
}

}  // namespace
}  // namespace chalksail::core::testing
