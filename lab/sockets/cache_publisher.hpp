// A stand-in engine's cache events over ZeroMQ, as vLLM publishes them: a PUB socket, and a ROUTER that
// replays past batches. One libuv loop, one thread. Throws std::runtime_error where a socket can't be had.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "base/units.hpp"
#include "prefix/cache_events.hpp"

namespace chalksail::lab {

class CachePublisher {
public:
    // `lose`: asked for each batch; true: it is published to nobody, and can only be replayed.
    CachePublisher(std::size_t past_most, std::function<bool()> lose);
    ~CachePublisher();
    CachePublisher(const CachePublisher&) = delete;
    CachePublisher& operator=(const CachePublisher&) = delete;

    // As a process that starts: at the same ports as before, if there was one; from sequence 0, with no past.
    void start();
    void stop();
    void publish(std::vector<prefix::Event> events);
    // Answers those who ask for past batches.
    void tick();
    [[nodiscard]] const Address& events() const { return events_; }
    [[nodiscard]] const Address& replay() const { return replay_; }

private:
    void* open(int type, Address& address);

    std::size_t past_most_;
    std::function<bool()> lose_;
    void* context_ = nullptr;
    void* pub_ = nullptr;
    void* router_ = nullptr;
    Address events_{"127.0.0.1", 0};
    Address replay_{"127.0.0.1", 0};
    std::uint64_t next_ = 0;
    std::deque<std::pair<std::uint64_t, std::string>> past_;
};

}  // namespace chalksail::lab
