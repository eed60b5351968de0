// Subscribes to engines' cache events over ZeroMQ on a libuv loop, as vLLM publishes them: a PUB socket that
// sends [topic, 8-byte sequence, payload], and a ROUTER that answers an 8-byte sequence with [sequence,
// payload] for each past batch from there on, and an empty payload at the end. What a message means, and what
// has to be replayed, is decided by the owner.
//
// Owns its sockets and their context; one loop, one thread (and libzmq's own for I/O). Each turn of the loop
// reads a bounded amount, so that nothing else on the loop waits behind a flood; what a publisher sends
// beyond the queue is lost, as with any slow subscriber. Errors: subscribe() throws std::runtime_error where
// a socket can't be opened.
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
        int queue = 1000;                     // unread messages of one server
        std::size_t message_bytes = 4 << 20;  // of one message
        // A turn of the loop reads until one of these is reached.
        int messages_per_turn = 64;
        std::size_t bytes_per_turn = 128 * 1024;
        Duration reconnect_min = std::chrono::milliseconds(100);
        Duration reconnect_max = std::chrono::seconds(2);
    };
    CacheFeed(uv_loop_t& loop, Handler& handler, Limits limits);
    ~CacheFeed();
    CacheFeed(const CacheFeed&) = delete;
    CacheFeed& operator=(const CacheFeed&) = delete;

    // Replaces an earlier subscription to this server.
    void subscribe(const std::string& server, const Address& events, const std::optional<Address>& replay);
    void unsubscribe(const std::string& server);
    // Requests all batches from this sequence number on; they come with `replayed`, and end with
    // on_cache_replay_ended().
    void replay(const std::string& server, std::uint64_t from);

    struct Counts {
        std::uint64_t messages = 0;
        std::uint64_t malformed = 0;  // messages with the wrong number of frames, or no sequence
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
    // What may still be read in this turn of the loop.
    struct Budget {
        int messages = 0;
        std::size_t bytes = 0;
        [[nodiscard]] bool left() const { return messages > 0 && bytes > 0; }
    };
    std::unique_ptr<Socket> open(SocketKind kind, const Address& address, const std::string& server);
    void set_options(const Socket& socket, const Address& address) const;
    // Reads it in the next turns of the loop.
    void schedule_read(Socket& socket);
    // Reads all scheduled sockets, within one turn's budget.
    void read_scheduled();
    // Reads as far as the budget goes; true if more may be left.
    bool read(Socket& socket, Budget& budget);
    void on_message(const Socket& socket, std::vector<std::string> frames);

    uv_loop_t& loop_;
    Handler& handler_;
    Limits limits_;
    std::unique_ptr<void, ContextDeleter> context_;  // outlives the sockets
    IdleHandle read_each_turn_;                      // active while a read is scheduled
    std::map<std::string, std::unique_ptr<Subscription>> subscriptions_;
    std::string last_read_;  // the server that was read last
    Counts counts_;
};

}  // namespace chalksail::net
