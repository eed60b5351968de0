// Shuts down real gateway processes under load; a seed determines the details. Clients continue to use open
// connections until the process is killed. The earliest time of the kill is the longest deadline (3 s at
// most) plus 0.7 s after SIGTERM; half of the runs kill up to 1.5 s later. Runs send several signals in a
// row, let some servers hang, have decode servers send second responses, and open many idle connections.
#include <csignal>
#include <random>

#include "faults/process_rig.hpp"
#include "faults/request_events.hpp"

namespace chalksail::faults::testing {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// The randomly chosen parameters of a run.
struct Plan {
    std::chrono::milliseconds deadline{};  // deadline of each service class
    bool resume = true;                    // whether clients can resume a stream
    int clients = 0;
    int idle_connections = 0;
    double unanswered_fraction = 0;       // fraction of the calls that servers never answer
    double second_response_fraction = 0;  // fraction of the streams that are followed by a second response
    std::vector<int> signals;
    std::chrono::milliseconds warm_up{};     // load before the first signal
    std::chrono::milliseconds kill_delay{};  // time of the kill after its earliest time

    explicit Plan(std::mt19937& draw) {
        const std::vector<std::chrono::milliseconds> deadlines = {300ms,  500ms,  700ms,
                                                                  1200ms, 2000ms, 4000ms};
        const std::vector<std::vector<int>> series = {{SIGTERM},
                                                      {SIGTERM, SIGTERM},
                                                      {SIGHUP, SIGTERM},
                                                      {SIGTERM, SIGHUP},
                                                      {SIGHUP, SIGHUP, SIGTERM, SIGTERM},
                                                      {SIGTERM, SIGINT, SIGHUP}};
        deadline = deadlines[draw() % deadlines.size()];
        resume = draw() % 3 != 0;
        clients = 4 + static_cast<int>(draw() % 20);
        idle_connections = draw() % 3 == 0 ? 60 : 0;
        unanswered_fraction = draw() % 2 == 0 ? 0 : 0.25;
        signals = series[draw() % series.size()];
        warm_up = std::chrono::milliseconds(100 + draw() % 300);
        kill_delay = std::chrono::milliseconds(draw() % 2 == 0 ? 0 : draw() % 1500);
        second_response_fraction = draw() % 2 == 0 ? 0 : 0.3;
    }
    [[nodiscard]] Clock::duration kill_after() const {
        return std::min<Clock::duration>(deadline, 3s) + 700ms + kill_delay;
    }
};

// A client that sends one request after another on one connection.
struct LoadClient {
    std::unique_ptr<DirectClient> connection;
    std::string id;  // ID of the open request; empty if there is none
    Clock::time_point sent_at;
    Clock::time_point next_at;
};

// A request that ended without a complete answer.
struct Unanswered {
    std::string id;
    Clock::time_point sent_at;
    bool started = false;  // at least one event of its stream had arrived
    bool by_kill = false;  // the gateway was killed while the request was open
};

bool is_complete_answer(const std::string& got) {
    const auto head = got.find("\r\n\r\n");
    if (head == std::string::npos) return false;
    const auto length = got.find("Content-Length: ");
    if (length < head) return got.size() >= head + 4 + std::stoul(got.substr(length + 16));
    return got.ends_with("0\r\n\r\n");
}

class ShutdownSoak : public ProcessRig, public ::testing::WithParamInterface<unsigned> {
protected:
    ShutdownSoak() : draw_(GetParam()), plan_(draw_) {
        const std::string ns = std::to_string(plan_.deadline.count()) + "000000";
        settings = {{"\"aim_ns\":1000000000,\"deadline_ns\":4000000000",
                     "\"aim_ns\":100000000,\"deadline_ns\":" + ns},
                    {"\"aim_ns\":2500000000,\"deadline_ns\":12000000000",
                     "\"aim_ns\":200000000,\"deadline_ns\":" + ns}};
        if (!plan_.resume) settings.emplace_back("\"resume\":true", "\"resume\":false");
    }

