// A gateway process between crowds of harmful clients and harmful servers; a seed determines which, how many,
// and the process's limits. Usual clients beside them get their answers, and the process stays within its
// memory limit.
#include <random>
#include <set>

#include "faults/crowd_rig.hpp"

namespace chalksail::faults::testing {
namespace {

using namespace std::chrono_literals;

// What the clients of a crowd do.
enum class Crowd {
    heads_of_many_fields,   // over the limit of fields
    incomplete_heads,       // within the limits
    half_requests,          // stop within a body
    slow_writers,           // send a large body slowly
    large_requests,         // send a large body at once
    slow_readers,           // hardly read their responses
    pipelined_requests,     // many at once, all valid
    flood_of_new_names,     // small requests at full speed, each under a new name
    flood_of_bad_requests,  // the same, without a valid class
    huge_bodies,            // announce and send more than any limit
    silent,                 // send nothing
};
constexpr int kCrowds = 11;

// The randomly chosen parameters of a run.
struct Plan {
    int memory_mb = 32;
    int descriptors = 1024;
    std::vector<std::pair<Crowd, int>> crowds;  // with the number of clients
    double bad_response_fraction = 0;
    std::size_t body_bytes = 0;

    explicit Plan(std::mt19937& draw) {
        memory_mb = draw() % 3 == 0 ? 64 : 32;
        descriptors = std::vector<int>{256, 512, 1024, 1024}[draw() % 4];
        int remaining = descriptors * 11 / 20;
        for (auto kinds = 1 + draw() % 4; kinds > 0; --kinds) {
            const auto crowd = static_cast<Crowd>(draw() % kCrowds);
            const bool flood = crowd == Crowd::flood_of_new_names || crowd == Crowd::flood_of_bad_requests;
            const int count = flood ? 1 : 1 + static_cast<int>(draw() % static_cast<unsigned>(remaining));
            crowds.emplace_back(crowd, count);
            remaining = std::max(1, remaining - count);
        }
        bad_response_fraction = std::vector<double>{0, 0.1, 0.5}[draw() % 3];
        body_bytes = 1'000 + draw() % 260'000;
    }
};

// A client that sends one request after another, each on a new connection.
struct UsualClient {
    std::unique_ptr<DirectClient> connection;
    std::string id;
    std::chrono::steady_clock::time_point next_at;
};

class CrowdSoak : public CrowdRig, public ::testing::WithParamInterface<unsigned> {
protected:
    static constexpr auto kRunTime = 3500ms;
    static constexpr auto kPause = 20ms;  // of a usual client between two requests

    CrowdSoak() : draw_(GetParam()), plan_(draw_) { set_limits(plan_.memory_mb, plan_.descriptors); }

