// A flood of cache events beside streams: how much later do chunks come, in one run without and with it?
//
//   build/bin/chalksail-flood-bench     prints one JSON object; some 25 seconds
//
// One process holds the edge, a reader and a writer that answer at once, and the client, all on one loop: a
// turn that is taken by events is a turn in which no chunk moves. A second process publishes. Each chunk
// carries the moment when its engine wrote it.
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "chat/sse.hpp"
#include "net/edge_server.hpp"
#include "sockets/cache_publisher.hpp"

using namespace chalksail;

namespace {

constexpr int kStreams = 40;
constexpr std::uint64_t kChunkEveryMs = 5;
constexpr int kBatchesEachSecond = 1'000;
constexpr int kEventsEachBatch = 100;
constexpr std::uint64_t kPhase = 10'000'000'000ULL;

// Blocks of 16 tokens, each another text; the engine's oldest go as new ones come.
void publish_flood(int to_parent, int from_parent) {
    lab::CachePublisher publisher(100, [] { return false; });
    const std::string where =
        format_address(publisher.events()) + " " + format_address(publisher.replay()) + "\n";
    if (write(to_parent, where.data(), where.size()) < 0) return;
    char command = 0;
    if (read(from_parent, &command, 1) != 1) return;
    std::uint64_t hash = 0;
    const std::uint64_t from = uv_hrtime();
    for (std::uint64_t batch = 0; uv_hrtime() < from + kPhase; ++batch) {
        std::vector<prefix::Event> events;
        for (int i = 0; i < kEventsEachBatch; ++i) {
            prefix::BlockStored e;
            e.block_size = 16;
            e.blocks = {++hash};
            for (std::uint64_t t = 0; t < 16; ++t)
                e.tokens.push_back(static_cast<prefix::Token>(hash * 2654435761U + t));
            events.emplace_back(std::move(e));
        }
        publisher.publish(std::move(events));
        publisher.tick();
        const std::uint64_t due = from + (batch + 1) * 1'000'000'000ULL / kBatchesEachSecond;
        while (uv_hrtime() < due) usleep(100);
    }
    const std::string count = std::to_string(hash) + "\n";
    if (write(to_parent, count.data(), count.size()) < 0) return;
    // Stays until the other end closes: its last messages are still on the way.
    while (read(from_parent, &command, 1) > 0) {
    }
}

std::string line(int fd) {
    std::string out;
    for (char c = 0; read(fd, &c, 1) == 1 && c != '\n';) out += c;
    return out;
}

class Engine : public net::HttpServer::Handler {
public:
    explicit Engine(uv_loop_t& loop) : server(loop, static_cast<net::HttpServer::Handler&>(*this), {}) {
        address = server.listen({"127.0.0.1", 0});
    }
    void write_all() {
        for (const auto peer : streams)
            server.stream(peer, chat::format_event(R"({"choices":[{"index":0,"delta":{"content":")" +
                                                   std::to_string(uv_hrtime()) + R"("}}]})"));
        server.flush();
    }
    net::HttpServer server;
    Address address;
    std::vector<net::HttpServer::Peer> streams;

private:
    void on_request(net::HttpServer::Peer peer, http::Request request, Time) override {
        if (request.body.find("\"do_remote_decode\":true") != std::string::npos) {
            server.reply(peer, 200, {},
                         R"({"kv_transfer_params":{"remote_engine_id":"r","remote_block_ids":[1]}})");
        } else if (request.target.find("chat/completions") == std::string::npos) {
            server.reply(peer, 200, {}, "{}");
        } else {
            http::Headers headers;
            headers.add("Content-Type", "text/event-stream");
            server.begin_stream(peer, headers);
            streams.push_back(peer);
        }
        server.flush();
    }
    void on_closed(net::HttpServer::Peer peer, const net::ConnectionEnd&) override {
        std::erase(streams, peer);
    }
};

class Clients : public net::UpstreamPool::Handler {
public:
    explicit Clients(uv_loop_t& loop)
        : pool(loop, static_cast<net::UpstreamPool::Handler&>(*this), limits()) {}
    static net::PoolLimits limits() {
        net::PoolLimits out;
        out.connections_per_server = 1'000;
        return out;
    }
    net::UpstreamPool pool;
    static constexpr net::UpstreamPool::Call kMetrics = 1'000'000;
    std::vector<double> delays_us;
    std::string metrics;
    int failed = 0;

private:
    void on_head(net::UpstreamPool::Call, int status, http::Headers) override {
        failed += status == 200 ? 0 : 1;
    }
    void on_body(net::UpstreamPool::Call call, std::string bytes) override {
        if (call == kMetrics) {
            metrics += bytes;
            return;
        }
        const std::uint64_t now = uv_hrtime();
        constexpr std::string_view mark = "\"content\":\"";
        for (std::size_t at = bytes.find(mark); at != std::string::npos; at = bytes.find(mark, at + 1))
            delays_us.push_back(
                static_cast<double>(now - std::strtoull(bytes.c_str() + at + mark.size(), nullptr, 10)) /
                1e3);
    }
    void on_done(net::UpstreamPool::Call call) override { failed += call == kMetrics ? 0 : 1; }
    void on_failed(net::UpstreamPool::Call, engine::ExchangeEnd, std::string) override { ++failed; }
};

