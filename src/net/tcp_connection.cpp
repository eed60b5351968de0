#include "net/tcp_connection.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "net/loop_clock.hpp"
#include "net/socket_address.hpp"
#include "net/system_error.hpp"

namespace chalksail::net {

struct TcpConnection::PendingWrite {
    uv_write_t request{};
    std::string bytes;
    TcpConnection* connection = nullptr;  // Outlives its pending writes
};

TcpConnection::TcpConnection(uv_loop_t& loop, ReadBuffer& read_buffer) : read_buffer_(read_buffer) {
    uv_tcp_init(&loop, &socket_);
    socket_.data = this;
    connect_request_.data = this;
}

int TcpConnection::connect(const Address& address) {
    const auto to = to_socket_address(address);
    if (!to) return UV_EINVAL;
    return uv_tcp_connect(&connect_request_, &socket_, to->get(), [](uv_connect_t* request, int status) {
        auto& connection = *static_cast<TcpConnection*>(request->data);
        if (!connection.closed_) connection.on_connected(status);
    });
}

void TcpConnection::start_reading() {
    if (!std::exchange(reading_, true)) begin_read();
}

void TcpConnection::begin_read() {
    uv_read_start(
        stream(),
        [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
            *buffer = static_cast<TcpConnection*>(handle->data)->read_buffer_.bytes();
        },
        [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer) {
            auto& connection = *static_cast<TcpConnection*>(stream->data);
            if (size < 0) return connection.on_read_error(static_cast<int>(size));
            if (size == 0) return;
            connection.on_bytes({buffer->base, static_cast<std::size_t>(size)});
            if (static_cast<std::size_t>(size) == buffer->len) connection.yield_turn();
        });
}

void TcpConnection::yield_turn() {
    if (closed_ || !reading_ || postponed_) return;
    uv_read_stop(stream());
    postponed_ = true;
    read_buffer_.postpone(*this);
}

void TcpConnection::continue_reading() {
    postponed_ = false;
    begin_read();
}

void TcpConnection::cancel_postponed_read() {
    if (std::exchange(postponed_, false)) read_buffer_.remove(*this);
}

void TcpConnection::stop_reading() {
    if (!std::exchange(reading_, false)) return;
    if (postponed_) return cancel_postponed_read();
    uv_read_stop(stream());
}

int TcpConnection::descriptor() const {
    uv_os_fd_t out = -1;
    return uv_fileno(reinterpret_cast<const uv_handle_t*>(&socket_), &out) == 0 ? out : -1;
}

TcpConnection::Unread TcpConnection::peek() const {
    const int socket = descriptor();
    if (socket < 0) return Unread::end;
    char byte = 0;
    const auto size = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0) return Unread::bytes;
    if (size == 0) return Unread::end;
    // A failure of the check itself says nothing about the peer; the loop's next read will tell.
    switch (meaning_of(SystemCall::peek, errno)) {
        case ErrorMeaning::nothing_yet: return Unread::nothing;
        case ErrorMeaning::peer_failed: return Unread::end;
        case ErrorMeaning::retry_now:
        case ErrorMeaning::resource_shortage: break;
    }
    return Unread::unknown;
}

std::size_t TcpConnection::write_queue_size() const {
    return uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t*>(&socket_));
}

// Most writes fit into the socket's send buffer and complete here, without a uv_write() request.
int TcpConnection::write(std::string bytes) {
    if (bytes.empty()) return 0;
    if (write_queue_size() == 0) {
        uv_buf_t buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
        const int written = uv_try_write(stream(), &buffer, 1);
        if (written < 0 && written != UV_EAGAIN) return written;
        if (written == static_cast<int>(bytes.size())) return 0;
        if (written > 0) bytes.erase(0, static_cast<std::size_t>(written));
    }
    return queue_write(std::move(bytes));
}

int TcpConnection::queue_write(std::string bytes) {
    auto pending = std::make_unique<PendingWrite>();
    pending->bytes = std::move(bytes);
    pending->connection = this;
    pending->request.data = pending.get();
    uv_buf_t buffer = uv_buf_init(pending->bytes.data(), static_cast<unsigned>(pending->bytes.size()));
    if (pending_writes_ == 0) last_progress_ = uv_now_time();
    const int error = uv_write(&pending->request, stream(), &buffer, 1, [](uv_write_t* request, int status) {
        const std::unique_ptr<PendingWrite> completed(static_cast<PendingWrite*>(request->data));
        TcpConnection& connection = *completed->connection;
        connection.pending_writes_ -= 1;
        if (connection.closed_) return;
        if (status >= 0) connection.last_progress_ = uv_now_time();
        connection.on_write_completed(status);
    });
    if (error != 0) return error;
    pending_writes_ += 1;
    static_cast<void>(pending.release());  // the callback owns it
    return 0;
}

Duration TcpConnection::stalled_for(Time now) {
    const std::size_t queued = write_queue_size();
    if (queued < last_queue_size_) last_progress_ = now;
    last_queue_size_ = queued;
    return now - last_progress_;
}

int TcpConnection::shut_down_sending() {
    const int socket = descriptor();
    if (socket < 0) return UV_EBADF;
    return shutdown(socket, SHUT_WR) == 0 ? 0 : -errno;
}

void TcpConnection::send_close_notify() {
    if (filter_ == nullptr || !filter_->connected()) return;
    std::string alert = filter_->close().to_peer;
    uv_buf_t buffer = uv_buf_init(alert.data(), static_cast<unsigned>(alert.size()));
    uv_try_write(stream(), &buffer, 1);
}

std::string TcpConnection::encrypt(std::string plaintext) {
    return filter_ == nullptr ? std::move(plaintext) : filter_->send(plaintext).to_peer;
}

namespace {

void delete_connection(uv_handle_t* handle) {
    const std::unique_ptr<TcpConnection> owned(static_cast<TcpConnection*>(handle->data));
}

}  // namespace

void TcpConnection::close() {
    if (std::exchange(closed_, true)) return;
    cancel_postponed_read();
    uv_close(handle(), &delete_connection);
}

void TcpConnection::close_with_reset() {
    if (std::exchange(closed_, true)) return;
    cancel_postponed_read();
    if (uv_tcp_close_reset(&socket_, &delete_connection) != 0) uv_close(handle(), &delete_connection);
}

}  // namespace chalksail::net
