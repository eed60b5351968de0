// Stand-ins for the review's cases: discovery, model servers and clients of the platform, on loopback sockets
// with one thread for each connection, and the gateway as a process of its own.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline const Clock::time_point kStart = Clock::now();
inline double now_ms() { return std::chrono::duration<double, std::milli>(Clock::now() - kStart).count(); }
inline void sleep_ms(double ms) {
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}
// Exits with 2: the case could not run.
[[noreturn]] inline void cannot_run(const std::string& why) {
    std::fprintf(stderr, "cannot run: %s\n", why.c_str());
    std::_Exit(2);
}

// record.txt: one line for each event, with the time in milliseconds since the start.
class Record {
public:
    void open(const std::string& file) { out_.open(file, std::ios::trunc); }
    void line(const std::string& text) {
        std::array<char, 32> time{};
        std::snprintf(time.data(), time.size(), "%10.1f ", now_ms());
        const std::lock_guard lock(mutex_);
        out_ << time.data() << text << '\n';
        out_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};
inline Record record;

// A random number from 0 to 1.
inline double chance() {
    static std::mutex mutex;
    static std::mt19937_64 source(std::random_device{}());
    const std::lock_guard lock(mutex);
    return std::uniform_real_distribution<double>(0, 1)(source);
}

// ---- sockets ----

inline sockaddr_in loopback(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

// One connection with buffered reads.
class Stream {
public:
    explicit Stream(int socket) : socket_(socket) {
        const int on = 1;
        setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Stream() { close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;
    static int dial(int port) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(port);
        if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return socket;
        ::close(socket);
        return -1;
    }
    void close() {
        if (socket_ >= 0) ::close(std::exchange(socket_, -1));
    }
    [[nodiscard]] int socket() const { return socket_; }
    bool send(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto n = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0) return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }
    // Reads more bytes; false at the end of the stream, an error, or after `wait_ms`.
    bool fill(int wait_ms) {
        pollfd ready{socket_, POLLIN, 0};
        if (poll(&ready, 1, wait_ms) <= 0) {
            timed_out = true;
            return false;
        }
        std::array<char, 16384> bytes{};
        const auto n = recv(socket_, bytes.data(), bytes.size(), 0);
        if (n <= 0) return false;
        buffer.append(bytes.data(), static_cast<std::size_t>(n));
        return true;
    }
    // Whether the peer has closed the connection, without taking bytes.
    bool peer_closed() const {
        char byte = 0;
        const auto n = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    std::optional<std::string> take_until(const std::string& mark, int wait_ms) {
        for (;;) {
            if (const auto at = buffer.find(mark); at != std::string::npos) {
                std::string out = buffer.substr(0, at);
                buffer.erase(0, at + mark.size());
                return out;
            }
            if (!fill(wait_ms)) return std::nullopt;
        }
    }
    std::optional<std::string> take(std::size_t size, int wait_ms) {
        while (buffer.size() < size)
            if (!fill(wait_ms)) return std::nullopt;
        std::string out = buffer.substr(0, size);
        buffer.erase(0, size);
        return out;
    }
    std::string buffer;
    bool timed_out = false;

private:
    int socket_;
};

// Returns a header's value from a head; the name in lower case.
inline std::string header(const std::string& head, const std::string& name) {
    std::istringstream lines(head);
    for (std::string line; std::getline(lines, line);) {
        if (!line.empty() && line.back() == '\r') line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos) continue;
        std::string key = line.substr(0, colon);
        for (char& c : key) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        if (key != name) continue;
        const auto begin = line.find_first_not_of(' ', colon + 1);
        return begin == std::string::npos ? "" : line.substr(begin);
    }
    return "";
}

struct Request {
    std::string method;
    std::string target;
    std::string id;
    std::string head;
    std::string body;
};
inline std::optional<Request> read_request(Stream& stream) {
    auto head = stream.take_until("\r\n\r\n", -1);
    if (!head) return std::nullopt;
    Request out;
    std::istringstream(*head) >> out.method >> out.target;
    out.id = header(*head, "x-correlation-id");
    const std::string length = header(*head, "content-length");
    auto body = stream.take(length.empty() ? 0 : std::stoul(length), -1);
    if (!body) return std::nullopt;
    out.head = std::move(*head);
    out.body = std::move(*body);
    return out;
}

// Listens on a free port of 127.0.0.1; `serve` runs for each connection in a thread of its own.
class Listener {
public:
    using Serve = std::function<void(Stream&)>;
    explicit Listener(Serve serve, int backlog = 512) : serve_(std::move(serve)) {
        socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = loopback(0);
        socklen_t size = sizeof address;
        if (bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            listen(socket_, backlog) != 0 ||
            getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            cannot_run("no free port");
        port = ntohs(address.sin_port);
        std::thread([this] {
            for (;;) {
                pollfd ready{socket_, POLLIN, 0};
                if (cut_ || poll(&ready, 1, 5) <= 0 || cut_) {
                    if (cut_) sleep_ms(1);
                    continue;
                }
                const int accepted = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) return;
                std::thread([this, accepted] {
                    Stream stream(accepted);
                    serve_(stream);
                }).detach();
            }
        }).detach();
    }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port); }
    // From now on new connections never come up: the queue of those not accepted is full (needs a backlog of
    // 1).
    void cut_off() {
        cut_ = true;
        const auto to = loopback(port);
        for (int i = 0; i < 8; ++i) {
            const int filler = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            (void)connect(filler, reinterpret_cast<const sockaddr*>(&to), sizeof to);
        }
    }
    [[nodiscard]] bool is_cut_off() const { return cut_; }
    int port = 0;

private:
    std::atomic<bool> cut_{false};
    Serve serve_;
    int socket_ = -1;
};

