// The edge against a bare libuv relay of the same bytes, on one machine in one run.
//
//   build/bin/chalksail-bench           all of it; about a minute; prints one JSON object at the end
//   build/bin/chalksail-bench tls       an edge that reaches the engines by verified TLS against one in the
//   clear
//
// Engines (which answer at once) and load run in this process; edge and relay are processes of their own, and
// what they cost is their own CPU time: requests and chunks for each CPU second are "a second a core". The
// relay passes the client's bytes to one engine and the answer back, over kept connections; it reads nothing
// of either.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/json.hpp"
#include "ca/ca.hpp"
#include "chat/sse.hpp"
#include "engine/protocol.hpp"
#include "net/http_server.hpp"
#include "net/upstream_pool.hpp"

using namespace chalksail;
using namespace std::chrono_literals;

namespace {

// ---- the relay: bytes of a client's connection to one engine and back ----

struct Side {
    uv_tcp_t socket{};
    Side* other = nullptr;
    std::string early;  // before the other side is connected
    bool ready = false;
    bool closed = false;
};
std::vector<char> relay_buffer(64 * 1024);

void relay_close(Side* s) {
    for (Side* one : {s, s->other})
        if (!one->closed) {
            one->closed = true;
            uv_close(reinterpret_cast<uv_handle_t*>(&one->socket),
                     nullptr);  // a short-lived program: not freed
        }
}
void relay_write(Side* to, const char* bytes, std::size_t n) {
    uv_buf_t b = uv_buf_init(const_cast<char*>(bytes), static_cast<unsigned>(n));
    int done = uv_stream_get_write_queue_size(reinterpret_cast<uv_stream_t*>(&to->socket)) == 0
                   ? uv_try_write(reinterpret_cast<uv_stream_t*>(&to->socket), &b, 1)
                   : 0;
    if (done < 0) done = 0;
    if (static_cast<std::size_t>(done) == n) return;
    struct Job {
        uv_write_t w{};
        std::string bytes;
    };
    auto* job = new Job{{}, std::string(bytes + done, n - static_cast<std::size_t>(done))};
    job->w.data = job;
    uv_buf_t remaining = uv_buf_init(job->bytes.data(), static_cast<unsigned>(job->bytes.size()));
    uv_write(&job->w, reinterpret_cast<uv_stream_t*>(&to->socket), &remaining, 1,
             [](uv_write_t* w, int) { delete static_cast<Job*>(w->data); });
}
void relay_read(Side* s) {
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&s->socket),
        [](uv_handle_t*, std::size_t, uv_buf_t* b) {
            *b = uv_buf_init(relay_buffer.data(), static_cast<unsigned>(relay_buffer.size()));
        },
        [](uv_stream_t* st, ssize_t n, const uv_buf_t* b) {
            auto* side = static_cast<Side*>(st->data);
            if (n < 0) return relay_close(side);
            if (n == 0) return;
            if (side->other->ready) relay_write(side->other, b->base, static_cast<std::size_t>(n));
            else side->other->early.append(b->base, static_cast<std::size_t>(n));
        });
}

// Never returns. Writes its port, as a line, to `out`.
[[noreturn]] void relay_main(const Address& engine, int out) {
    uv_loop_t loop;
    uv_loop_init(&loop);
    static sockaddr_in to{};
    uv_ip4_addr(engine.host.c_str(), engine.port, &to);
    uv_tcp_t listener;
    uv_tcp_init(&loop, &listener);
    sockaddr_in any{};
    uv_ip4_addr("127.0.0.1", 0, &any);
    uv_tcp_bind(&listener, reinterpret_cast<const sockaddr*>(&any), 0);
    uv_listen(reinterpret_cast<uv_stream_t*>(&listener), 1024, [](uv_stream_t* l, int) {
        auto* client = new Side;
        auto* server = new Side;
        client->other = server;
        server->other = client;
        for (Side* s : {client, server}) {
            uv_tcp_init(l->loop, &s->socket);
            s->socket.data = s;
        }
        uv_accept(l, reinterpret_cast<uv_stream_t*>(&client->socket));
        uv_tcp_nodelay(&client->socket, 1);
        client->ready = true;
        relay_read(client);
        auto* connect = new uv_connect_t;
        connect->data = server;
        uv_tcp_connect(connect, &server->socket, reinterpret_cast<const sockaddr*>(&to),
                       [](uv_connect_t* c, int status) {
                           auto* s = static_cast<Side*>(c->data);
                           delete c;
                           if (status != 0 || s->closed) return relay_close(s);
                           uv_tcp_nodelay(&s->socket, 1);
                           s->ready = true;
                           relay_read(s);
                           if (!s->early.empty()) relay_write(s, s->early.data(), s->early.size());
                           s->early.clear();
                       });
    });
    sockaddr_storage bound{};
    int n = sizeof bound;
    uv_tcp_getsockname(&listener, reinterpret_cast<sockaddr*>(&bound), &n);
    const std::string line = std::to_string(ntohs(reinterpret_cast<sockaddr_in&>(bound).sin_port)) + "\n";
    if (write(out, line.data(), line.size()) < 0) _exit(1);
    uv_run(&loop, UV_RUN_DEFAULT);
    _exit(0);
}

