// Tests how the HTTP server treats requests that clients pipeline: fair shares of the event loop, order,
// limits and shutdown.
#include <map>
#include <optional>
#include <utility>

#include "net/loop_handles.hpp"
#include "net/platform_rig.hpp"

namespace chalksail::net::testing {
namespace {

constexpr int kManyRequests = 1000;

std::string pipelined(const std::string& request, int count) {
    std::string all;
    for (int i = 0; i < count; ++i) all += request;
    return all;
}

std::size_t count_responses(const std::string& received, const std::string& status_line = "HTTP/1.1 ") {
    std::size_t count = 0;
    for (auto at = received.find(status_line); at != std::string::npos;
         at = received.find(status_line, at + 1))
        ++count;
    return count;
}

// A server whose handler responds at once, with the request's target as the body.
class Echo : public ::testing::Test, public HttpServer::Handler {
protected:
    Echo() {
        std::signal(SIGPIPE, SIG_IGN);
        uv_loop_init(&loop_);
    }
    ~Echo() override {
        clients_.clear();
        server_.reset();
        after_reads_.reset();
        for (int i = 0; i < 1000 && uv_run(&loop_, UV_RUN_NOWAIT) != 0; ++i) {
        }
        EXPECT_EQ(uv_loop_close(&loop_), 0) << "a handle is still open";
    }
    void start(const ServerLimits& limits = {}) {
        server_ = std::make_unique<HttpServer>(loop_, static_cast<HttpServer::Handler&>(*this), limits);
        address_ = server_->listen({"127.0.0.1", 0});
        after_reads_.emplace(loop_, [this] {
            server_->flush();
            turn_ += 1;
        });
    }
    RawClient& client() {
        clients_.push_back(std::make_unique<RawClient>(loop_, address_));
        return *clients_.back();
    }
    // Runs the loop until the condition holds. The time limit only keeps a broken build from hanging.
    bool until(const std::function<bool()>& condition) {
        const auto limit = uv_hrtime() + 60'000'000'000ULL;
        while (!condition() && uv_hrtime() < limit) uv_run(&loop_, UV_RUN_ONCE);
        return condition();
    }

    void on_request(HttpServer::Peer peer, http::Request request, Time received_at) override {
        delivered_.emplace_back(turn_, request.target);
        received_at_.emplace_back(received_at, uv_now_time());
        server_->reply(peer, 200, {}, response_body_.empty() ? request.target : response_body_);
    }
    void on_closed(HttpServer::Peer, const ConnectionEnd&) override {}