inline std::string chunk(const std::string& bytes) {
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}
inline std::string sized(const std::string& status, const std::string& body, const std::string& more = "") {
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline const std::string kNoContent = "HTTP/1.1 204 No Content\r\n\r\n";
inline const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline std::string token_event(const std::string& text, bool last = false) {
    return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + text +
           "\"},\"finish_reason\":" + (last ? "\"stop\"" : "null") + "}]}\n\n";
}
inline std::string end_events() {
    return "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":500,\"completion_tokens\":4,"
           "\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";
}

// ---- the states that readers hold, by request id ----

class States {
public:
    void hold(const std::string& id) {
        const std::lock_guard lock(mutex_);
        held_.insert(id);
    }
    // Takes the state for a writer, or lets it go; false if there is none.
    bool take(const std::string& id) {
        const std::lock_guard lock(mutex_);
        return held_.erase(id) > 0;
    }

private:
    std::mutex mutex_;
    std::set<std::string> held_;
};
inline States states;

// ---- discovery ----

struct Instance {
    std::string id;
    std::string address;
    std::string kind;
    std::string state = "up";
    std::string zone = "a";
};

// The agent on the gateway's machine: GET /v1/endpoints and its watch.
class Discovery {
public:
    Discovery() : listener_([this](Stream& stream) { serve(stream); }) {}
    [[nodiscard]] std::string address() const { return listener_.address(); }
    void set(const Instance& instance) {
        const std::lock_guard lock(mutex_);
        generation_ += 1;
        instances_[instance.id] = {instance, generation_};
    }
    std::string list(std::int64_t since, std::int64_t& generation, bool whole) {
        const std::lock_guard lock(mutex_);
        generation = generation_;
        std::string items;
        for (const auto& [id, entry] : instances_) {
            if (entry.second <= since) continue;
            const Instance& one = entry.first;
            if (whole && one.state == "removed") continue;
            items += std::string(items.empty() ? "" : ",") + R"({"instanceId":")" + one.id +
                     R"(","hostPort":")" + one.address + R"(","zone":")" + one.zone + R"(","machineType":")" +
                     one.kind + R"(","cell":1,"lifecycle":")" + one.state +
                     R"(","weight":1.0,"startedAtMs":0})";
        }
        return R"({"generation":)" + std::to_string(generation_) + R"(,"reset":)" +
               (whole ? "true" : "false") + R"(,"instances":[)" + items + "]}";
    }
    // How long each call waits for its answer, in milliseconds.
    std::atomic<double> answer_after{0};