    bool happens(double fraction) { return std::uniform_real_distribution<>(0, 1)(draw_) < fraction; }
    void serve() {
        reader = std::make_unique<RawServer>(loop, [this](RawServer::Peer& p) {
            if (p.server->last.starts_with("DELETE")) return p.send(kNoContentResponse);
            p.send(happens(plan_.bad_response_fraction) ? bad_prefill() : kAcceptedResponse);
        });
        writer = std::make_unique<RawServer>(loop, [this](RawServer::Peer& p) {
            if (p.server->last.starts_with("DELETE")) return p.send(kNoContentResponse);
            if (happens(plan_.bad_response_fraction)) return p.send(bad_stream());
            p.send(happens(0.5) ? kStream : long_stream(30, 8'000));
        });
    }
    std::string bad_prefill() {
        switch (draw_() % 3) {
            case 0: return "";
            case 1:
                return "HTTP/1.1 202 Accepted\r\nContent-Length: 66000\r\n\r\n" + std::string(60'000, 'x');
            default: return response_head_of_many_fields();
        }
    }
    std::string bad_stream() {
        switch (draw_() % 4) {
            case 0: return kStreamHead + chunked("data: " + std::string(60'000, 'x'));
            case 1: return response_head_of_many_fields();
            case 2: return long_stream(40, 60'000);
            default:
                return kStreamHead + chunked("data: {}\n\n") + "ffffffff\r\n" + std::string(500'000, 'x');
        }
    }
    static std::string response_head_of_many_fields() {
        std::string head = "HTTP/1.1 200 OK\r\n";
        for (int i = 0; i < 15'000; ++i) head += "a:\r\n";
        return head;
    }
    CrowdClient::Behaviour behaviour(Crowd crowd, int number) {
        const std::string id = "c" + std::to_string(static_cast<int>(crowd)) + "-" + std::to_string(number);
        const auto send = [](std::string bytes) { return CrowdClient::Behaviour{std::move(bytes)}; };
        switch (crowd) {
            case Crowd::heads_of_many_fields: return send(head_of_short_fields(16'000));
            case Crowd::incomplete_heads: {
                std::string head = "POST /v1/chat/completions HTTP/1.1\r\n";
                for (int i = 0; i < 90; ++i) head += "a: " + std::string(150, 'x') + "\r\n";
                return send(head);
            }
            case Crowd::half_requests: {
                const std::string request = large_post(id, plan_.body_bytes);
                return send(request.substr(0, request.size() - 500));
            }
            case Crowd::slow_writers:
                return {large_post(id, plan_.body_bytes), std::max<std::size_t>(1, plan_.body_bytes / 1000)};
            case Crowd::large_requests: return send(large_post(id, plan_.body_bytes, "order"));
            case Crowd::slow_readers: return {platform_messages::post(id), 16 * 1024, 100, 2048};
            case Crowd::pipelined_requests: {
                std::string requests;
                for (int i = 0; i < 100; ++i)
                    requests += platform_messages::post(id + "-" + std::to_string(i));
                return send(requests);
            }
            case Crowd::flood_of_new_names:
                return {
                    "",
                    1 << 20,
                    1 << 20,
                    0,
                    [](int i) { return platform_messages::post("n" + std::to_string(i), "chat", "", "1m"); },
                    2000};
            case Crowd::flood_of_bad_requests:
                return {"",
                        1 << 20,
                        1 << 20,
                        0,
                        [](int i) {
                            return platform_messages::post("b" + std::to_string(i), "k" + std::to_string(i));
                        },
                        2000};
            case Crowd::huge_bodies:
                return send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffff\r\n" +
                            std::string(1'000'000, 'x'));
            case Crowd::silent: break;
        }
        return send("");
    }
    void begin_crowds() {
        for (const auto& [crowd, count] : plan_.crowds)
            add(count, [this, crowd = crowd](int number) { return behaviour(crowd, number); });
    }
    // Lets a usual client send its next request, or read its answer. A connection that the gateway closes
    // unread, as it may at its limit of connections, is followed by another.
    void act(UsualClient& client) {
        if (client.connection == nullptr) {
            if (std::chrono::steady_clock::now() < client.next_at) return;
            client.id = "u" + std::to_string(++usual_requests_);
            client.connection = std::make_unique<DirectClient>(address);
            client.connection->try_send(platform_messages::post(client.id, "chat", "", "2000m"));
            return;
        }
        const bool open = client.connection->read();
        const std::string& got = client.connection->got;
        const bool answered = got.ends_with("0\r\n\r\n") || got.find("\"error\"") != std::string::npos;
        if (open && !answered) return;
        // A stream that its server has spoilt ends without its last chunk.
        if (!answered && got.empty()) closed_unanswered_.push_back(client.id);
        answered_ += answered ? 1 : 0;
        client.next_at = std::chrono::steady_clock::now() + kPause;
        client.connection = nullptr;
    }
    // Returns the ids of the usual requests that the gateway has logged.
    [[nodiscard]] std::set<std::string> logged_usual_requests() const {
        const std::string begin = "\"request\":\"u";
        std::set<std::string> ids;
        std::ifstream in(folder + "/log");
        for (std::string line; std::getline(in, line);) {
            const auto at = line.find(begin);
            if (at == std::string::npos) continue;
            const auto id = at + begin.size() - 1;
            ids.insert(line.substr(id, line.find('"', id) - id));
        }
        return ids;
    }
    [[nodiscard]] std::string description() const {
        std::string text = std::to_string(plan_.memory_mb) + " MB, " + std::to_string(plan_.descriptors) +
                           " descriptors, bad responses " + std::to_string(plan_.bad_response_fraction) +
                           ", bodies of " + std::to_string(plan_.body_bytes) + " bytes, crowds";
        for (const auto& [crowd, count] : plan_.crowds)
            text += " " + std::to_string(static_cast<int>(crowd)) + ":" + std::to_string(count);
        return text;
    }

    std::mt19937 draw_;
    Plan plan_;
    std::vector<std::string> closed_unanswered_;
    int usual_requests_ = 0;
    int answered_ = 0;
};
INSTANTIATE_TEST_SUITE_P(Seeds, CrowdSoak, ::testing::Range(1U, 61U));

TEST_P(CrowdSoak, MemoryStaysWithinItsLimitAndUsualClientsAreAnswered) {
    serve();
    start(reader->address, writer->address, "");
    begin_crowds();
    std::vector<UsualClient> usual(6);
    const auto end = std::chrono::steady_clock::now() + kRunTime;
    while (std::chrono::steady_clock::now() < end && !exited) {
        turn();
        for (auto& client : usual) act(client);
        usleep(300);
    }
    const auto is_answered = [this](UsualClient& client) {
        if (client.connection != nullptr) act(client);
        return client.connection == nullptr;
    };
    EXPECT_TRUE(until([&] {
        turn();
        return std::all_of(usual.begin(), usual.end(), is_answered);
    })) << description();
    expect_within_memory(plan_.memory_mb);
    if (HasFailure()) ADD_FAILURE() << description();
    const auto logged = logged_usual_requests();
    for (const auto& id : closed_unanswered_) EXPECT_FALSE(logged.contains(id)) << "lost: " << id;
    EXPECT_GT(answered_, 0) << description();
}

}  // namespace
}  // namespace chalksail::faults::testing
