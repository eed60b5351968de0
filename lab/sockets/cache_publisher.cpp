#include "sockets/cache_publisher.hpp"

#include <zmq.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <stdexcept>

namespace chalksail::lab {
namespace {
constexpr int kBindTries = 2000;  // a millisecond each
}

CachePublisher::CachePublisher(std::size_t past_most, std::function<bool()> lose)
    : past_most_(past_most), lose_(std::move(lose)), context_(zmq_ctx_new()) {
    if (context_ == nullptr) throw std::runtime_error("no ZeroMQ context");
    start();
}

CachePublisher::~CachePublisher() {
    stop();
    zmq_ctx_term(context_);
}

void* CachePublisher::open(int type, Address& address) {
    void* const socket = zmq_socket(context_, type);
    const int linger = 0;
    // What it sends again is bounded by what it keeps; a limit of the library's own would drop the end of it.
    const int no_limit = 0;
    const bool replays = type == ZMQ_ROUTER;
    // The library's own thread closes the listener of the process before: its port is free a moment later.
    const auto bind = [&] {
        const auto where = "tcp://" + format_address(address);
        for (int tries = 0; zmq_bind(socket, where.c_str()) != 0; ++tries) {
            if (zmq_errno() != EADDRINUSE || tries == kBindTries) return false;
            zmq_poll(nullptr, 0, 1);
        }
        return true;
    };
    if (socket == nullptr || zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof linger) != 0 ||
        (replays && zmq_setsockopt(socket, ZMQ_SNDHWM, &no_limit, sizeof no_limit) != 0) || !bind()) {
        const std::string why = zmq_strerror(zmq_errno());
        if (socket != nullptr) zmq_close(socket);
        throw std::runtime_error("cache events at " + format_address(address) + ": " + why);
    }
    std::array<char, 128> bound{};
    std::size_t length = bound.size();
    zmq_getsockopt(socket, ZMQ_LAST_ENDPOINT, bound.data(), &length);
    const std::string text = bound.data();
    if (const auto at = parse_address(text.substr(text.find("//") + 2))) address = *at;
    return socket;
}

void CachePublisher::start() {
    stop();
    pub_ = open(ZMQ_PUB, events_);
    router_ = open(ZMQ_ROUTER, replay_);
}

void CachePublisher::stop() {
    for (void** socket : {&pub_, &router_}) {
        if (*socket != nullptr) {
            // The port is wanted again at once; closing alone frees it only after a while.
            std::array<char, 128> bound{};
            std::size_t length = bound.size();
            zmq_getsockopt(*socket, ZMQ_LAST_ENDPOINT, bound.data(), &length);
            zmq_unbind(*socket, bound.data());
            zmq_close(*socket);
        }
        *socket = nullptr;
    }
    next_ = 0;
    past_.clear();
}

void CachePublisher::publish(std::vector<prefix::Event> events) {
    if (pub_ == nullptr || events.empty()) return;
    const double ts =
        std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
    const std::string payload = prefix::encode({ts, std::move(events), 0});
    past_.emplace_back(next_, payload);
    if (past_.size() > past_most_) past_.pop_front();
    const std::string sequence = prefix::encode_sequence(next_++);
    if (lose_()) return;
    zmq_send(pub_, "kv-events", 9, ZMQ_SNDMORE | ZMQ_DONTWAIT);
    zmq_send(pub_, sequence.data(), sequence.size(), ZMQ_SNDMORE | ZMQ_DONTWAIT);
    zmq_send(pub_, payload.data(), payload.size(), ZMQ_DONTWAIT);
}

void CachePublisher::tick() {
    while (router_ != nullptr) {
        std::vector<std::string> frames;
        for (bool more = true; more;) {
            zmq_msg_t message;
            zmq_msg_init(&message);
            if (zmq_msg_recv(&message, router_, ZMQ_DONTWAIT) < 0) {
                zmq_msg_close(&message);
                return;
            }
            frames.emplace_back(static_cast<const char*>(zmq_msg_data(&message)), zmq_msg_size(&message));
            more = zmq_msg_more(&message) != 0;
            zmq_msg_close(&message);
        }
        const auto from = frames.size() == 3 ? prefix::decode_sequence(frames[2]) : std::nullopt;
        if (!from) continue;
        const auto answer = [&](const std::string& sequence, const std::string& payload) {
            zmq_send(router_, frames[0].data(), frames[0].size(), ZMQ_SNDMORE | ZMQ_DONTWAIT);
            zmq_send(router_, "", 0, ZMQ_SNDMORE | ZMQ_DONTWAIT);
            zmq_send(router_, sequence.data(), sequence.size(), ZMQ_SNDMORE | ZMQ_DONTWAIT);
            zmq_send(router_, payload.data(), payload.size(), ZMQ_DONTWAIT);
        };
        for (const auto& [sequence, payload] : past_)
            if (sequence >= *from) answer(prefix::encode_sequence(sequence), payload);
        answer(std::string(8, '\xff'), "");
    }
}

}  // namespace chalksail::lab