// ---- a process that is measured ----

struct Child {
    pid_t pid = 0;
    Address address;

    // CPU seconds used so far.
    [[nodiscard]] double cpu() const {
        std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
        std::string text;
        std::getline(in, text);
        text = text.substr(text.rfind(')') + 2);
        std::vector<std::string> fields;
        for (std::size_t at = 0; at != std::string::npos && fields.size() < 20;) {
            const auto end = text.find(' ', at);
            fields.push_back(text.substr(at, end - at));
            at = end == std::string::npos ? end : end + 1;
        }
        return (std::stod(fields.at(11)) + std::stod(fields.at(12))) /
               static_cast<double>(sysconf(_SC_CLK_TCK));
    }
    [[nodiscard]] double resident_bytes() const {
        std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
        double size = 0, resident = 0;
        in >> size >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
    }
    void stop() const {
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
};

std::string first_line(int fd) {
    std::string out;
    char c = 0;
    while (read(fd, &c, 1) == 1 && c != '\n') out += c;
    return out;
}

// ---- engines that answer at once ----

struct Engines : net::HttpServer::Handler {
    struct Stream {
        net::HttpServer* server = nullptr;
        int left = 0;
    };
    std::string prefill_answer, opening, token, usage;
    int chunks = 20;     // of an answer
    bool paced = false;  // one chunk each tick; else all at once
    std::map<net::HttpServer*, std::map<net::HttpServer::Peer, Stream>> streams;
    std::vector<std::unique_ptr<net::HttpServer>> servers;
    std::vector<Address> addresses, tls_addresses;
    struct One : net::HttpServer::Handler {
        Engines* all = nullptr;
        net::HttpServer* server = nullptr;
        void on_request(net::HttpServer::Peer peer, http::Request request, Time) override {
            all->chat(*server, peer, request);
        }
        void on_closed(net::HttpServer::Peer peer, const net::ConnectionEnd&) override {
            all->streams[server].erase(peer);
        }
    };
    std::vector<std::unique_ptr<One>> handlers;

