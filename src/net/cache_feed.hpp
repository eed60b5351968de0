// Subscribes to the cache events of engines over ZeroMQ on a libuv loop, as vLLM publishes them: a PUB socket
// sends [topic, 8-byte sequence, payload]; a ROUTER socket replies to an 8-byte sequence with [sequence,
// payload] for each buffered batch from that sequence on, and ends with an empty payload. The owner
// interprets the messages and decides what to replay.
//
// Owns its sockets and their context. Not thread-safe: belongs to one loop (libzmq runs an I/O thread of its
// own). Each turn of the loop reads a bounded amount, so that a flood of messages does not delay other work
// on the loop; messages beyond the queue's limit are lost, as with any slow ZeroMQ subscriber. subscribe()
// throws std::runtime_error if a socket can't be opened.
#pragma once

#include <uv.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/units.hpp"
#include "net/loop_handles.hpp"

namespace chalksail::net {

class CacheFeed {
public:
    struct Handler {
        virtual ~Handler() = default;
        virtual void on_cache_message(const std::string& server, std::uint64_t sequence, std::string payload,
                                      bool replayed) = 0;
        virtual void on_cache_replay_ended(const std::string& server) = 0;
    };
    struct Limits {
        int queue = 1000;                     // maximum number of unread messages of one server
        std::size_t message_bytes = 4 << 20;  // maximum size of one message
        // A turn of the loop stops reading when it reaches one of these two limits.
        int messages_per_turn = 64;
        std::size_t bytes_per_turn = 128 * 1024;
        Duration reconnect_min = std::chrono::milliseconds(100);
        Duration reconnect_max = std::chrono::seconds(2);
    };
    CacheFeed(uv_loop_t& loop, Handler& handler, Limits limits);
    ~CacheFeed();
    CacheFeed(const CacheFeed&) = delete;
    CacheFeed& operator=(const CacheFeed&) = delete;

    // Subscribes to a server, and replaces an earlier subscription to it.
    void subscribe(const std::string& server, const Address& events, const std::optional<Address>& replay);
    void unsubscribe(const std::string& server);
    // Requests all batches from this sequence number on. They are delivered with `replayed` set, followed by
    // on_cache_replay_ended(), which is also called if no replay is possible.
    void replay(const std::string& server, std::uint64_t from);

    struct Counts {
        std::uint64_t messages = 0;
        std::uint64_t malformed = 0;  // messages with a wrong number of frames or an invalid sequence number
        std::size_t subscriptions = 0;
    };
    [[nodiscard]] Counts counts() const;

private:
    enum class SocketKind { events, replay };
    struct ContextDeleter {
        void operator()(void* context) const;
    };
    struct SocketDeleter {
        void operator()(void* socket) const;
    };
    struct Socket;
    struct Subscription;
    // The number of messages and bytes that may still be read in this turn of the loop.
    struct Budget {
        int messages = 0;
        std::size_t bytes = 0;
        [[nodiscard]] bool left() const { return messages > 0 && bytes > 0; }
    };
    std::unique_ptr<Socket> open(SocketKind kind, const Address& address, const std::string& server);
    void set_options(const Socket& socket, const Address& address) const;
    // Schedules the socket to be read in the next turns of the loop, until it is empty.
    void schedule_read(Socket& socket);
    // Reads the scheduled sockets within the budget of one turn.
    void read_scheduled();
    // Reads until the socket is empty or the budget is used up. Returns true if messages may be left.
    bool read(Socket& socket, Budget& budget);
    void on_message(const Socket& socket, std::vector<std::string> frames);

    uv_loop_t& loop_;
    Handler& handler_;
    Limits limits_;
    std::unique_ptr<void, ContextDeleter> context_;  // outlives the sockets
    IdleHandle read_each_turn_;                      // active while a read is scheduled
    std::map<std::string, std::unique_ptr<Subscription>> subscriptions_;
    std::string last_read_;  // name of the server that was read last
    Counts counts_;
};

}  // namespace chalksail::net
