// A TCP connection on a libuv loop: the socket, its optional TLS filter, and the accounting of its write
// queue. Derived classes implement HTTP and decide when to read, write and close.
//
// An OwnedConnection owns it. Destroying that closes the socket immediately and deletes the object in a later
// loop iteration, so references stay valid for the rest of the current iteration. No callback is made after
// the close. One loop, one thread. Errors are libuv's negative error numbers.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "base/units.hpp"
#include "net/read_buffer.hpp"
#include "net/tls/filter.hpp"

namespace chalksail::net {

class TcpConnection : ReadBuffer::Reader {
public:
    // Closes the socket; libuv's close callback deletes the object.
    struct Closer {
        void operator()(TcpConnection* connection) const { connection->close(); }
    };

    TcpConnection(uv_loop_t& loop, ReadBuffer& read_buffer);
    ~TcpConnection() override = default;
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    // Opens an accepted connection. Takes ownership of the descriptor only if it returns 0.
    int open(int descriptor) { return uv_tcp_open(&socket_, descriptor); }
    // Starts to connect; on_connected() reports the result. May be called again if it returned an error.
    int connect(const Address& address);
    void set_no_delay() { uv_tcp_nodelay(&socket_, 1); }

    // Reads at most one buffer in each turn of the loop.
    void start_reading();
    void stop_reading();
    // Checks the socket for input that the loop has not read yet. `unknown` means that the check failed and
    // that there may be input.
    enum class Unread { nothing, bytes, end, unknown };
    [[nodiscard]] Unread peek() const;

    // Writes bytes to the socket, in order. Bytes that the kernel does not accept immediately are queued and
    // written by the loop.
    int write(std::string bytes);
    // Returns the number of bytes that the kernel has not accepted yet. It reads the socket's queue and does
    // not rely on libuv's callbacks, which may run one loop iteration after the write, or not at all once the
    // handle is closed.
    [[nodiscard]] std::size_t write_queue_size() const;
    [[nodiscard]] bool has_pending_writes() const { return pending_writes_ > 0; }
    // Returns for how long the peer has accepted none of the pending bytes. A partly accepted write counts as
    // progress. Must be called periodically while writes are pending.
    [[nodiscard]] Duration stalled_for(Time now);

    // Closes the sending side immediately; uv_shutdown() would wait for the next loop iteration.
    int shut_down_sending();
    // With TLS, sends close_notify if the socket accepts it immediately; otherwise it is dropped.
    void send_close_notify();
    // Closes with a TCP reset. Only the owner may call it, and must then destroy its OwnedConnection.
    void close_with_reset();

    void set_tls(std::unique_ptr<tls::Filter> filter) { filter_ = std::move(filter); }
    // Returns nullptr without TLS.
    [[nodiscard]] tls::Filter* tls() const { return filter_.get(); }
    // Returns the bytes to pass to write() for this plaintext.
    [[nodiscard]] std::string encrypt(std::string plaintext);

protected:
    // `status` is 0 or an error.
    virtual void on_connected(int /*status*/) {}
    // Receives the bytes as read from the socket, before TLS decryption.
    virtual void on_bytes(std::string_view bytes) = 0;
    // `error` is UV_EOF if the peer closed its sending side.
    virtual void on_read_error(int error) = 0;
    virtual void on_write_completed(int status) = 0;

private:
    struct PendingWrite;
    void close();
    void begin_read();
    // Postpones reading to the next turn of the loop.
    void yield_turn();
    void continue_reading() override;
    void cancel_postponed_read();
    int queue_write(std::string bytes);
    [[nodiscard]] uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&socket_); }
    [[nodiscard]] uv_handle_t* handle() { return reinterpret_cast<uv_handle_t*>(&socket_); }
    // Returns -1 if the socket has no descriptor.
    [[nodiscard]] int descriptor() const;

    uv_tcp_t socket_{};
    uv_connect_t connect_request_{};
    ReadBuffer& read_buffer_;
    std::unique_ptr<tls::Filter> filter_;
    std::size_t pending_writes_ = 0;
    std::size_t last_queue_size_ = 0;  // Queue size at the last call of stalled_for()
    Time last_progress_{};             // Last progress of the pending writes
    bool reading_ = false;             // as the owner wants it
    bool postponed_ = false;           // reading continues in the next turn of the loop
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