    // `tls`: what the engines show, at ports of their own; nullptr: in the clear only.
    Engines(uv_loop_t& loop, int count, const std::shared_ptr<net::tls::Context>& tls = nullptr) {
        prefill_answer =
            R"({"id":"x","object":"chat.completion","choices":[],"usage":{"prompt_tokens":400,"completion_tokens":1},)"
            R"("kv_transfer_params":{"do_remote_prefill":true,"do_remote_decode":false,"remote_engine_id":"e","remote_block_ids":[1,2,3],"remote_host":"h","remote_port":1}})";
        opening = chat::format_event(
            R"({"id":"chatcmpl-1","object":"chat.completion.chunk","created":1700000000,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":""},"logprobs":null,"finish_reason":null}]})");
        token = chat::format_event(
            R"({"id":"chatcmpl-1","object":"chat.completion.chunk","created":1700000000,"model":"m","choices":[{"index":0,"delta":{"content":" jollof"},"logprobs":null,"finish_reason":null}]})");
        usage = chat::format_event(
            R"({"id":"chatcmpl-1","object":"chat.completion.chunk","created":1700000000,"model":"m","choices":[],"usage":{"prompt_tokens":400,"completion_tokens":20}})");
        net::ServerLimits limits;
        limits.idle_connections.connections = 40'000;
        limits.idle_connections.idle = 600s;
        for (int i = 0; i < count; ++i) {
            handlers.push_back(std::make_unique<One>());
            servers.push_back(std::make_unique<net::HttpServer>(
                loop, static_cast<net::HttpServer::Handler&>(*handlers.back()), limits));
            handlers.back()->all = this;
            handlers.back()->server = servers.back().get();
            addresses.push_back(servers.back()->listen({"127.0.0.1", 0}));
            if (tls == nullptr) continue;
            servers.back()->set_tls(tls);
            tls_addresses.push_back(
                servers.back()->listen({"127.0.0.1", 0}, net::HttpServer::Transport::tls));
        }
    }
    void on_request(net::HttpServer::Peer, http::Request, Time) override {}
    void on_closed(net::HttpServer::Peer, const net::ConnectionEnd&) override {}

    void chat(net::HttpServer& server, net::HttpServer::Peer peer, const http::Request& request) {
        http::Headers headers;
        if (request.target != engine::kChatPath) return server.reply(peer, 200, headers, "{}");
        if (request.body.find("\"do_remote_decode\":true") != std::string::npos) {
            headers.add("Content-Type", "application/json");
            return server.reply(peer, 200, headers, prefill_answer);
        }
        headers.add("Content-Type", "text/event-stream");
        server.begin_stream(peer, headers);
        server.stream(peer, opening);
        streams[&server][peer] = {&server, chunks};
        if (!paced) run(server, peer, chunks);
    }
    void run(net::HttpServer& server, net::HttpServer::Peer peer, int count) {
        auto& s = streams[&server][peer];
        for (int i = 0; i < count && s.left > 0; ++i, --s.left) server.stream(peer, token);
        if (s.left > 0) return;
        server.stream(peer, usage);
        server.stream(peer, "data: [DONE]\n\n");
        server.end_stream(peer);
        streams[&server].erase(peer);
    }
    // One chunk for each open stream.
    std::size_t tick() {
        std::size_t sent = 0;
        for (auto& [server, all] : streams) {
            std::vector<net::HttpServer::Peer> peers;
            for (const auto& [peer, s] : all) peers.push_back(peer);
            for (const auto peer : peers) run(*server, peer, 1);
            sent += peers.size();
        }
        return sent;
    }
    void flush() {
        for (auto& s : servers) s->flush();
    }
};

// ---- load ----

struct Load : net::UpstreamPool::Handler {
    net::UpstreamPool pool;
    Address target;
    std::string body, prefill_body;
    bool pairs = false;  // each request is two exchanges, as the edge's own are: a read, then the write
    std::set<net::UpstreamPool::Call> reading;
    std::map<net::UpstreamPool::Call, Time> started_at;
    std::vector<double> first_ms;
    std::set<net::UpstreamPool::Call> begun;
    std::size_t done = 0, failed = 0, bytes = 0;
    std::size_t keep = 0;  // closed loop: so many in hand
    net::UpstreamPool::Call last = 0;

    static net::PoolLimits limits() {
        net::PoolLimits out;
        out.connections_per_server = 40'000;
        out.max_queued_calls = 40'000;
        out.dial_timeout = 10s;
        out.idle_timeout = 600s;
        return out;
    }
    Load(uv_loop_t& loop, Address to)
        : pool(loop, static_cast<net::UpstreamPool::Handler&>(*this), limits()), target(std::move(to)) {
        body = json::ObjectWriter()
                   .text("model", "m")
                   .raw("messages", R"([{"role":"system","content":")" + std::string(1000, 's') +
                                        R"("},{"role":"user","content":")" + std::string(600, 'u') + R"("}])")
                   .integer("max_tokens", 64)
                   .boolean("stream", true)
                   .raw("stream_options", R"({"include_usage":true})")
                   .done();
        const auto parsed = chat::parse_request(body);
        prefill_body = engine::prefill_body(body, *parsed);
    }
    void start_request() {
        const auto call = ++last;
        started_at[call] = net::uv_now_time();
        if (pairs) reading.insert(call);
        send(call, pairs ? prefill_body : body);
    }
    void send(net::UpstreamPool::Call call, const std::string& what) {
        http::Headers headers;
        headers.add("Content-Type", "application/json");
        pool.start(call, target, {"POST", std::string(engine::kChatPath), std::move(headers), what});
    }
    void top_up() {
        while (started_at.size() < keep) start_request();
    }
    void on_head(net::UpstreamPool::Call call, int status, http::Headers) override {
        if (status != 200) failed += started_at.count(call);
    }
    void on_body(net::UpstreamPool::Call call, std::string part) override {
        bytes += part.size();
        if (reading.contains(call)) return;
        if (begun.insert(call).second)
            first_ms.push_back(
                std::chrono::duration<double, std::milli>(net::uv_now_time() - started_at.at(call)).count());
    }
    void on_done(net::UpstreamPool::Call call) override {
        if (reading.erase(call) > 0) return send(call, body);
        started_at.erase(call);
        begun.erase(call);
        ++done;
    }
    void on_failed(net::UpstreamPool::Call call, engine::ExchangeEnd, std::string) override {
        started_at.erase(call);
        begun.erase(call);
        ++failed;
    }
};

