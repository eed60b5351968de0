// Engines' cache events over ZeroMQ on a libuv loop, as vLLM publishes them: a PUB socket that sends [topic,
// 8-byte sequence, payload], and a ROUTER that answers an 8-byte sequence with [sequence, payload] for each
// past batch from there on, and an empty payload at the end. Thin: what a message means, and what to ask for
// again, is the owner's.
//
// Owns its sockets and their context; one loop, one thread (and libzmq's own for I/O). A flood is read a part
// at a time, so that nothing else on the loop waits for it; what a publisher sends beyond the queue is lost,
// as with any slow subscriber. Errors: follow() throws std::runtime_error where a socket can't be had.
#pragma once

#include <uv.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/units.hpp"

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
        int queue = 1000;               // messages of one server that wait to be read
        std::size_t message = 4 << 20;  // bytes
        // What is taken, in a turn of the loop, before it goes on to other things: so many messages, or once
        // so many bytes have come.
        int each_turn = 64;
        std::size_t each_turn_bytes = 128 * 1024;
        Duration reconnect_least = std::chrono::milliseconds(100);
        Duration reconnect_most = std::chrono::seconds(2);
    };
    CacheFeed(uv_loop_t& loop, Handler& handler, Limits limits);
    ~CacheFeed();
    CacheFeed(const CacheFeed&) = delete;
    CacheFeed& operator=(const CacheFeed&) = delete;

    void follow(const std::string& server, const Address& events, const std::optional<Address>& replay);
    void leave(const std::string& server);
    void replay(const std::string& server, std::uint64_t from);

    struct Counts {
        std::uint64_t messages = 0;
        std::uint64_t malformed = 0;  // of other frames than they should have
        std::size_t followed = 0;
    };
    [[nodiscard]] Counts counts() const;

private:
    struct Socket;
    struct Followed;
    std::unique_ptr<Socket> open(int type, const Address& address, Followed& owner, bool replays);
    void look(Socket& socket);
    struct Budget {
        int messages = 0;
        std::size_t bytes = 0;
    };
    // Takes what is there, as far as the budget goes; true if more may be.
    bool take(Socket& socket, Budget& left);
    void turn();

    uv_loop_t& loop_;
    Handler& handler_;
    Limits limits_;
    void* context_ = nullptr;
    uv_idle_t* idle_ = nullptr;  // runs while something is left to read
    std::map<std::string, std::unique_ptr<Followed>> followed_;
    std::string last_turn_;  // the server that was read last
    Counts counts_;
};

}  // namespace chalksail::net