    std::chrono::milliseconds up_to(std::chrono::milliseconds max) {
        return std::chrono::milliseconds(draw_() % static_cast<unsigned>(max.count() + 1));
    }
    bool happens(double fraction) { return std::uniform_real_distribution<>(0, 1)(draw_) < fraction; }
    bool hangs() { return happens(plan_.unanswered_fraction); }
    // Schedules an action of a server. Sending to a peer that has disconnected by then has no effect.
    void later(std::chrono::milliseconds after, std::function<void()> act) {
        due_.emplace(Clock::now() + after, std::move(act));
    }
    void serve() {
        reader = std::make_unique<RawServer>(loop, [this](RawServer::Peer& p) {
            if (p.server->last.starts_with("DELETE")) return p.send(kNoContentResponse);
            if (!hangs()) later(up_to(60ms), [&p] { p.send(kAcceptedResponse); });
        });
        writer = std::make_unique<RawServer>(loop, [this](RawServer::Peer& p) {
            if (p.server->last.starts_with("DELETE")) return p.send(kNoContentResponse);
            if (!hangs()) stream(p);
        });
    }
    void stream(RawServer::Peer& p) {
        const std::string id = request_id(p.server->last);
        const std::string event = chunked(event_of(id));
        auto at = up_to(3 * plan_.deadline);
        later(at, [&p, event] { p.send(net::testing::kStreamHead + event); });
        for (auto events = draw_() % 12; events > 0; --events)
            later(at += up_to(80ms), [&p, event] { p.send(event); });
        const bool has_second_response = happens(plan_.second_response_fraction);
        later(at + 1ms, [this, &p, id, has_second_response] {
            p.send(chunked("data: [DONE]\n\n") + "0\r\n\r\n");
            if (has_second_response) send_second_response(p, id);
        });
    }
    void send_second_response(RawServer::Peer& peer, const std::string& id) {
        const auto first_ended_at = Clock::now();
        later(kMinSecondResponseDelay + up_to(kMaxSecondResponseDelay - kMinSecondResponseDelay),
              [&peer, id, first_ended_at] {
                  if (Clock::now() <= first_ended_at + kMaxSecondResponseDelay) peer.send(stream_of(id));
              });
    }
    // Runs one turn of the stand-ins and the clients.
    void turn() {
        uv_run(&loop, UV_RUN_NOWAIT);
        while (!due_.empty() && due_.begin()->first <= Clock::now()) {
            const auto act = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            act();
        }
        for (auto& c : clients_) act(c);
        usleep(300);
    }
    void act(LoadClient& c) {
        const auto now = Clock::now();
        if (c.connection == nullptr) {
            if (now >= connect_until_) return;
            c.connection = std::make_unique<DirectClient>(address);
        }
        const bool open = c.connection->read();
        const bool foreign = !c.id.empty() && has_foreign_event(c.connection->got, c.id);
        EXPECT_FALSE(foreign) << c.id << " got " << c.connection->got;
        if (!c.id.empty() && is_complete_answer(c.connection->got)) {
            c.id.clear();
            c.next_at = now + up_to(30ms);
        }
        if (!open) {
            if (!c.id.empty()) record_unanswered(c, false);
            c.id.clear();
            c.connection = nullptr;
            return;
        }
        if (c.id.empty() && now >= c.next_at) send_request(c);
    }
    void send_request(LoadClient& c) {
        c.id = "q" + std::to_string(++requests_sent_);
        c.connection->got.clear();
        // The request may last longer than its class's deadline, as its time limit grows with its prompt.
        const auto time_left = plan_.deadline + up_to(3 * plan_.deadline);
        c.sent_at = Clock::now();
        c.connection->try_send(platform_messages::post(c.id, draw_() % 2 == 0 ? "chat" : "order", "",
                                                       std::to_string(time_left.count()) + "m"));
    }
    void record_unanswered(const LoadClient& c, bool by_kill) {
        unanswered_.push_back(
            {c.id, c.sent_at, c.connection->got.find("data: ") != std::string::npos, by_kill});
    }
    void run_for(Clock::duration time) {
        const auto end = Clock::now() + time;
        while (Clock::now() < end && !exited) turn();
    }
    // Returns whether the gateway is responsible for the missing answer.
    bool lost(const Unanswered& u, Clock::time_point terminated_at) const {
        if (u.by_kill) return u.sent_at > terminated_at + 700ms;
        if (u.started) return !plan_.resume;
        // A client resends a request that the gateway had not read when the connection ended.
        return log().find("\"request\":\"" + u.id + "\"") != std::string::npos;
    }

    std::mt19937 draw_;
    Plan plan_;
    std::multimap<Clock::time_point, std::function<void()>> due_;
    std::vector<LoadClient> clients_;
    std::vector<Unanswered> unanswered_;
    Clock::time_point connect_until_ = Clock::time_point::max();
    int requests_sent_ = 0;
};
INSTANTIATE_TEST_SUITE_P(Seeds, ShutdownSoak, ::testing::Range(1U, 61U));

TEST_P(ShutdownSoak, NoAcceptedRequestIsLost) {
    serve();
    start(reader->address, writer->address, "");
    std::vector<std::unique_ptr<DirectClient>> idle_connections;
    for (int i = 0; i < plan_.idle_connections; ++i)
        idle_connections.push_back(std::make_unique<DirectClient>(address));
    clients_.resize(static_cast<std::size_t>(plan_.clients));
    run_for(plan_.warm_up);
    ASSERT_FALSE(exited) << log();

    std::optional<Clock::time_point> terminated_at;
    for (const int signal : plan_.signals) {
        if (signal != SIGHUP && !terminated_at) terminated_at = Clock::now();
        ::kill(gateway(), signal);
        run_for(up_to(5ms));
    }
    connect_until_ = *terminated_at + 300ms;
    run_for(*terminated_at + plan_.kill_after() - Clock::now());
    const bool exited_by_itself = exited;
    if (!exited) kill();
    until([this] { return exited; });
    for (auto& c : clients_) {
        if (c.connection == nullptr || c.id.empty()) continue;
        c.connection->read();
        if (!is_complete_answer(c.connection->got)) record_unanswered(c, !exited_by_itself);
    }
    int lost_requests = 0;
    for (const auto& u : unanswered_) {
        if (!lost(u, *terminated_at)) continue;
        lost_requests += 1;
        ADD_FAILURE() << "lost: " << u.id << ", sent "
                      << std::chrono::duration<double>(u.sent_at - *terminated_at).count()
                      << " s after the signal" << (u.started ? ", its stream had begun" : "")
                      << (u.by_kill ? ", killed" : ", ended by the gateway");
    }
    EXPECT_EQ(lost_requests, 0) << "deadline " << plan_.deadline.count() << " ms, resume " << plan_.resume
                                << ", clients " << plan_.clients << ", idle connections "
                                << plan_.idle_connections << "\n"
                                << log();
    EXPECT_GT(requests_sent_, 0);
}

}  // namespace
}  // namespace chalksail::faults::testing