double median(std::vector<double> all) {
    if (all.empty()) return 0;
    std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(all.size() / 2), all.end());
    return all[all.size() / 2];
}

struct Bench {
    uv_loop_t loop{};
    std::unique_ptr<Engines> engines;
    Child edge, relay;
    uv_timer_t timer{};

    void turn() {
        uv_run(&loop, UV_RUN_NOWAIT);
        engines->flush();
    }
    void spin(Duration length, const std::function<void()>& each) {
        const Time end = net::uv_now_time() + length;
        while (net::uv_now_time() < end) {
            each();
            turn();
        }
    }

    struct Rate {
        double per_cpu = 0;  // requests, or chunks, for each CPU second of the process
        double per_second = 0;
        double cpu_share = 0;
        std::size_t failed = 0;
    };
    // Closed loop: `keep` requests in hand, answers of `chunks` at once.
    Rate requests(const Child& child, std::size_t keep, Duration length, bool pairs = false) {
        engines->chunks = 20;
        engines->paced = false;
        Load load(loop, child.address);
        load.keep = keep;
        load.pairs = pairs;
        spin(500ms, [&] { load.top_up(); });
        const std::size_t before = load.done;
        const double cpu = child.cpu();
        const Time begin = net::uv_now_time();
        spin(length, [&] { load.top_up(); });
        Rate out;
        const double seconds = std::chrono::duration<double>(net::uv_now_time() - begin).count();
        const double used = child.cpu() - cpu;
        out.per_cpu = static_cast<double>(load.done - before) / used;
        out.per_second = static_cast<double>(load.done - before) / seconds;
        out.cpu_share = used / seconds;
        out.failed = load.failed;
        load.keep = 0;
        spin(300ms, [] {});
        load.pool.close_all();
        spin(100ms, [] {});
        return out;
    }
    // `streams` open streams, one chunk each at every tick.
    Rate chunks(const Child& child, std::size_t streams, Duration length) {
        engines->chunks = 1'000'000;
        engines->paced = true;
        Load load(loop, child.address);
        load.keep = streams;
        load.top_up();
        spin(2s, [&] {});
        std::size_t sent = 0;
        const double cpu = child.cpu();
        const std::size_t bytes = load.bytes;
        const Time begin = net::uv_now_time();
        Time next = begin;
        spin(length, [&] {
            if (net::uv_now_time() < next) return;
            next += 5ms;
            sent += engines->tick();
        });
        spin(200ms, [] {});
        Rate out;
        const double seconds = std::chrono::duration<double>(net::uv_now_time() - begin).count();
        const double used = child.cpu() - cpu;
        const double arrived =
            static_cast<double>(load.bytes - bytes) / static_cast<double>(engines->token.size());
        out.per_cpu = arrived / used;
        out.per_second = arrived / seconds;
        out.cpu_share = used / seconds;
        out.failed = load.failed + (arrived < 0.9 * static_cast<double>(sent) ? 1 : 0);
        load.pool.close_all();
        engines->streams.clear();
        spin(500ms, [] {});
        return out;
    }
    // Open loop at `rate` requests a second: times to the first chunk, in ms.
    double first_chunk(const Child& child, double rate, Duration length) {
        return median(first_chunks(child, rate, length));
    }
    std::vector<double> first_chunks(const Child& child, double rate, Duration length) {
        engines->chunks = 20;
        engines->paced = false;
        Load load(loop, child.address);
        const Duration gap(static_cast<std::int64_t>(1e9 / rate));
        Time next = net::uv_now_time();
        spin(length, [&] {
            if (net::uv_now_time() < next) return;
            next += gap;
            load.start_request();
        });
        load.first_ms.erase(load.first_ms.begin(),
                            load.first_ms.begin() + static_cast<std::ptrdiff_t>(load.first_ms.size() / 5));
        load.pool.close_all();
        spin(200ms, [] {});
        return load.first_ms;
    }
    double memory_each(const Child& child, std::size_t streams, std::size_t& open) {
        engines->chunks = 1'000'000;
        engines->paced = true;
        const double before = child.resident_bytes();
        Load load(loop, child.address);
        // A few at a time: the listeners' queues are not what is measured.
        const Time limit = net::uv_now_time() + 60s;
        while (load.begun.size() < streams && net::uv_now_time() < limit) {
            load.keep = std::min(streams, load.begun.size() + 200);
            load.top_up();
            turn();
        }
        spin(500ms, [] {});
        engines->tick();
        spin(500ms, [] {});
        open = load.begun.size();
        const double out =
            (child.resident_bytes() - before) / static_cast<double>(std::max<std::size_t>(1, open));
        load.pool.close_all();
        engines->streams.clear();
        spin(1s, [] {});
        return out;
    }
};