std::string figures(std::vector<double> delays) {
    std::sort(delays.begin(), delays.end());
    const auto at = [&](double q) {
        return delays.empty() ? 0
                              : delays[static_cast<std::size_t>(q * static_cast<double>(delays.size() - 1))];
    };
    char out[200];
    std::snprintf(out, sizeof out,
                  R"({"chunks":%zu,"p50_us":%.0f,"p99_us":%.0f,"p999_us":%.0f,"most_us":%.0f})",
                  delays.size(), at(0.5), at(0.99), at(0.999), at(1));
    return out;
}

}  // namespace

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    int up[2], down[2];
    if (pipe(up) != 0 || pipe(down) != 0) return 2;
    const pid_t child = fork();
    if (child == 0) {
        close(up[0]);
        close(down[1]);
        publish_flood(up[1], down[0]);
        _exit(0);
    }
    close(up[1]);
    close(down[0]);
    const std::string where = line(up[0]);
    const auto space = where.find(' ');

    uv_loop_t loop;
    uv_loop_init(&loop);
    Engine reader(loop), writer(loop);
    const std::string text = R"(name "flood"
        seed 1
        class "chat" { aim "2s"; deadline "10s"; }
        kind "r" { role "prefill"; cache-events #true; }
        kind "w" { role "decode"; }
        limits { stream-idle "60s"; stream-longest "300s"; }
        server "r1" kind="r" address=")" +
                             format_address(reader.address) + "\" events=\"" + where.substr(0, space) +
                             "\" replay=\"" + where.substr(space + 1) +
                             "\"\nserver \"w1\" kind=\"w\" address=\"" + format_address(writer.address) +
                             "\"\n";
    const auto settings = config::parse_settings(text, "flood");
    if (!settings) {
        std::fprintf(stderr, "%s\n", config::format(settings.error().front()).c_str());
        return 2;
    }
    observe::Log log("flood", "error");
    net::EdgeServer edge(loop, *settings, log);
    Clients clients(loop);
    for (int i = 1; i <= kStreams; ++i) {
        http::Headers headers;
        headers.add("Content-Type", "application/json");
        clients.pool.start(static_cast<net::UpstreamPool::Call>(i), edge.address(),
                           {"POST", "/v1/chat/completions", headers,
                            R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hello )" +
                                std::to_string(i) + "\"}]}"});
    }
    uv_timer_t timer;
    uv_timer_init(&loop, &timer);
    timer.data = &writer;
    uv_timer_start(
        &timer, [](uv_timer_t* t) { static_cast<Engine*>(t->data)->write_all(); }, kChunkEveryMs,
        kChunkEveryMs);
    const auto run = [&](std::uint64_t length) {
        for (const auto end = uv_hrtime() + length; uv_hrtime() < end;) uv_run(&loop, UV_RUN_ONCE);
        return std::exchange(clients.delays_us, {});
    };
    const auto most = uv_hrtime() + 20'000'000'000ULL;
    while (writer.streams.size() < kStreams && uv_hrtime() < most) uv_run(&loop, UV_RUN_ONCE);
    (void)run(1'000'000'000ULL);
    const auto quiet = run(kPhase);
    if (write(down[1], "x", 1) != 1) return 2;
    const auto flood = run(kPhase);
    const std::string events = line(up[0]);
    // What of it was heard: a flood that is lost on the way costs nothing.
    clients.pool.start(Clients::kMetrics, edge.admin_address(), {"GET", "/metrics", {}, {}});
    (void)run(500'000'000ULL);
    const auto metric = clients.metrics.find("\nchalksail_prefix_messages{");
    const auto value = metric == std::string::npos ? metric : clients.metrics.find("} ", metric);
    const double received = value == std::string::npos ? -1 : std::atof(clients.metrics.c_str() + value + 2);
    std::printf(R"({"streams":%zu,"failed":%d,"events":%s,"batches_heard":%.0f,"quiet":%s,"flood":%s})"
                "\n",
                writer.streams.size(), clients.failed, events.c_str(), received, figures(quiet).c_str(),
                figures(flood).c_str());
    close(down[1]);
    int status = 0;
    waitpid(child, &status, 0);
    std::fflush(stdout);
    _exit(clients.failed == 0 ? 0 : 1);  // the loop is left as it is: a short-lived program
}
