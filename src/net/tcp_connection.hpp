// A TCP connection on a libuv loop: the socket, its optional TLS filter, and the accounting of its write
// queue. HTTP, and when to read, write and close, is the business of the classes that derive from it.
//
// It is owned by an OwnedConnection. When that goes the socket is closed at once, and the object is deleted
// in a later turn of the loop: code that still has a reference in this turn may use it. No callback comes
// after the close. One loop, one thread. Errors are libuv's error numbers, below zero.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/units.hpp"
#include "net/tls/filter.hpp"

namespace chalksail::net {

// What is read from any connection of one owner passes through it: its bytes are handled before the next
// read.
using ReadBuffer = std::vector<char>;

class TcpConnection {
public:
    // Closes the socket, and leaves the deletion to libuv's close callback.
    struct Closer {
        void operator()(TcpConnection* connection) const { connection->close(); }
    };

    TcpConnection(uv_loop_t& loop, ReadBuffer& read_buffer);
    virtual ~TcpConnection() = default;
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    // Takes over the descriptor of an accepted connection, where it returns 0.
    int open(int descriptor) { return uv_tcp_open(&socket_, descriptor); }
    // Begins to connect; on_connected() reports the result. May be called again after an error.
    int connect(const Address& address);
    void set_no_delay() { uv_tcp_nodelay(&socket_, 1); }

    void start_reading();
    void stop_reading();
    // What is there that the loop has not read yet. `unknown`: the check failed, and there may be something.
    enum class Unread { nothing, bytes, end, unknown };
    [[nodiscard]] Unread peek() const;

    // Hands bytes to the socket, in order. What it does not accept at once is queued, and written by the
    // loop.
    int write(std::string bytes);
    // Bytes that the kernel has not taken yet. Asked of the socket's queue, not of libuv's callbacks: these
    // may come a turn after the bytes were handed to the kernel, or not at all once the handle is closed.
    [[nodiscard]] std::size_t write_queue_size() const;
    // Writes that have not completed.
    [[nodiscard]] bool has_pending_writes() const { return pending_writes_ > 0; }
    // For how long the peer has taken none of the pending bytes; any part that it takes is progress, also of
    // a write that has not completed. To be called now and then while there are some.
    [[nodiscard]] Duration stalled_for(Time now);

    // Closes the sending side at once. uv_shutdown() would wait for the loop's next turn.
    int shut_down_sending();
    // Where TLS is in use: sends its closing alert, if it goes out at once. Nobody waits for it.
    void send_close_notify();
    // Closes with a TCP reset in place of an orderly end. To be called by the owner only, which lets go of
    // it.
    void close_with_reset();

    void set_tls(std::unique_ptr<tls::Filter> filter) { filter_ = std::move(filter); }
    // nullptr: without TLS.
    [[nodiscard]] tls::Filter* tls() const { return filter_.get(); }
    // What write() has to be given to send these bytes.
    [[nodiscard]] std::string encrypt(std::string plaintext);

protected:
    // `status`: 0, or an error.
    virtual void on_connected(int /*status*/) {}
    // As read from the socket: the TLS filter has not seen them.
    virtual void on_bytes(std::string_view bytes) = 0;
    // UV_EOF: the peer closed its sending side.
    virtual void on_read_error(int error) = 0;
    virtual void on_write_completed(int status) = 0;

private:
    struct PendingWrite;
    void close();
    int queue_write(std::string bytes);
    [[nodiscard]] uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket_); }
    [[nodiscard]] uv_handle_t* handle() { return reinterpret_cast<uv_handle_t*>(&socket_); }
    // Not known where there is none.
    [[nodiscard]] int descriptor() const;

    uv_tcp_t socket_{};
    uv_connect_t connect_request_{};
    ReadBuffer& read_buffer_;
    std::unique_ptr<tls::Filter> filter_;
    std::size_t pending_writes_ = 0;
    std::size_t last_queue_size_ = 0;  // when stalled_for() was called last
    Time last_progress_{};             // of writing, while writes are pending
    bool reading_ = false;
    bool closed_ = false;
};

template <typename Connection>
using OwnedConnection = std::unique_ptr<Connection, TcpConnection::Closer>;

template <typename Connection, typename... Arguments>
[[nodiscard]] OwnedConnection<Connection> make_connection(Arguments&&... arguments) {
    return OwnedConnection<Connection>(
        std::make_unique<Connection>(std::forward<Arguments>(arguments)...).release());
}

}  // namespace chalksail::net