Child start_edge(const std::vector<Address>& engines, const std::string& program, const std::string& folder,
                 const std::string& more = "") {
    std::filesystem::create_directories(folder);
    const std::string file = folder + "/edge.kdl";
    std::ofstream out(file);
    out << "name \"bench\"\nlog-level \"error\"\nclass \"chat\" { aim \"20s\"; deadline \"60s\"; }\n"
           "kind \"r\" { role \"prefill\"; memory-tokens 1000000000; }\nkind \"w\" { role \"decode\"; "
           "memory-tokens 1000000000; }\n"
           "limits { connections 30000; open-requests 30000; connections-per-server 20000; stream-idle "
           "\"10m\"; }\n"
           "rules { dial-timeout \"5s\"; }\n";
    out << more;
    for (std::size_t i = 0; i < engines.size(); ++i)
        out << "server \"e" << i << "\" kind=\"" << (i < 2 ? "r" : "w") << "\" address=\""
            << format_address(engines[i]) << "\"\n";
    out.close();
    int pipe_ends[2];
    if (pipe(pipe_ends) != 0) throw std::runtime_error("no pipe");
    Child child;
    child.pid = fork();
    if (child.pid == 0) {
        dup2(pipe_ends[1], 1);
        for (int fd = 3; fd < 1024; ++fd) close(fd);
        execl(program.c_str(), program.c_str(), "serve", file.c_str(), nullptr);
        _exit(127);
    }
    close(pipe_ends[1]);
    const std::string line = first_line(pipe_ends[0]);
    json::Document doc;
    if (!json::parse(line, doc)) throw std::runtime_error("the edge did not start");
    child.address = *parse_address(json::text(json::find(doc, "address")));
    return child;
}

Child start_relay(const Address& engine) {
    int pipe_ends[2];
    if (pipe(pipe_ends) != 0) throw std::runtime_error("no pipe");
    Child child;
    child.pid = fork();
    if (child.pid == 0) {
        for (int fd = 3; fd < 1024; ++fd)
            if (fd != pipe_ends[1]) close(fd);
        relay_main(engine, pipe_ends[1]);
    }
    close(pipe_ends[1]);
    child.address = {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(first_line(pipe_ends[0])))};
    return child;
}

double quantile(std::vector<double> all, double part) {
    if (all.empty()) return 0;
    const auto at = static_cast<std::ptrdiff_t>(part * static_cast<double>(all.size() - 1));
    std::nth_element(all.begin(), all.begin() + at, all.end());
    return all[static_cast<std::size_t>(at)];
}

