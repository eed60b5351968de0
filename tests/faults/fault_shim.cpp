// A library for LD_PRELOAD that makes system calls of the process under test fail according to a plan. All
// other calls run unchanged. For tests only.
//
// The plan is the value of the environment variable FAULT_PLAN: rules separated by blanks, each
//
//     call[@kind]:fault:first:every:most
//
//     call   accept4, socket, connect, read, recv, write (also writev), send, epoll_wait (also epoll_pwait)
//     kind   client (accepted sockets) or server (connected sockets); without it every descriptor
//     fault  the name of an errno value, or SHORT (transfers at most one byte)
//     first  number of the first call that fails, counted from 1
//     every  after it, each every-th call fails
//     most   maximum number of failures
//
// Reads and writes fail on accepted and connected sockets only: pipes and event descriptors do not return
// these errors. An invalid plan ends the process with exit code 99.
#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace {

constexpr int kShort = -1;  // stands for SHORT in place of an errno value
constexpr int kInvalidPlanExitCode = 99;
constexpr std::size_t kMaxDescriptors = 65536;

enum class Kind : char { other, client, server };
std::array<std::atomic<Kind>, kMaxDescriptors> kinds{};

void set_kind(int fd, Kind kind) {
    if (fd >= 0 && static_cast<std::size_t>(fd) < kMaxDescriptors) kinds[static_cast<std::size_t>(fd)] = kind;
}
Kind kind_of(int fd) {
    return fd >= 0 && static_cast<std::size_t>(fd) < kMaxDescriptors
               ? kinds[static_cast<std::size_t>(fd)].load()
               : Kind::other;
}

struct Rule {
    std::string call;
    bool any_kind = true;
    Kind kind = Kind::other;
    int fault = 0;
    long first = 1;
    long every = 1;
    long most = 1;
    std::atomic<long> seen{0};
    std::atomic<long> failed{0};
};

[[noreturn]] void reject_plan(const std::string& rule) {
    const std::string message = "fault plan: invalid rule '" + rule + "'\n";
    if (::write(STDERR_FILENO, message.data(), message.size()) < 0) std::abort();
    _exit(kInvalidPlanExitCode);
}

int fault_of(const std::string& name, const std::string& rule) {
    const std::vector<std::pair<const char*, int>> known = {{"SHORT", kShort},
                                                            {"EINTR", EINTR},
                                                            {"ENFILE", ENFILE},
                                                            {"EMFILE", EMFILE},
                                                            {"ENOBUFS", ENOBUFS},
                                                            {"ENOMEM", ENOMEM},
                                                            {"ECONNABORTED", ECONNABORTED},
                                                            {"EADDRNOTAVAIL", EADDRNOTAVAIL},
                                                            {"ENETUNREACH", ENETUNREACH},
                                                            {"EHOSTUNREACH", EHOSTUNREACH},
                                                            {"ETIMEDOUT", ETIMEDOUT},
                                                            {"ECONNRESET", ECONNRESET},
                                                            {"EPROTO", EPROTO},
                                                            {"EAGAIN", EAGAIN},
                                                            {"ENETDOWN", ENETDOWN},
                                                            {"EPERM", EPERM}};
    for (const auto& [word, value] : known)
        if (name == word) return value;
    reject_plan(rule);
}

void read_rule(const std::string& text, Rule& out) {
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ':');) parts.push_back(part);
    if (parts.size() != 5) reject_plan(text);
    const auto at = parts[0].find('@');
    out.call = parts[0].substr(0, at);
    if (at != std::string::npos) {
        const std::string kind = parts[0].substr(at + 1);
        if (kind != "client" && kind != "server") reject_plan(text);
        out.any_kind = false;
        out.kind = kind == "client" ? Kind::client : Kind::server;
    }
    out.fault = fault_of(parts[1], text);
    out.first = std::atol(parts[2].c_str());
    out.every = std::atol(parts[3].c_str());
    out.most = std::atol(parts[4].c_str());
    if (out.first < 1 || out.every < 1 || out.most < 1) reject_plan(text);
}

std::vector<Rule>& plan() {
    static std::vector<Rule> rules = [] {
        const char* const text = std::getenv("FAULT_PLAN");
        std::istringstream in(text == nullptr ? "" : text);
        std::vector<std::string> words;
        for (std::string word; in >> word;) words.push_back(word);
        std::vector<Rule> out(words.size());
        for (std::size_t i = 0; i < words.size(); ++i) read_rule(words[i], out[i]);
        return out;
    }();
    return rules;
}

