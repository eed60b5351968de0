#include "net/cache_feed.hpp"

#include <zmq.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "prefix/cache_events.hpp"

namespace chalksail::net {
namespace {

// Frames of a message: [topic, sequence, payload]; in a replay the first frame is empty.
constexpr std::size_t kFrames = 3;

int milliseconds(Duration d) {
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

std::string zmq_endpoint(const Address& address) { return "tcp://" + format_address(address); }

[[noreturn]] void throw_zmq_error(const std::string& server, const char* problem) {
    throw std::runtime_error(server + ": " + problem + ": " + zmq_strerror(zmq_errno()));
}

// One frame of a message. The destructor closes it, whether or not anything was received.
class Frame {
public:
    Frame() { zmq_msg_init(&message_); }
    ~Frame() { zmq_msg_close(&message_); }
    Frame(const Frame&) = delete;
    Frame& operator=(const Frame&) = delete;

    // Returns false if no frame is available.
    bool receive(void* socket) { return zmq_msg_recv(&message_, socket, ZMQ_DONTWAIT) >= 0; }
    [[nodiscard]] bool has_more() const { return zmq_msg_more(&message_) != 0; }
    [[nodiscard]] std::string bytes() {
        return {static_cast<const char*>(zmq_msg_data(&message_)), zmq_msg_size(&message_)};
    }

private:
    zmq_msg_t message_{};
};

// Returns a complete message, or std::nullopt if none is available. Stores at most one frame beyond kFrames,
// which is enough to detect that there were too many.
std::optional<std::vector<std::string>> receive_message(void* socket) {
    std::vector<std::string> frames;
    for (bool more = true; more;) {
        Frame frame;
        if (!frame.receive(socket)) return std::nullopt;
        if (frames.size() <= kFrames) frames.push_back(frame.bytes());
        more = frame.has_more();
    }
    return frames;
}

}  // namespace

void CacheFeed::ContextDeleter::operator()(void* context) const { zmq_ctx_term(context); }
void CacheFeed::SocketDeleter::operator()(void* socket) const { zmq_close(socket); }

struct CacheFeed::Socket {
    std::string server;
    SocketKind kind = SocketKind::events;
    std::unique_ptr<void, SocketDeleter> zmq;
    std::optional<Poll> poll;     // destroyed before the socket whose descriptor it polls
    bool read_scheduled = false;  // unread messages may be available
};

struct CacheFeed::Subscription {
    std::unique_ptr<Socket> events;
    std::unique_ptr<Socket> replay;  // nullptr if the server has no replay address
};

CacheFeed::CacheFeed(uv_loop_t& loop, Handler& handler, Limits limits)
    : loop_(loop), handler_(handler), limits_(limits), context_(zmq_ctx_new()), read_each_turn_(loop, [this] {
          read_scheduled();
      }) {
    if (context_ == nullptr) throw std::runtime_error("can't create a ZeroMQ context");
}

CacheFeed::~CacheFeed() = default;

std::unique_ptr<CacheFeed::Socket> CacheFeed::open(SocketKind kind, const Address& address,
                                                   const std::string& server) {
    auto out = std::make_unique<Socket>();
    out->server = server;
    out->kind = kind;
    out->zmq.reset(zmq_socket(context_.get(), kind == SocketKind::events ? ZMQ_SUB : ZMQ_DEALER));
    if (out->zmq == nullptr) throw_zmq_error(server, "can't create a ZeroMQ socket");
    set_options(*out, address);
    if (zmq_connect(out->zmq.get(), zmq_endpoint(address).c_str()) != 0)
        throw_zmq_error(server, "can't connect the ZeroMQ socket");
    int descriptor = -1;
    std::size_t length = sizeof descriptor;
    if (zmq_getsockopt(out->zmq.get(), ZMQ_FD, &descriptor, &length) != 0)
        throw_zmq_error(server, "can't get the ZeroMQ socket's descriptor");
    try {
        out->poll.emplace(loop_, descriptor, [this, socket = out.get()] { schedule_read(*socket); });
    } catch (const std::runtime_error&) {
        throw std::runtime_error(server + ": can't poll the ZeroMQ socket's descriptor");
    }
    out->poll->start();
    out->poll->unref();
    return out;
}

void CacheFeed::set_options(const Socket& socket, const Address& address) const {
    const auto set = [&](int option, const auto& value) {
        if (zmq_setsockopt(socket.zmq.get(), option, &value, sizeof value) != 0)
            throw_zmq_error(socket.server, "can't set a ZeroMQ socket option");
    };
    set(ZMQ_LINGER, 0);
    set(ZMQ_RCVHWM, limits_.queue);
    set(ZMQ_SNDHWM, limits_.queue);
    set(ZMQ_MAXMSGSIZE, static_cast<std::int64_t>(limits_.message_bytes));
    set(ZMQ_RECONNECT_IVL, milliseconds(limits_.reconnect_min));
    set(ZMQ_RECONNECT_IVL_MAX, milliseconds(limits_.reconnect_max));
    if (address.host.find(':') != std::string::npos) set(ZMQ_IPV6, 1);
    if (socket.kind == SocketKind::events && zmq_setsockopt(socket.zmq.get(), ZMQ_SUBSCRIBE, "", 0) != 0)
        throw_zmq_error(socket.server, "can't subscribe");
}

void CacheFeed::subscribe(const std::string& server, const Address& events,
                          const std::optional<Address>& replay) {
    unsubscribe(server);
    auto subscription = std::make_unique<Subscription>();
    subscription->events = open(SocketKind::events, events, server);
    if (replay) subscription->replay = open(SocketKind::replay, *replay, server);
    Socket& socket = *subscription->events;
    subscriptions_.emplace(server, std::move(subscription));
    schedule_read(socket);
}

void CacheFeed::unsubscribe(const std::string& server) { subscriptions_.erase(server); }

void CacheFeed::replay(const std::string& server, std::uint64_t from) {
    const auto it = subscriptions_.find(server);
    if (it == subscriptions_.end()) return;
    if (it->second->replay == nullptr) return handler_.on_cache_replay_ended(server);
    void* const socket = it->second->replay->zmq.get();
    const std::string bytes = prefix::encode_sequence(from);
    // The server's ROUTER expects the empty delimiter frame that a REQ socket would send.
    if (zmq_send(socket, "", 0, ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0 ||
        zmq_send(socket, bytes.data(), bytes.size(), ZMQ_DONTWAIT) < 0)
        return handler_.on_cache_replay_ended(server);
    schedule_read(*it->second->replay);
}

// ZeroMQ's descriptor is edge-triggered: a socket has to be read until no message is left.
void CacheFeed::schedule_read(Socket& socket) {
    socket.read_scheduled = true;
    read_each_turn_.start();
}

void CacheFeed::read_scheduled() {
    Budget budget{limits_.messages_per_turn, limits_.bytes_per_turn};
    bool unread = false;
    // Round-robin: each turn begins with the server after the one read last, so that a flood of messages from
    // one server cannot use up the budget of every turn.
    std::vector<Subscription*> in_order;
    const auto after_last = subscriptions_.upper_bound(last_read_);
    for (auto it = after_last; it != subscriptions_.end(); ++it) in_order.push_back(it->second.get());
    for (auto it = subscriptions_.begin(); it != after_last; ++it) in_order.push_back(it->second.get());
    for (Subscription* subscription : in_order)
        for (Socket* socket : {subscription->events.get(), subscription->replay.get()}) {
            if (socket == nullptr || !socket->read_scheduled) continue;
            if (budget.left()) last_read_ = socket->server;
            socket->read_scheduled = read(*socket, budget);
            unread = unread || socket->read_scheduled;
        }
    if (!unread) read_each_turn_.stop();
}

bool CacheFeed::read(Socket& socket, Budget& budget) {
    while (budget.left()) {
        auto frames = receive_message(socket.zmq.get());
        if (!frames) return false;
        std::size_t size = 0;
        for (const auto& frame : *frames) size += frame.size();
        budget.messages -= 1;
        budget.bytes -= std::min(budget.bytes, size);
        on_message(socket, std::move(*frames));
    }
    return true;
}

void CacheFeed::on_message(const Socket& socket, std::vector<std::string> frames) {
    counts_.messages += 1;
    const auto sequence = frames.size() == kFrames ? prefix::decode_sequence(frames[1]) : std::nullopt;
    if (!sequence) {
        counts_.malformed += 1;
        return;
    }
    const bool replayed = socket.kind == SocketKind::replay;
    if (replayed && frames[2].empty()) handler_.on_cache_replay_ended(socket.server);
    else handler_.on_cache_message(socket.server, *sequence, std::move(frames[2]), replayed);
}

CacheFeed::Counts CacheFeed::counts() const {
    Counts out = counts_;
    out.subscriptions = subscriptions_.size();
    return out;
}

}  // namespace chalksail::net