    uv_loop_t loop_{};
    std::unique_ptr<HttpServer> server_;
    std::optional<CheckHandle> after_reads_;
    Address address_;
    std::vector<std::unique_ptr<RawClient>> clients_;
    std::string response_body_;  // if empty, the request's target
    int turn_ = 0;
    std::vector<std::pair<int, std::string>> delivered_;  // the turn and target of each request
    std::vector<std::pair<Time, Time>> received_at_;      // as reported for each request, and the time then
};

// Guards against a client that pipelines hundreds of requests: all of them were parsed and answered in one
// turn of the loop, and other clients waited for seconds.
TEST_F(Echo, EachTurnDeliversOnePipelinedRequestOfAConnection) {
    start();
    client().send(pipelined("GET /a HTTP/1.1\r\n\r\n", kManyRequests));
    client().send(pipelined("GET /b HTTP/1.1\r\n\r\n", kManyRequests));
    ASSERT_TRUE(until([&] { return delivered_.size() == 2U * kManyRequests; }));
    std::map<std::pair<int, std::string>, int> in_turn;
    for (const auto& delivery : delivered_) in_turn[delivery] += 1;
    for (const auto& [delivery, count] : in_turn) ASSERT_EQ(count, 1) << "turn " << delivery.first;
}

// The same where the input takes many reads.
TEST_F(Echo, EachTurnDeliversOneLargePipelinedRequestOfAConnection) {
    start();
    const std::string body(12'000, 'x');
    const std::string request = "POST /a HTTP/1.1\r\nContent-Length: 12000\r\n\r\n" + body;
    client().send(pipelined(request, 300));
    ASSERT_TRUE(until([&] { return delivered_.size() == 300; }));
    for (std::size_t i = 1; i < delivered_.size(); ++i)
        ASSERT_NE(delivered_[i].first, delivered_[i - 1].first) << i;
}

TEST_F(Echo, PipelinedRequestsAreAnsweredInOrderWhateverTheirSize) {
    start();
    std::string all;
    std::string expected;
    for (int i = 0; i < 200; ++i) {
        const std::string target = "/" + std::to_string(i);
        const std::string body(static_cast<std::size_t>(i * i), 'x');
        all += "POST " + target + " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
        expected += target;
    }
    client().send(all);
    ASSERT_TRUE(until([&] { return delivered_.size() == 200; }));
    std::string targets;
    for (const auto& [turn, target] : delivered_) targets += target;
    EXPECT_EQ(targets, expected);
    EXPECT_TRUE(until([&] { return count_responses(clients_[0]->got()) == 200; }));
}

// Guards against a request that is timed from the response before it: servers were told time that was not
// left, and clients were answered after their time (review/7).
TEST_F(Echo, PipelinedRequestsKeepTheTimeAtWhichTheyWereReceived) {
    start();
    client().send(pipelined("GET /a HTTP/1.1\r\n\r\n", kManyRequests));  // less than one read
    ASSERT_TRUE(until([&] { return delivered_.size() == kManyRequests; }));
    const auto [first_received_at, first_delivered_at] = received_at_.front();
    EXPECT_LE(first_received_at, first_delivered_at);
    for (const auto& [received_at, delivered_at] : received_at_) ASSERT_EQ(received_at, first_received_at);
}

// The time is that of the request's last byte.
TEST_F(Echo, RequestIsReceivedWhenItsLastByteIs) {
    start();
    RawClient& c = client();
    c.send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n");
    ASSERT_TRUE(until([&] { return count_responses(c.got()) == 1; }));
    const Time before = uv_now_time();
    c.send("\r\n");
    ASSERT_TRUE(until([&] { return count_responses(c.got()) == 2; }));
    EXPECT_GE(received_at_[1].first, before);
}

// What was received before the shutdown is answered, also where it was not parsed yet.
TEST_F(Echo, DrainAnswersDeferredRequestsThenEndsTheConnection) {
    start();
    RawClient& c = client();
    c.send(pipelined("GET /a HTTP/1.1\r\n\r\n", 50));
    ASSERT_TRUE(until([&] { return delivered_.size() == 2; }));
    server_->drain();
    ASSERT_TRUE(until([&] { return c.closed(); }));
    EXPECT_EQ(count_responses(c.got()), 50U);
}

TEST_F(Echo, DeferredRequestsOfAClosedConnectionAreDropped) {
    start();
    RawClient& c = client();
    c.send(pipelined("GET /a HTTP/1.1\r\n\r\n", kManyRequests));
    ASSERT_TRUE(until([&] { return delivered_.size() == 2; }));
    server_->close_all();
    EXPECT_TRUE(until([&] { return c.closed(); }));
    EXPECT_EQ(delivered_.size(), 2U);
    EXPECT_EQ(server_->counts().connections, 0U);
}

TEST_F(Echo, DeferredRequestsOfAClientThatClosesAreDropped) {
    start();
    RawClient& c = client();
    c.send(pipelined("GET /a HTTP/1.1\r\n\r\n", kManyRequests));
    ASSERT_TRUE(until([&] { return delivered_.size() == 2; }));
    c.close();
    ASSERT_TRUE(until([&] { return server_->counts().connections == 0; }));
    EXPECT_LT(delivered_.size(), static_cast<std::size_t>(kManyRequests));
    const auto delivered = delivered_.size();
    client().send("GET /b HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(until([&] { return delivered_.size() > delivered; }));
    EXPECT_EQ(delivered_.back().second, "/b");
}

// A malformed request ends the connection behind the responses to those before it.
TEST_F(Echo, MalformedRequestBehindDeferredOnesIsRejectedInOrder) {
    start();
    RawClient& c = client();
    c.send(pipelined("GET /a HTTP/1.1\r\n\r\n", 20) + "what is this\r\n\r\n" +
           pipelined("GET /a HTTP/1.1\r\n\r\n", 20));
    ASSERT_TRUE(until([&] { return c.got().find("HTTP/1.1 400") != std::string::npos; }));
    EXPECT_EQ(count_responses(c.got(), "HTTP/1.1 200"), 20U);
    EXPECT_EQ(count_responses(c.got(), "HTTP/1.1 400"), 1U);
    EXPECT_TRUE(until([&] { return c.closed(); }));
    EXPECT_EQ(delivered_.size(), 20U);
}

// Guards against a client that sends requests without reading the responses, which were buffered without a
// limit. The requests wait until it reads, whether they came at once or one by one.
class UnreadResponses : public Echo, public ::testing::WithParamInterface<bool> {};
TEST_P(UnreadResponses, DelayFurtherRequestsOfTheConnection) {
    constexpr int kRequests = 600;
    constexpr std::size_t kResponseBytes = 64 * 1024;  // in total more than the sockets buffer
    start();
    response_body_ = std::string(kResponseBytes, 'x');
    const std::string request = "GET /a HTTP/1.1\r\n\r\n";
    RawClient& c = client();
    c.stop_reading();
    const bool at_once = GetParam();
    if (at_once) c.send(pipelined(request, kRequests));
    for (int i = 0; i < kRequests; ++i) {
        if (!at_once) c.send(request);
        for (int turns = 0; turns < 4; ++turns) uv_run(&loop_, UV_RUN_NOWAIT);
    }
    // More turns than requests, for those that are deferred.
    for (int i = 0; i < kRequests; ++i) uv_run(&loop_, UV_RUN_NOWAIT);
    EXPECT_LT(delivered_.size(), static_cast<std::size_t>(kRequests));
    c.resume_reading();
    EXPECT_TRUE(until([&] { return c.got().size() > kRequests * kResponseBytes; }));
    EXPECT_EQ(delivered_.size(), static_cast<std::size_t>(kRequests));
}
INSTANTIATE_TEST_SUITE_P(Ways, UnreadResponses, ::testing::Bool());

// Input beyond the limit is discarded; the client gets the responses to what was kept, then an error.
TEST_F(Echo, InputBeyondThePipeliningLimitIsRejectedBehindTheResponses) {
    ServerLimits limits;
    limits.pipelined_bytes = 20'000;
    start(limits);
    RawClient& c = client();
    const std::string request = "POST /a HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x');
    c.send(pipelined(request, 500));
    ASSERT_TRUE(until([&] { return c.closed(); }));
    EXPECT_GE(count_responses(c.got(), "HTTP/1.1 200"), 20U);
    EXPECT_LT(delivered_.size(), 500U);
    EXPECT_EQ(count_responses(c.got(), "HTTP/1.1 503"), 1U);
    EXPECT_EQ(count_responses(c.got()), delivered_.size() + 1);
}

// Guards against forwarding a request whose time passed while its client's earlier request was answered. It
// is rejected at once behind that, and no server gets it (review/7).
TEST_F(PlatformRig, PipelinedRequestWhoseTimeHasPassedIsRejectedWithoutAnAttempt) {
    RawServer::Peer* decoding = nullptr;
    begin([&](auto& p) {
        if (decoding != nullptr) return p.send(kStream);
        decoding = &p;
        p.send(kStreamHead + chunked(kEvent));
    });
    RawClient& c = client();
    const Time sent_at = uv_now_time();
    c.send(messages::post("a1") + messages::post("a2", "chat", "", "200m"));
    ASSERT_TRUE(answered(c, "data: "));
    // The loop runs meanwhile, by the timers of the gateway.
    ASSERT_TRUE(until([&] { return uv_now_time() > sent_at + 200ms; }));
    const int prefills = reader->requests;
    decoding->send(chunked("data: [DONE]\n\n") + "0\r\n\r\n");
    ASSERT_TRUE(answered(c, "HTTP/1.1 503"));
    EXPECT_EQ(reader->requests, prefills);
    EXPECT_EQ(writer->requests, 1);
    c.send(messages::post("a3"));
    EXPECT_TRUE(until([&] { return count_responses(c.got(), "HTTP/1.1 200") == 2; }));
}

// Guards against the same in the gateway as a whole, whose event loop went on while a response made the next
// request available.
TEST_F(PlatformRig, OtherClientsAreServedBetweenThePipelinedRequestsOfOne) {
    begin([](auto& p) { p.send(kStream); });
    ASSERT_TRUE(served("a1"));
    RawClient& pipelining = client();
    RawClient& other = client();
    pipelining.send(pipelined(messages::post("bad", "nobody"), kManyRequests));
    ASSERT_TRUE(until([&] { return count_responses(pipelining.got()) > 0; }));
    other.send(messages::post("a2"));
    ASSERT_TRUE(answered(other, "0\r\n\r\n"));
    EXPECT_LT(count_responses(pipelining.got()), static_cast<std::size_t>(kManyRequests));
    EXPECT_TRUE(until([&] { return count_responses(pipelining.got()) == kManyRequests; }));
}

}  // namespace
}  // namespace chalksail::net::testing