// Two edges to the same engines, turn about: connections kept, then a new one for each exchange.
int tls_figures(Bench& b, const std::filesystem::path& here) {
    const auto now = std::time(nullptr);
    lab::Authority ca("bench", now - 100, now + 100'000);
    std::vector<std::string> names;
    for (int i = 0; i < 6; ++i) names.push_back("e" + std::to_string(i) + ".example.org");
    const auto issued = ca.issue({names, {}, now - 100, now + 10'000, true, 0, 0});
    b.engines = std::make_unique<Engines>(
        b.loop, 6, *net::tls::Context::server({"", "", issued.certificate, issued.key}, now));
    std::filesystem::create_directories("found/bench/tls");
    std::ofstream("found/bench/tls/trust.pem") << ca.certificate();
    const auto program = (here / "chalksail-edge").string();
    const auto clear = start_edge(b.engines->addresses, program, "found/bench/clear");
    const auto tls =
        start_edge(b.engines->tls_addresses, program, "found/bench/tls",
                   "tls { name \"{name}.example.org\"; trust \"found/bench/tls/trust.pem\"; }\n");
    constexpr double kRate = 200;
    json::ObjectWriter out;
    out.number("requests_per_s", kRate);
    for (const std::string& how : {std::string("kept"), std::string("new")}) {
        if (how == "new")
            for (auto& s : b.engines->servers) s->drain();  // each connection ends with its answer
        std::vector<double> of_clear, of_tls;
        for (int i = 0; i < 5; ++i)
            for (const auto& [child, all] : {std::pair{&clear, &of_clear}, std::pair{&tls, &of_tls}}) {
                const auto some = b.first_chunks(*child, kRate, 2s);
                all->insert(all->end(), some.begin(), some.end());
            }
        out.integer((how + "_requests_each").c_str(), static_cast<std::int64_t>(of_tls.size()));
        for (const auto& [name, part] : {std::pair{"p50", 0.5}, std::pair{"p99", 0.99}}) {
            const double a = quantile(of_clear, part), t = quantile(of_tls, part);
            out.number((how + "_clear_" + name + "_ms").c_str(), a);
            out.number((how + "_tls_" + name + "_ms").c_str(), t);
            out.number((how + "_added_" + name + "_ms").c_str(), t - a);
        }
    }
    std::uint64_t shaken = 0, resumed = 0;
    for (auto& s : b.engines->servers) {
        shaken += s->counts().handshakes;
        resumed += s->counts().handshakes_resumed;
    }
    out.integer("handshakes", static_cast<std::int64_t>(shaken));
    out.number("resumed",
               static_cast<double>(resumed) / static_cast<double>(std::max<std::uint64_t>(1, shaken)));
    clear.stop();
    tls.stop();
    std::cout << out.done() << std::endl;
    _exit(0);
}

}  // namespace

int main(int count, char** arguments) {
    std::signal(SIGPIPE, SIG_IGN);
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
    Bench b;
    uv_loop_init(&b.loop);
    const auto here = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    if (count > 1 && std::string_view(arguments[1]) == "tls") return tls_figures(b, here);
    b.engines = std::make_unique<Engines>(b.loop, 6);
    b.edge = start_edge(b.engines->addresses, (here / "chalksail-edge").string(), "found/bench");
    b.relay = start_relay(b.engines->addresses[2]);

    const auto edge_requests = b.requests(b.edge, 64, 5s);
    const auto relay_requests = b.requests(b.relay, 64, 5s);
    const auto relay_pairs = b.requests(b.relay, 64, 5s, true);
    std::cerr << "requests: edge " << edge_requests.per_cpu << " relay " << relay_requests.per_cpu
              << " a CPU second\n";
    const auto edge_chunks = b.chunks(b.edge, 200, 5s);
    const auto relay_chunks = b.chunks(b.relay, 200, 5s);
    std::cerr << "chunks: edge " << edge_chunks.per_cpu << " relay " << relay_chunks.per_cpu
              << " a CPU second\n";
    const double half = edge_requests.per_cpu / 2;
    const double edge_first = b.first_chunk(b.edge, std::min(half, edge_requests.per_second / 2), 4s);
    const double relay_first = b.first_chunk(b.relay, std::min(half, edge_requests.per_second / 2), 4s);
    std::size_t open = 0;
    const std::size_t streams = std::min<std::size_t>(10'000, files.rlim_cur / 2 - 200);
    const double memory = b.memory_each(b.edge, streams, open);
    b.edge.stop();
    b.relay.stop();

    std::cout << json::ObjectWriter()
                     .number("requests_per_cpu_s_edge", edge_requests.per_cpu)
                     .number("requests_per_cpu_s_relay", relay_requests.per_cpu)
                     .number("requests_per_cpu_s_relay_same_exchanges", relay_pairs.per_cpu)
                     .number("requests_ratio", edge_requests.per_cpu / relay_requests.per_cpu)
                     .number("requests_ratio_same_exchanges", edge_requests.per_cpu / relay_pairs.per_cpu)
                     .number("chunks_per_cpu_s_edge", edge_chunks.per_cpu)
                     .number("chunks_per_cpu_s_relay", relay_chunks.per_cpu)
                     .number("chunks_ratio", edge_chunks.per_cpu / relay_chunks.per_cpu)
                     .number("half_load_requests_per_s", std::min(half, edge_requests.per_second / 2))
                     .number("first_chunk_ms_edge", edge_first)
                     .number("first_chunk_ms_relay", relay_first)
                     .number("first_chunk_ms_added", edge_first - relay_first)
                     .integer("open_streams", static_cast<std::int64_t>(open))
                     .number("kib_each_stream", memory / 1024)
                     .integer("failed",
                              static_cast<std::int64_t>(edge_requests.failed + relay_requests.failed +
                                                        edge_chunks.failed + relay_chunks.failed))
                     .done()
              << std::endl;
    _exit(0);
}
