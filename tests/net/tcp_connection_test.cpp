// Tests how much one turn of the loop reads of a connection.
#include "net/tcp_connection.hpp"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

#include "net/loop_handles.hpp"

namespace chalksail::net::testing {
namespace {

constexpr std::size_t kBufferBytes = 1000;

// Records the bytes that each turn of the loop has read.
class RecordingConnection : public TcpConnection {
public:
    RecordingConnection(uv_loop_t& loop, ReadBuffer& buffer, const int& turn)
        : TcpConnection(loop, buffer), turn_(turn) {}
    std::vector<std::pair<int, std::size_t>> reads;  // the turn and the number of bytes
    bool ended = false;
    bool stops_at_first_read = false;

private:
    void on_bytes(std::string_view bytes) override {
        reads.emplace_back(turn_, bytes.size());
        if (stops_at_first_read) stop_reading();
    }
    void on_read_error(int) override { ended = true; }
    void on_write_completed(int) override {}
    const int& turn_;
};

class TcpConnectionRead : public ::testing::Test {
protected:
    TcpConnectionRead() {
        uv_loop_init(&loop_);
        buffer_.emplace(loop_, kBufferBytes);
        after_reads_.emplace(loop_, [this] { turn_ += 1; });
        connection_ = make_connection<RecordingConnection>(loop_, *buffer_, turn_);
        connect();
    }
    ~TcpConnectionRead() override {
        connection_.reset();
        after_reads_.reset();
        buffer_.reset();
        if (peer_ >= 0) ::close(peer_);
        for (int i = 0; i < 100 && uv_run(&loop_, UV_RUN_NOWAIT) != 0; ++i) {
        }
        EXPECT_EQ(uv_loop_close(&loop_), 0) << "a handle is still open";
    }
    // Connects `peer_` to the connection under test.
    void connect() {
        const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        ASSERT_EQ(bind(listener, reinterpret_cast<sockaddr*>(&address), size), 0);
        ASSERT_EQ(listen(listener, 1), 0);
        getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
        peer_ = ::socket(AF_INET, SOCK_STREAM, 0);
        ASSERT_EQ(::connect(peer_, reinterpret_cast<sockaddr*>(&address), size), 0);
        ASSERT_EQ(connection_->open(accept(listener, nullptr, nullptr)), 0);
        ::close(listener);
    }
    void send_and_end(std::size_t size) {
        const std::string bytes(size, 'x');
        ASSERT_EQ(::send(peer_, bytes.data(), bytes.size(), 0), static_cast<ssize_t>(size));
        ::shutdown(peer_, SHUT_WR);
    }
    void run_turns(int turns) {
        for (int i = 0; i < turns; ++i) uv_run(&loop_, UV_RUN_NOWAIT);
    }

    uv_loop_t loop_{};
    std::optional<ReadBuffer> buffer_;
    std::optional<CheckHandle> after_reads_;
    OwnedConnection<RecordingConnection> connection_;
    int peer_ = -1;
    int turn_ = 0;
};

// Guards against a peer that sends faster than its bytes are processed: one turn read up to 32 buffers of it.
TEST_F(TcpConnectionRead, ReadsOneBufferInEachTurn) {
    connection_->start_reading();
    send_and_end(5 * kBufferBytes + 1);
    run_turns(20);
    ASSERT_EQ(connection_->reads.size(), 6U);
    for (std::size_t i = 1; i < connection_->reads.size(); ++i)
        EXPECT_GT(connection_->reads[i].first, connection_->reads[i - 1].first);
    EXPECT_TRUE(connection_->ended);
}

TEST_F(TcpConnectionRead, StopsWhileItWaitsForItsNextTurn) {
    connection_->stops_at_first_read = true;
    connection_->start_reading();
    send_and_end(3 * kBufferBytes);
    run_turns(10);
    EXPECT_EQ(connection_->reads.size(), 1U);
    connection_->stops_at_first_read = false;
    connection_->start_reading();
    run_turns(1);
    connection_->stop_reading();  // it has read one buffer, and waits
    run_turns(10);
    EXPECT_EQ(connection_->reads.size(), 2U);
    connection_->start_reading();
    run_turns(10);
    EXPECT_EQ(connection_->reads.size(), 3U);
    EXPECT_TRUE(connection_->ended);
}

TEST_F(TcpConnectionRead, MayBeClosedWhileItWaitsForItsNextTurn) {
    connection_->start_reading();
    send_and_end(3 * kBufferBytes);
    run_turns(1);
    connection_.reset();
    run_turns(10);
}

}  // namespace
}  // namespace chalksail::net::testing
