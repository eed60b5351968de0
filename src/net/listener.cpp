#include "net/listener.hpp"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <stdexcept>
#include <string>

#include "net/loop_clock.hpp"
#include "net/socket_address.hpp"
#include "net/system_error.hpp"

namespace chalksail::net {
namespace {

constexpr int kBacklog = 1024;                // Maximum connections that wait for accept()
constexpr int kMaxAcceptsPerIteration = 256;  // Lets open connections be served in between
// Pauses between retries of accept() or of opening the socket while this machine lacks a resource.
constexpr Duration kRetryMin = std::chrono::milliseconds(2);
constexpr Duration kRetryMax = std::chrono::milliseconds(50);
// Maximum time for which opening the socket is retried.
constexpr Duration kOpenTimeout = std::chrono::seconds(3);
// Maximum time for which stop() waits for a resource shortage to end.
constexpr Duration kStopTimeout = std::chrono::milliseconds(500);

std::uint16_t bound_port(int socket) {
    sockaddr_storage bound{};
    socklen_t size = sizeof bound;
    getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.ss_family == AF_INET ? reinterpret_cast<sockaddr_in&>(bound).sin_port
                                            : reinterpret_cast<sockaddr_in6&>(bound).sin6_port);
}

}  // namespace

Listener::Listener(uv_loop_t& loop, Handler& handler, const Address& address)
    : handler_(handler),
      address_(address),
      retry_timer_(loop, [this] { on_retry(); }),
      backoff_(kRetryMin, kRetryMax) {
    open(address);
    poll_.emplace(loop, socket_.get(), [this] { on_readable(); });
    poll_->start();
}

void Listener::open(const Address& address) {
    const Time until = uv_now_time() + kOpenTimeout;
    for (;;) {
        const int error = try_open(address);
        if (error == 0) return;
        const bool is_temporary =
            error == EINTR || meaning_of(SystemCall::socket, error) == ErrorMeaning::resource_shortage;
        if (!is_temporary || uv_now_time() >= until)
            throw std::runtime_error("can't listen on " + format_address(address) + ": " +
                                     uv_strerror(-error));
        const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(backoff_.next()).count();
        uv_sleep(static_cast<unsigned>(pause));  // blocking is harmless: nothing is served yet
    }
}

int Listener::try_open(const Address& address) {
    const auto to = to_socket_address(address);
    if (!to) throw std::runtime_error("not an IP address: " + address.host);
    socket_.reset(::socket(to->storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const int on = 1;
    if (socket_.valid() && setsockopt(socket_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
        bind(socket_.get(), to->get(), to->size) == 0 && listen(socket_.get(), kBacklog) == 0) {
        address_.port = bound_port(socket_.get());
        return 0;
    }
    const int error = errno;
    socket_.reset();
    return error;
}

void Listener::on_readable() {
    if (accept_all() == AcceptResult::resource_shortage) retry_later();
}

Listener::AcceptResult Listener::accept_all() {
    const int max_accepts = stopping_ ? kBacklog : kMaxAcceptsPerIteration;
    for (int tries = 0; tries < max_accepts; ++tries) {
        const int descriptor = accept4(socket_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor >= 0) {
            backoff_.reset();
            handler_.on_accepted(*this, descriptor);
            continue;
        }
        const int error = errno;
        const auto meaning = meaning_of(SystemCall::accept, error);
        if (meaning == ErrorMeaning::nothing_yet) return AcceptResult::nothing_left;
        handler_.on_accept_error(error);
        if (meaning == ErrorMeaning::resource_shortage) return AcceptResult::resource_shortage;
    }
    return AcceptResult::nothing_left;  // the poll handle fires again if connections are left
}

// Pauses polling, which would make the loop spin: the socket stays readable while connections are pending.
void Listener::retry_later() {
    poll_->stop();
    retry_timer_.start_once(std::chrono::duration_cast<std::chrono::milliseconds>(backoff_.next()));
}

void Listener::on_retry() {
    const bool shortage = accept_all() == AcceptResult::resource_shortage;
    if (shortage && !(stopping_ && uv_now_time() >= stop_until_)) return retry_later();
    if (stopping_) return close();
    poll_->start();
}

void Listener::stop() {
    stopping_ = true;
    stop_until_ = uv_now_time() + kStopTimeout;
    if (accept_all() == AcceptResult::resource_shortage) return retry_later();
    close();
}

void Listener::close() {
    poll_->stop();
    retry_timer_.stop();
    socket_.reset();
    handler_.on_listener_closed(*this);  // may have destroyed this listener
}

}  // namespace chalksail::net
