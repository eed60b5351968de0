// Tests the phases, timers and limits of active requests.
#include "core/active_requests.hpp"

#include <gtest/gtest.h>

#include "core/driver.hpp"

namespace chalksail::core::testing {
namespace {

constexpr Time kNow{1000s};

// A session of a streaming client that implements nothing else.
class StreamSession : public ProtocolSession {
public:
    [[nodiscard]] ServerRequest prefill_request(std::int64_t, Duration) const override { return {}; }
    [[nodiscard]] ServerRequest decode_request(std::int64_t, const std::string&, Duration) const override {
        return {};
    }
    [[nodiscard]] std::unique_ptr<DecodeResponseParser> decode_parser() override { return nullptr; }
    void free_attempt_data() override {}
    [[nodiscard]] http::Headers stream_head() const override { return {}; }
    [[nodiscard]] std::optional<std::string> stream_error(int, const std::string&) const override {
        return std::nullopt;
    }
    [[nodiscard]] ClientResponse rejection(Duration) const override { return {}; }
    [[nodiscard]] ClientResponse failure(int, const std::string&, bool) const override { return {}; }
    [[nodiscard]] ClientResponse server_rejection(int, const ResponseHead&, std::string) const override {
        return {};
    }
};

std::unique_ptr<ActiveRequest> request(std::uint64_t id, std::size_t body_bytes = 10) {
    auto out = std::make_unique<ActiveRequest>();
    out->id = {id};
    out->client = {id + 100};
    out->body_bytes = body_bytes;
    out->arrived = kNow;
    out->deadline = kNow + 4s;
    out->parsed.protocol_session = std::make_unique<StreamSession>();
    return out;
}

TEST(ActiveRequests, CountsFollowThePhases) {
    const config::EdgeLimits limits;
    ActiveRequests requests(limits);
    ActiveRequest& one = requests.add(request(1));
    requests.add(request(2));
    EXPECT_EQ(requests.unfinished_count(), 2U);
    EXPECT_EQ(requests.find(ClientId{101}), &one);

    requests.start_stream(one, kNow + 1s);
    EXPECT_EQ(one.phase, RequestPhase::streaming);
    EXPECT_EQ(requests.streaming_count(), 1U);

    requests.finish(one);
    EXPECT_TRUE(one.finished());
    EXPECT_TRUE(one.stream_started());
    EXPECT_EQ(requests.unfinished_count(), 1U);
    EXPECT_EQ(requests.streaming_count(), 0U);
    EXPECT_EQ(requests.find(ClientId{101}), nullptr);
    EXPECT_EQ(requests.unfinished(), std::vector<RequestId>{{2}});

    requests.remove(one);
    EXPECT_EQ(requests.find(RequestId{1}), nullptr);
}

TEST(ActiveRequests, LimitsCountOpenRequestsAndBytesOfBodiesNotYetFreed) {
    config::EdgeLimits limits;
    limits.open_requests = 2;
    limits.request_bytes = 100;
    ActiveRequests requests(limits);
    ActiveRequest& one = requests.add(request(1, 60));
    EXPECT_TRUE(requests.has_capacity(40));
    EXPECT_FALSE(requests.has_capacity(41));
    requests.free_body(one);
    EXPECT_TRUE(requests.has_capacity(100));
    requests.add(request(2, 0));
    EXPECT_FALSE(requests.has_capacity(0));
    requests.finish(one);
    EXPECT_TRUE(requests.has_capacity(0));
}

TEST(ActiveRequests, TimersFireInOrderAndOncePerRequest) {
    const config::EdgeLimits limits;
    ActiveRequests requests(limits);
    ActiveRequest& one = requests.add(request(1));
    ActiveRequest& two = requests.add(request(2));
    requests.set_timer(one, kNow + 1s);
    requests.set_timer(two, kNow + 2s);
    requests.set_timer(one, kNow + 3s);  // replaces the first timer
    EXPECT_EQ(requests.next_timer(), kNow + 2s);
    EXPECT_EQ(requests.pop_due(kNow + 1s), nullptr);
    EXPECT_EQ(requests.pop_due(kNow + 5s), &two);
    EXPECT_EQ(requests.pop_due(kNow + 5s), &one);
    EXPECT_EQ(requests.next_timer(), std::nullopt);
    requests.set_timer(one, kNow + 6s);
    requests.finish(one);
    EXPECT_EQ(requests.next_timer(), std::nullopt);
}

TEST(ActiveRequests, OnlyUnfinishedRequestsBecomeOverdue) {
    const config::EdgeLimits limits;
    ActiveRequests requests(limits);
    ActiveRequest& one = requests.add(request(1));
    ActiveRequests::mark_overdue(one);
    EXPECT_EQ(one.phase, RequestPhase::overdue);
    requests.finish(one);
    ActiveRequests::mark_overdue(one);
    EXPECT_EQ(one.phase, RequestPhase::finished);
}

TEST(StreamLimit, UsesTheEarliestLimitAndPausedStreamsAreNotIdle) {
    config::EdgeLimits limits;
    limits.max_stream_duration = 60s;
    limits.stream_idle_timeout = 5s;
    const auto one = request(1);
    one->first_chunk = kNow;
    one->last_chunk = one->last_byte = kNow + 1s;
    EXPECT_EQ(stream_limit(*one, limits, false, kNow + 3s).end, kNow + 60s);
    EXPECT_EQ(stream_limit(*one, limits, false, kNow + 3s).idle, kNow + 6s);
    EXPECT_EQ(stream_limit(*one, limits, true, kNow + 3s).idle, kNow + 8s);
    limits.max_event_duration = 7s;
    one->last_byte = kNow + 2s;  // part of a chunk
    EXPECT_EQ(stream_limit(*one, limits, false, kNow + 3s).idle, kNow + 7s);
    one->last_byte = kNow + 6s;
    EXPECT_EQ(stream_limit(*one, limits, false, kNow + 7s).idle, kNow + 8s);
    one->migrate_at = kNow + 10s;
    EXPECT_EQ(stream_limit(*one, limits, true, kNow + 9s).next_check(), kNow + 10s);
    EXPECT_TRUE(stream_limit(*one, limits, true, kNow + 10s).reached(kNow + 10s));
}

}  // namespace
}  // namespace chalksail::core::testing
