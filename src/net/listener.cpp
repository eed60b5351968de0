#include "net/listener.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <string>
#include <utility>

#include "net/http_server.hpp"
#include "net/system_error.hpp"

namespace chalksail::net {
namespace {

constexpr int kBacklog = 1024;
constexpr int kAcceptedEachTurn = 256;  // then the connections that are there have their turn
constexpr Duration kRetryLeast = std::chrono::milliseconds(2);
constexpr Duration kRetryMost = std::chrono::milliseconds(50);
constexpr Duration kOpenPatience = std::chrono::seconds(3);
constexpr Duration kStopPatience = std::chrono::milliseconds(500);

struct SocketAddress {
    sockaddr_storage storage{};
    socklen_t size = 0;
};

SocketAddress to_socket_address(const Address& address) {
    SocketAddress out;
    if (uv_ip4_addr(address.host.c_str(), address.port, reinterpret_cast<sockaddr_in*>(&out.storage)) == 0) {
        out.size = sizeof(sockaddr_in);
    } else if (uv_ip6_addr(address.host.c_str(), address.port,
                           reinterpret_cast<sockaddr_in6*>(&out.storage)) == 0) {
        out.size = sizeof(sockaddr_in6);
    } else {
        throw std::runtime_error("no IP address: " + address.host);
    }
    return out;
}

std::uint16_t bound_port(int socket) {
    sockaddr_storage bound{};
    socklen_t size = sizeof bound;
    getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.ss_family == AF_INET ? reinterpret_cast<sockaddr_in&>(bound).sin_port
                                            : reinterpret_cast<sockaddr_in6&>(bound).sin6_port);
}

}  // namespace

Listener::Listener(uv_loop_t& loop, Handler& handler, const Address& address)
    : loop_(loop), handler_(handler), address_(address), backoff_(kRetryLeast, kRetryMost) {
    open(address);
    uv_poll_init_socket(&loop_, &poll_, socket_);
    poll_.data = this;
    uv_timer_init(&loop_, &retry_);
    retry_.data = this;
    watch();
}

void Listener::open(const Address& address) {
    const Time until = uv_now_time() + kOpenPatience;
    for (;;) {
        const int error = try_open(address);
        if (error == 0) return;
        const bool passes = error == EINTR || meaning_of(SystemCall::socket, error) == FaultMeaning::shortage;
        if (!passes || uv_now_time() >= until)
            throw std::runtime_error("can't listen on " + format_address(address) + ": " +
                                     uv_strerror(-error));
        const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(backoff_.next()).count();
        uv_sleep(static_cast<unsigned>(pause));  // nothing is served yet
    }
}

int Listener::try_open(const Address& address) {
    const auto where = to_socket_address(address);
    socket_ = ::socket(where.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (socket_ >= 0 && setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
        bind(socket_, reinterpret_cast<const sockaddr*>(&where.storage), where.size) == 0 &&
        listen(socket_, kBacklog) == 0) {
        address_.port = bound_port(socket_);
        return 0;
    }
    const int error = errno;
    if (socket_ >= 0) ::close(std::exchange(socket_, -1));
    return error;
}

void Listener::watch() {
    uv_poll_start(&poll_, UV_READABLE,
                  [](uv_poll_t* poll, int, int) { static_cast<Listener*>(poll->data)->on_readable(); });
}

void Listener::on_readable() {
    if (accept_all() == Result::shortage) retry_later();
}

Listener::Result Listener::accept_all() {
    const int most = stopping_ ? kBacklog : kAcceptedEachTurn;
    for (int tries = 0; tries < most; ++tries) {
        const int descriptor = accept4(socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            backoff_.reset();
            handler_.on_accepted(*this, descriptor);
            continue;
        }
        const int error = errno;
        const auto meaning = meaning_of(SystemCall::accept, error);
        if (meaning == FaultMeaning::nothing_yet) return Result::nothing_left;
        handler_.on_accept_error(error);
        if (meaning == FaultMeaning::shortage) return Result::shortage;
    }
    return Result::nothing_left;  // the poll comes again if something is
}

// Guards against a loop that spins: a listener stays readable for as long as something waits there.
void Listener::retry_later() {
    uv_poll_stop(&poll_);
    const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(backoff_.next()).count();
    uv_timer_start(
        &retry_, [](uv_timer_t* timer) { static_cast<Listener*>(timer->data)->on_retry(); },
        static_cast<std::uint64_t>(pause), 0);
}

void Listener::on_retry() {
    const bool shortage = accept_all() == Result::shortage;
    if (shortage && !(stopping_ && uv_now_time() >= stop_until_)) return retry_later();
    if (stopping_) return close();
    watch();
}

void Listener::stop() {
    stopping_ = true;
    stop_until_ = uv_now_time() + kStopPatience;
    if (accept_all() == Result::shortage) return retry_later();
    close();
}

void Listener::close() {
    uv_poll_stop(&poll_);
    uv_timer_stop(&retry_);
    ::close(std::exchange(socket_, -1));
    handler_.on_listener_closed(*this);
    uv_close(reinterpret_cast<uv_handle_t*>(&poll_), [](uv_handle_t* poll) {
        auto* const listener = static_cast<Listener*>(poll->data);
        uv_close(reinterpret_cast<uv_handle_t*>(&listener->retry_),
                 [](uv_handle_t* retry) { delete static_cast<Listener*>(retry->data); });
    });
}

}  // namespace chalksail::net
