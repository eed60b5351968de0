// An event loop on epoll, TCP connections and HTTP messages for the stand-ins of this review. One thread.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rig {

inline double clock_seconds() {
    using std::chrono::steady_clock;
    return std::chrono::duration<double>(steady_clock::now().time_since_epoch()).count();
}

class Loop {
public:
    Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), start_(clock_seconds()) {}
    // Seconds since the start of the run.
    [[nodiscard]] double now() const { return clock_seconds() - start_; }
    void after(double seconds, std::function<void()> run) {
        timers_.emplace(now() + seconds, std::move(run));
    }
    void watch(int fd, bool write, std::function<void(unsigned)> run) {
        epoll_event event{};
        event.events = EPOLLIN | EPOLLRDHUP | (write ? EPOLLOUT : 0U);
        event.data.fd = fd;
        const bool known = watched_.contains(fd);
        epoll_ctl(epoll_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
        watched_[fd] = std::move(run);
    }
    // Waits for errors and output only.
    void mute(int fd) {
        epoll_event event{};
        event.data.fd = fd;
        epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &event);
    }
    void forget(int fd) {
        epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
        watched_.erase(fd);
    }
    void run_until(const std::function<bool()>& done) {
        while (!done()) step();
    }

    // The longest time that this process itself was late, in seconds.
    [[nodiscard]] double longest_lag() const { return longest_lag_; }

private:
    void step() {
        longest_lag_ = std::max(longest_lag_, now() - waited_until_);
        while (!timers_.empty() && timers_.begin()->first <= now()) {
            auto run = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            run();
        }
        int wait = 20;
        if (!timers_.empty()) {
            const double left = (timers_.begin()->first - now()) * 1000;
            wait = std::clamp(static_cast<int>(left), 0, 20);
        }
        epoll_event events[64];
        const int count = epoll_wait(epoll_, events, 64, wait);
        waited_until_ = now();
        for (int i = 0; i < count; ++i) {
            const auto found = watched_.find(events[i].data.fd);
            if (found == watched_.end()) continue;
            const auto run = found->second;  // a copy: it may forget itself
            run(events[i].events);
        }
    }
    int epoll_;
    double start_;
    double waited_until_ = 1e9;  // when the last wait ended
    double longest_lag_ = 0;
    std::map<int, std::function<void(unsigned)>> watched_;
    std::multimap<double, std::function<void()>> timers_;  // destroyed first: they may own connections
};

inline sockaddr_in loopback(int port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return out;
}

// Opens a listening socket at a free port, or at `port`. Returns -1 on failure.
inline int open_listener(int& port, int backlog = 512) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at = loopback(port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, backlog) != 0) {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    port = ntohs(at.sin_port);
    return fd;
}

class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(Loop& loop, int fd) : loop_(loop), fd_(fd) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static std::shared_ptr<Connection> dial(Loop& loop, int port) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in to = loopback(port);
        const int result = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
        if (result != 0 && errno != EINPROGRESS) {
            ::close(fd);
            return nullptr;
        }
        return std::make_shared<Connection>(loop, fd);
    }
    void start() { rewatch(); }
    void send(const std::string& bytes) {
        if (fd_ < 0) return;
        out_ += bytes;
        flush();
    }
    // Ends the connection: in order, or with a reset.
    void close(bool reset = false) {
        if (fd_ < 0) return;
        if (reset) {
            const linger at_once{1, 0};
            setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        }
        loop_.forget(fd_);
        ::close(std::exchange(fd_, -1));
        on_input = nullptr;
        on_end = nullptr;
    }
    void shut_down() const { shutdown(fd_, SHUT_WR); }
    // A stopped connection reads nothing: its peer's bytes stay in the system's buffers.
    void set_stopped(bool stopped) {
        if (fd_ < 0) return;
        stopped_ = stopped;
        if (stopped) loop_.mute(fd_);
        else rewatch();
    }
    [[nodiscard]] bool open() const { return fd_ >= 0; }
    // Whether the peer has ended its side, also if that has not been read yet.
    [[nodiscard]] bool ended_by_peer() const {
        if (fd_ < 0 || ended_) return true;
        char byte = 0;
        const auto size = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    std::string in;
    std::function<void()> on_input;
    std::function<void(bool reset)> on_end;  // the peer has ended its side

private:
    void rewatch() {
        if (fd_ < 0 || stopped_) return;
        std::weak_ptr<Connection> weak = weak_from_this();
        loop_.watch(fd_, !out_.empty(), [weak](unsigned events) {
            if (const auto self = weak.lock()) self->on_event(events);
        });
    }
    void flush() {
        while (sent_ < out_.size()) {
            const auto sent = ::send(fd_, out_.data() + sent_, out_.size() - sent_, MSG_NOSIGNAL);
            if (sent <= 0) break;
            sent_ += static_cast<std::size_t>(sent);
        }
        if (sent_ == out_.size()) {
            out_.clear();
            sent_ = 0;
        }
        rewatch();
    }
    void on_event(unsigned events) {
        const auto keep = shared_from_this();
        if ((events & EPOLLOUT) != 0 && !out_.empty()) flush();
        bool ended = false;
        bool reset = false;
        const auto before = in.size();
        for (;;) {
            char bytes[65536];
            const auto size = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
            if (size > 0) {
                in.append(bytes, static_cast<std::size_t>(size));
                continue;
            }
            if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
            ended = true;
            reset = size < 0;
            break;
        }
        // Copies: the connection may be closed by them, which clears both.
        if (const auto run = on_input; in.size() > before && run) run();
        if (!ended || fd_ < 0) return;
        ended_ = true;
        loop_.forget(fd_);
        if (const auto run = on_end) run(reset);
    }

    Loop& loop_;
    int fd_;
    std::string out_;
    std::size_t sent_ = 0;  // bytes of out_ that the system has taken
    bool stopped_ = false;
    bool ended_ = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

struct Message {
    std::string start;  // the first line
    std::map<std::string, std::string> headers;
    std::string body;
    [[nodiscard]] std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
};

inline std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

// Takes the head of a message from the front of `in`. Returns false if it is not complete.
inline bool take_head(std::string& in, Message& out) {
    const auto end = in.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    std::string head = in.substr(0, end + 2);
    in.erase(0, end + 4);
    out = {};
    std::size_t at = head.find("\r\n");
    out.start = head.substr(0, at);
    for (at += 2; at < head.size();) {
        const auto line_end = head.find("\r\n", at);
        const std::string line = head.substr(at, line_end - at);
        at = line_end + 2;
        const auto colon = line.find(':');
        if (colon == std::string::npos) continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        out.headers[lower(line.substr(0, colon))] = value;
    }
    return true;
}

// Takes a request with Content-Length from the front of `in`. Returns false if it is not complete.
inline bool take_request(std::string& in, Message& out) {
    const auto end = in.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    std::string copy = in;
    Message message;
    take_head(copy, message);
    const auto length = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
    if (copy.size() < length) return false;
    message.body = copy.substr(0, length);
    in.erase(0, end + 4 + length);
    out = std::move(message);
    return true;
}

inline std::string chunk(const std::string& bytes) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}
inline std::string sized_response(const std::string& status, const std::string& body,
                                  const std::string& headers = "") {
    return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
inline const std::string kLastChunk = "0\r\n\r\n";

}  // namespace rig
