// A gateway process with little memory, and crowds of clients that send and read in harmful ways. The clients
// use non-blocking sockets of the test's process, and never wait for the gateway.
#pragma once

#include <sys/resource.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "faults/process_rig.hpp"

namespace chalksail::faults::testing {

// A client that sends prepared bytes as fast as its pace allows, and reads as fast as its pace allows.
class CrowdClient {
public:
    struct Behaviour {
        std::string bytes;                          // sent in order
        std::size_t bytes_per_turn = 16 * 1024;     // sent at most, in each turn of the crowd
        std::size_t reads_per_turn = 64 * 1024;     // read at most, in each turn; 0: it never reads
        int receive_buffer = 0;                     // SO_RCVBUF; 0: the system's own
        std::function<std::string(int)> next = {};  // more bytes, once the earlier ones are sent
        int max_outstanding = 0;                    // responses that `next` lets be outstanding
    };

    CrowdClient(const Address& address, Behaviour behaviour)
        : behaviour_(std::move(behaviour)), socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        if (behaviour_.receive_buffer > 0)
            setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &behaviour_.receive_buffer, sizeof(int));
        sockaddr_in peer{};
        uv_ip4_addr(address.host.c_str(), address.port, &peer);
        if (socket_ < 0) return;
        (void)::connect(socket_, reinterpret_cast<const sockaddr*>(&peer), sizeof peer);
    }
    ~CrowdClient() { close(); }
    CrowdClient(const CrowdClient&) = delete;
    CrowdClient& operator=(const CrowdClient&) = delete;

    void turn() {
        if (socket_ < 0) return;
        refill();
        const std::size_t remaining = behaviour_.bytes.size() - sent_;
        const auto count = ::send(socket_, behaviour_.bytes.data() + sent_,
                                  std::min(remaining, behaviour_.bytes_per_turn), MSG_NOSIGNAL);
        if (count > 0) sent_ += static_cast<std::size_t>(count);
        read();
    }
    [[nodiscard]] bool open() const { return socket_ >= 0; }
    [[nodiscard]] bool sent_all() const { return sent_ == behaviour_.bytes.size(); }
    // Closes the socket; bytes that the system has not delivered yet still are.
    void close() {
        if (socket_ >= 0) ::close(std::exchange(socket_, -1));
    }

private:
    void refill() {
        if (!behaviour_.next || !sent_all()) return;
        behaviour_.bytes.clear();
        sent_ = 0;
        while (requested_ - responses_ < behaviour_.max_outstanding && behaviour_.bytes.size() < 65536)
            behaviour_.bytes += behaviour_.next(requested_++);
    }
    void read() {
        if (behaviour_.reads_per_turn == 0) return;
        std::string bytes(behaviour_.reads_per_turn, '\0');
        const auto count = ::recv(socket_, bytes.data(), bytes.size(), 0);
        if (count == 0 || (count < 0 && errno != EAGAIN && errno != ENOTCONN)) return close();
        if (count < 0) return;
        bytes.resize(static_cast<std::size_t>(count));
        for (auto at = bytes.find("HTTP/1.1 "); at != std::string::npos; at = bytes.find("HTTP/1.1 ", at + 1))
            responses_ += 1;
    }

    Behaviour behaviour_;
    int socket_ = -1;
    std::size_t sent_ = 0;
    int requested_ = 0;
    int responses_ = 0;
};

// A request with a body of this size.
inline std::string large_post(const std::string& id, std::size_t body_bytes,
                              const std::string& service_class = "chat") {
    const std::string body = R"({"a":")" + std::string(body_bytes, 'x') + "\"}";
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: " + id +
           "\r\nX-Service-Class: " + service_class +
           "\r\nX-Time-Left: 4000m\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A request head of `fields` header fields of four bytes each, and `end` behind them.
inline std::string head_of_short_fields(int fields, const std::string& end = "") {
    std::string head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n";
    for (int i = 0; i < fields; ++i) head += "a:\r\n";
    return head + end;
}

// A stream of `events` events of `event_bytes` bytes each.
inline std::string long_stream(int events, std::size_t event_bytes) {
    const std::string event =
        "data: {\"choices\":[{\"delta\":{\"content\":\"" + std::string(event_bytes, 'o') + "\"}}]}\n\n";
    std::string stream = kStreamHead;
    for (int i = 0; i < events; ++i) stream += chunked(event);
    return stream + chunked("data: [DONE]\n\n") + "0\r\n\r\n";
}

class CrowdRig : public ProcessRig {
protected:
    static constexpr int kMemoryMb = 32;  // the least that the users' pages name
    // Most of a sanitized process's memory is the sanitizer's own; that it runs is checked there all the
    // same.
#ifdef __SANITIZE_ADDRESS__
    static constexpr bool kSanitized = true;
#else
    static constexpr bool kSanitized = false;
#endif
    static constexpr int kCrowd = 540;  // as many as the gateway accepts with 1,024 descriptors

    CrowdRig() { allow_descriptors(); }
    // Lets this process open as many sockets as a crowd and its servers need.
    static void allow_descriptors() {
        rlimit limit{};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = std::min<rlim_t>(limit.rlim_max, 8192);
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    void set_limits(int memory_mb, int descriptors) {
        settings.emplace_back(
            R"("memory_mb":64,"sockets":256)",
            R"("memory_mb":)" + std::to_string(memory_mb) + R"(,"sockets":)" + std::to_string(descriptors));
    }
    void add(int count, const std::function<CrowdClient::Behaviour(int)>& behaviour) {
        for (int i = 0; i < count; ++i) {
            crowd.push_back(std::make_unique<CrowdClient>(address, behaviour(i)));
            if (i % 50 == 0) turn();  // so that the listen backlog does not overflow
        }
    }
    void turn() {
        uv_run(&loop, UV_RUN_NOWAIT);
        for (auto& client : crowd) client->turn();
    }
    // Runs the stand-ins and the crowd for this time, or until the gateway ends.
    void run_for(std::chrono::milliseconds time) {
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end && !exited) {
            turn();
            usleep(500);
        }
    }
    // Returns the most memory that the gateway has had resident, in bytes.
    [[nodiscard]] std::size_t peak_memory() const {
        std::ifstream in("/proc/" + std::to_string(gateway()) + "/status");
        std::string line;
        while (std::getline(in, line))
            if (line.starts_with("VmHWM:")) return std::stoul(line.substr(6)) * 1024;
        return 0;
    }
    // Expects that the gateway runs and has always been within its memory limit.
    void expect_within_memory(int memory_mb = kMemoryMb) {
        ASSERT_FALSE(exited) << log();
        const std::size_t peak = peak_memory();
        ASSERT_GT(peak, 0U);
        if (kSanitized) return;
        EXPECT_LE(peak, static_cast<std::size_t>(memory_mb) * 1024 * 1024);
        RecordProperty("peak_kb", static_cast<int>(peak / 1024));
    }

    std::vector<std::unique_ptr<CrowdClient>> crowd;
};

}  // namespace chalksail::faults::testing