// Returns the fault to inject into this call: an errno value, kShort, or 0 for none.
int fault_for(const char* call, int fd) {
    const bool transfers_bytes = std::strcmp(call, "read") == 0 || std::strcmp(call, "write") == 0;
    if (transfers_bytes && kind_of(fd) == Kind::other) return 0;
    for (auto& rule : plan()) {
        if (rule.call != call || (!rule.any_kind && rule.kind != kind_of(fd))) continue;
        const long seen = ++rule.seen;
        if (seen < rule.first || (seen - rule.first) % rule.every != 0) continue;
        if (rule.failed.fetch_add(1) < rule.most) return rule.fault;
    }
    return 0;
}

// Returns true if the call is to fail, with errno set. Sets `is_short` if it is to transfer at most one byte.
bool fails(const char* call, int fd, bool& is_short) {
    const int fault = fault_for(call, fd);
    is_short = fault == kShort;
    if (fault <= 0) return false;
    errno = fault;
    return true;
}

template <class F>
F real(const char* name) {
    return reinterpret_cast<F>(dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
    static const auto call = real<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
    bool is_short = false;
    if (fails("accept4", fd, is_short)) return -1;
    const int out = call(fd, address, length, flags);
    set_kind(out, Kind::client);
    return out;
}

int socket(int domain, int type, int protocol) {
    static const auto call = real<int (*)(int, int, int)>("socket");
    bool is_short = false;
    if (domain == AF_INET && fails("socket", -1, is_short)) return -1;
    return call(domain, type, protocol);
}

int connect(int fd, const sockaddr* address, socklen_t length) {
    static const auto call = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
    bool is_short = false;
    set_kind(fd, Kind::server);
    if (fails("connect", fd, is_short)) return -1;
    return call(fd, address, length);
}

int close(int fd) {
    static const auto call = real<int (*)(int)>("close");
    set_kind(fd, Kind::other);
    return call(fd);
}

ssize_t read(int fd, void* buffer, size_t size) {
    static const auto call = real<ssize_t (*)(int, void*, size_t)>("read");
    bool is_short = false;
    if (fails("read", fd, is_short)) return -1;
    return call(fd, buffer, is_short ? std::min<size_t>(size, 1) : size);
}

ssize_t recv(int fd, void* buffer, size_t size, int flags) {
    static const auto call = real<ssize_t (*)(int, void*, size_t, int)>("recv");
    bool is_short = false;
    if (fails("recv", fd, is_short)) return -1;
    return call(fd, buffer, is_short ? std::min<size_t>(size, 1) : size, flags);
}

ssize_t write(int fd, const void* buffer, size_t size) {
    static const auto call = real<ssize_t (*)(int, const void*, size_t)>("write");
    bool is_short = false;
    if (fails("write", fd, is_short)) return -1;
    return call(fd, buffer, is_short ? std::min<size_t>(size, 1) : size);
}

ssize_t writev(int fd, const iovec* parts, int count) {
    static const auto call = real<ssize_t (*)(int, const iovec*, int)>("writev");
    bool is_short = false;
    if (fails("write", fd, is_short)) return -1;
    if (is_short && count > 0) return write(fd, parts[0].iov_base, std::min<size_t>(parts[0].iov_len, 1));
    return call(fd, parts, count);
}

ssize_t send(int fd, const void* buffer, size_t size, int flags) {
    static const auto call = real<ssize_t (*)(int, const void*, size_t, int)>("send");
    bool is_short = false;
    if (fails("send", fd, is_short)) return -1;
    return call(fd, buffer, is_short ? std::min<size_t>(size, 1) : size, flags);
}

int epoll_pwait(int fd, epoll_event* events, int most, int timeout, const sigset_t* mask) {
    static const auto call = real<int (*)(int, epoll_event*, int, int, const sigset_t*)>("epoll_pwait");
    bool is_short = false;
    if (fails("epoll_wait", fd, is_short)) return -1;
    return call(fd, events, most, timeout, mask);
}

int epoll_wait(int fd, epoll_event* events, int most, int timeout) {
    static const auto call = real<int (*)(int, epoll_event*, int, int)>("epoll_wait");
    bool is_short = false;
    if (fails("epoll_wait", fd, is_short)) return -1;
    return call(fd, events, most, timeout);
}

}  // extern "C"
