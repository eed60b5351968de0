#include "net/cache_feed.hpp"

#include <zmq.h>

#include <algorithm>
#include <stdexcept>
#include <vector>

#include "prefix/cache_events.hpp"

namespace chalksail::net {
namespace {

constexpr std::size_t kFrames = 4;  // more than any message here has

int milliseconds(Duration d) {
    return static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}
std::string endpoint(const Address& address) { return "tcp://" + format_address(address); }

}  // namespace

struct CacheFeed::Socket {
    CacheFeed* feed = nullptr;
    Followed* owner = nullptr;
    void* zmq = nullptr;
    uv_poll_t* poll = nullptr;
    bool replays = false;
    bool more = false;  // something is left to read

    ~Socket() {
        if (poll != nullptr) {
            uv_poll_stop(poll);
            uv_close(reinterpret_cast<uv_handle_t*>(poll),
                     [](uv_handle_t* h) { delete reinterpret_cast<uv_poll_t*>(h); });
        }
        if (zmq != nullptr) zmq_close(zmq);
    }
};
struct CacheFeed::Followed {
    std::string server;
    std::unique_ptr<Socket> events, replay;
};

CacheFeed::CacheFeed(uv_loop_t& loop, Handler& handler, Limits limits)
    : loop_(loop), handler_(handler), limits_(limits), context_(zmq_ctx_new()) {
    if (context_ == nullptr) throw std::runtime_error("no ZeroMQ context");
    idle_ = new uv_idle_t;
    uv_idle_init(&loop_, idle_);
    idle_->data = this;
}

CacheFeed::~CacheFeed() {
    followed_.clear();
    uv_idle_stop(idle_);
    uv_close(reinterpret_cast<uv_handle_t*>(idle_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_idle_t*>(h); });
    zmq_ctx_term(context_);
}

std::unique_ptr<CacheFeed::Socket> CacheFeed::open(int type, const Address& address, Followed& owner,
                                                   bool replays) {
    auto out = std::make_unique<Socket>();
    out->feed = this;
    out->owner = &owner;
    out->replays = replays;
    out->zmq = zmq_socket(context_, type);
    const auto fail = [&](const char* what) {
        throw std::runtime_error(owner.server + ": " + what + ": " + zmq_strerror(zmq_errno()));
    };
    if (out->zmq == nullptr) fail("no socket");
    const auto set = [&](int option, const auto& value) {
        if (zmq_setsockopt(out->zmq, option, &value, sizeof value) != 0) fail("socket option");
    };
    set(ZMQ_LINGER, 0);
    set(ZMQ_RCVHWM, limits_.queue);
    set(ZMQ_SNDHWM, limits_.queue);
    set(ZMQ_MAXMSGSIZE, static_cast<std::int64_t>(limits_.message));
    set(ZMQ_RECONNECT_IVL, milliseconds(limits_.reconnect_least));
    set(ZMQ_RECONNECT_IVL_MAX, milliseconds(limits_.reconnect_most));
    if (address.host.find(':') != std::string::npos) set(ZMQ_IPV6, 1);
    if (type == ZMQ_SUB && zmq_setsockopt(out->zmq, ZMQ_SUBSCRIBE, "", 0) != 0) fail("subscribe");
    if (zmq_connect(out->zmq, endpoint(address).c_str()) != 0) fail("connect");
    int fd = -1;
    std::size_t length = sizeof fd;
    if (zmq_getsockopt(out->zmq, ZMQ_FD, &fd, &length) != 0) fail("descriptor");
    out->poll = new uv_poll_t;
    if (uv_poll_init(&loop_, out->poll, fd) != 0) {
        delete out->poll;
        out->poll = nullptr;
        throw std::runtime_error(owner.server + ": can't watch its events");
    }
    out->poll->data = out.get();
    uv_poll_start(out->poll, UV_READABLE, [](uv_poll_t* p, int, int) {
        auto& socket = *static_cast<Socket*>(p->data);
        socket.feed->look(socket);
    });
    uv_unref(reinterpret_cast<uv_handle_t*>(out->poll));
    return out;
}

void CacheFeed::follow(const std::string& server, const Address& events,
                       const std::optional<Address>& replay) {
    leave(server);
    auto f = std::make_unique<Followed>();
    f->server = server;
    f->events = open(ZMQ_SUB, events, *f, false);
    if (replay) f->replay = open(ZMQ_DEALER, *replay, *f, true);
    Followed& kept = *followed_.emplace(server, std::move(f)).first->second;
    look(*kept.events);
}

void CacheFeed::leave(const std::string& server) { followed_.erase(server); }

void CacheFeed::replay(const std::string& server, std::uint64_t from) {
    const auto it = followed_.find(server);
    if (it == followed_.end()) return;
    if (it->second->replay == nullptr) return handler_.on_cache_replay_ended(server);
    void* const socket = it->second->replay->zmq;
    const std::string bytes = prefix::encode_sequence(from);
    // The empty frame that a REQ socket would put there.
    if (zmq_send(socket, "", 0, ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0 ||
        zmq_send(socket, bytes.data(), bytes.size(), ZMQ_DONTWAIT) < 0)
        return handler_.on_cache_replay_ended(server);
    look(*it->second->replay);
}

// ZeroMQ's descriptor tells of changes only: what is there has to be read to its end, or looked at again.
void CacheFeed::look(Socket& socket) {
    socket.more = true;
    uv_idle_start(idle_, [](uv_idle_t* i) { static_cast<CacheFeed*>(i->data)->turn(); });
}

void CacheFeed::turn() {
    Budget budget{limits_.each_turn, limits_.each_turn_bytes};
    bool left = false;
    // Guards against one server's flood taking every turn: each turn begins behind the one read last.
    std::vector<Followed*> all;
    for (auto it = followed_.upper_bound(last_turn_); it != followed_.end(); ++it)
        all.push_back(it->second.get());
    for (auto it = followed_.begin(); it != followed_.upper_bound(last_turn_); ++it)
        all.push_back(it->second.get());
    for (Followed* f : all)
        for (Socket* s : {f->events.get(), f->replay.get()}) {
            if (s == nullptr || !s->more) continue;
            if (budget.messages > 0 && budget.bytes > 0) last_turn_ = f->server;
            s->more = take(*s, budget);
            left = left || s->more;
        }
    if (!left) uv_idle_stop(idle_);
}

bool CacheFeed::take(Socket& socket, Budget& left) {
    while (left.messages > 0 && left.bytes > 0) {
        std::vector<std::string> frames;
        bool more = true, bad = false;
        while (more) {
            zmq_msg_t message;
            zmq_msg_init(&message);
            if (zmq_msg_recv(&message, socket.zmq, ZMQ_DONTWAIT) < 0) {
                zmq_msg_close(&message);
                return false;  // nothing is there
            }
            if (frames.size() < kFrames)
                frames.emplace_back(static_cast<const char*>(zmq_msg_data(&message)), zmq_msg_size(&message));
            else bad = true;
            more = zmq_msg_more(&message) != 0;
            zmq_msg_close(&message);
        }
        left.messages -= 1;
        std::size_t size = 0;
        for (const auto& frame : frames) size += frame.size();
        left.bytes -= std::min(left.bytes, size);
        counts_.messages += 1;
        const auto sequence = !bad && frames.size() == 3 ? prefix::decode_sequence(frames[1]) : std::nullopt;
        if (!sequence) {
            counts_.malformed += 1;
            continue;
        }
        if (socket.replays && frames[2].empty()) handler_.on_cache_replay_ended(socket.owner->server);
        else handler_.on_cache_message(socket.owner->server, *sequence, std::move(frames[2]), socket.replays);
    }
    return true;
}

CacheFeed::Counts CacheFeed::counts() const {
    Counts out = counts_;
    out.followed = followed_.size();
    return out;
}

}  // namespace chalksail::net