private:
    void serve(Stream& stream) {
        while (const auto request = read_request(stream)) {
            record.line("discovery: asked " + request->target);
            if (answer_after > 0) sleep_ms(answer_after);
            std::int64_t generation = 0;
            const auto at = request->target.find("since=");
            if (at == std::string::npos) {
                const std::string text = list(-1, generation, true);
                const bool sent = stream.send(sized("200 OK", text));
                record.line("discovery: list " + std::to_string(generation) +
                            (sent && !stream.peer_closed() ? " written" : " not wanted any more"));
                continue;
            }
            return watch(stream, std::stoll(request->target.substr(at + 6)));
        }
    }
    void watch(Stream& stream, std::int64_t since) {
        if (!stream.send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n"))
            return;
        double silent_since = now_ms();
        bool first = true;
        for (;;) {
            std::int64_t generation = 0;
            const std::string text = list(since, generation, false);
            if (generation > since || first) {
                if (!stream.send(chunk(text + "\n"))) return;
                if (generation > since)
                    record.line("discovery: changes up to " + std::to_string(generation) + " written");
                since = generation;
                silent_since = now_ms();
                first = false;
            } else if (now_ms() - silent_since >= 2000) {
                if (!stream.send(chunk("\n"))) return;
                silent_since = now_ms();
            }
            if (stream.peer_closed()) return;
            sleep_ms(20);
        }
    }
    std::mutex mutex_;
    std::int64_t generation_ = 40;
    std::map<std::string, std::pair<Instance, std::int64_t>> instances_;
    Listener listener_;
};

// ---- the gateway ----

// The settings of a small deployment; `classes` is the JSON array of its classes.
inline std::string settings(const std::string& classes, bool resume = true) {
    return R"({"az":"a","classes":)" + classes +
           R"(,"discovery":"push","extra":{"aim_us_per_1000_prompt_tokens":[60000.0,120000.0],)"
           R"("duty_by_kind":["read","write"],"early_pairing":false,"far_price":0.03,"read_in_place":false,)"
           R"("release_within_ns":500000000,"resume":)" +
           (resume ? "true" : "false") +
           R"(,"token_aim_ns":[50000000,80000000],"tokens_by_kind":[250000,150000]},"failure_domains":["a"],)"
           R"("fleet_size":1,"limits":{"cancel":true,"conn_idle_ns":15000000000,)"
           R"("dial_timeout_ns":250000000,"max_retry_after_ns":1000000000,"probes":true,"retry_after":true,)"
           R"("second_copies":false,"send_cap":5},"me":0,"report":{"fields":[],"how":"silent"},)"
           R"("rules":{"answer_slack_ns":16000000,"cold_from":0.35,"cold_ns":13000000000,)"
           R"("fall_multiple":2.5,"fall_ns":3000000000,"stop_sending_within_ns":2000000000},)"
           R"("skus":["reader","writer"],"tenants":[],"tick_ns":2000000,"value_by":"work"})";
}
inline const std::string kClasses =
    R"([{"aim_ns":1000000000,"deadline_ns":4000000000,"effect":"repeatable","gain":1.0,"group":"all",)"
    R"("late_worth":0.3,"name":"chat","streamed":true,"window_ns":0},)"
    R"({"aim_ns":2500000000,"deadline_ns":4000000000,"effect":"once","gain":3.0,"group":"all",)"
    R"("late_worth":0.2,"name":"order","streamed":true,"window_ns":0}])";

// The gateway's process, started by the deploy file's `run`.
class Gateway {
public:
    Gateway(std::string folder, std::string run) : folder_(std::move(folder)), run_(std::move(run)) {}
    ~Gateway() { stop(); }
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;
    void write_config(const std::string& discovery, const std::string& known = "",
                      const std::string& settings_text = settings(kClasses), int memory_mb = 192,
                      int sockets = 1024) {
        std::ofstream(folder_ + "/config.new")
            << R"({"name":"n0","listen":"127.0.0.1:0","discovery":")" << discovery
            << R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":)" << memory_mb
            << R"(,"sockets":)" << sockets << "}," << (known.empty() ? "" : "\"known\":" + known + ",")
            << R"("settings":)" << settings_text << "}";
        std::rename((folder_ + "/config.new").c_str(), (folder_ + "/config.json").c_str());
    }
    void start(const std::string& discovery) {
        const std::string out = folder_ + "/out";
        const std::string log = folder_ + "/log";
        const std::string config = folder_ + "/config.json";
        std::fflush(nullptr);
        pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (std::freopen(out.c_str(), "w", stdout) == nullptr ||
                std::freopen(log.c_str(), "w", stderr) == nullptr)
                std::_Exit(127);
            setenv("EDGE_NAME", "n0", 1);
            setenv("EDGE_LISTEN", "127.0.0.1:0", 1);
            setenv("EDGE_DISCOVERY", discovery.c_str(), 1);
            setenv("EDGE_CONFIG", config.c_str(), 1);
            execl("/bin/sh", "sh", "-c", run_.c_str(), static_cast<char*>(nullptr));
            std::_Exit(127);
        }
        for (int tries = 0; tries < 500 && port == 0; ++tries) {
            sleep_ms(20);
            std::stringstream text;
            text << std::ifstream(out).rdbuf();
            const auto at = text.str().find("127.0.0.1:");
            if (at != std::string::npos && text.str().find('\n') != std::string::npos)
                port = std::stoi(text.str().substr(at + 10));
        }
        if (port == 0) cannot_run("the gateway does not listen");
        record.line("gateway: listens");
    }
    // Whether the process has ended, however.
    bool ended() {
        if (pid <= 0) return true;
        int status = 0;
        if (waitpid(pid, &status, WNOHANG) != pid) return false;
        record.line("gateway: ended, status " + std::to_string(status));
        pid = -1;
        return true;
    }
    void stop() {
        if (pid <= 0) return;
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        pid = -1;
    }
    int port = 0;
    pid_t pid = -1;

private:
    std::string folder_;
    std::string run_;
};

// ---- clients ----

struct Answer {
    int status = 0;          // 0: none
    bool whole = false;      // the answer came to its end
    bool timed_out = false;  // nothing came for the time waited
    std::string body;        // without framing
};

inline std::string post(const std::string& id, const std::string& cls = "chat", int left_ms = 4000,
                        const std::string& more = "") {
    const std::string body =
        R"({"model":"chat","stream":true,"max_tokens":80,"messages":[{"role":"user","content":")" + id +
        R"("}]})";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: " + id +
           "\r\nX-Service-Class: " + cls + "\r\nX-Session-Key: s" + id +
           "\r\nX-Time-Left: " + std::to_string(left_ms) + "m\r\nX-Facts: prompt_len=500,max_out=80\r\n" +
           more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline Answer read_answer(Stream& stream, int wait_ms) {
    Answer out;
    const auto head = stream.take_until("\r\n\r\n", wait_ms);
    out.timed_out = stream.timed_out;
    if (!head) return out;
    out.status = std::stoi(head->substr(9, 3));
    if (header(*head, "transfer-encoding") != "chunked") {
        const std::string length = header(*head, "content-length");
        auto body = stream.take(length.empty() ? 0 : std::stoul(length), wait_ms);
        out.whole = body.has_value();
        if (body) out.body = std::move(*body);
        return out;
    }
    for (;;) {
        const auto size = stream.take_until("\r\n", wait_ms);
        out.timed_out = stream.timed_out;
        if (!size) return out;
        const auto bytes = std::stoul(*size, nullptr, 16);
        const auto part = stream.take(bytes + 2, wait_ms);
        out.timed_out = stream.timed_out;
        if (!part) return out;
        if (bytes == 0) {
            out.whole = true;
            return out;
        }
        out.body += part->substr(0, bytes);
    }
}

// Waits until GET /ready answers 200.
inline void await_ready(int port) {
    for (int tries = 0; tries < 300; ++tries) {
        const int socket = Stream::dial(port);
        if (socket >= 0) {
            Stream stream(socket);
            stream.send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            if (read_answer(stream, 1000).status == 200) return;
        }
        sleep_ms(20);
    }
    cannot_run("the gateway is not ready");
}

}  // namespace review
