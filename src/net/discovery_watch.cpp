#include "net/discovery_watch.hpp"

#include <algorithm>
#include <utility>

#include "net/http_server.hpp"

namespace chalksail::net {
namespace {

constexpr std::uint64_t kLookMs = 20;

PoolLimits pool_limits(const WatchLimits& l) {
    PoolLimits out;
    out.message = {16 * 1024, 0};
    out.per_server = 2;
    out.dial_timeout = l.dial_timeout;
    return out;
}

}  // namespace

DiscoveryWatch::DiscoveryWatch(uv_loop_t& loop, observe::Log& log, Address discovery,
                               std::optional<platform::ListUpdate> known, WatchLimits limits)
    : log_(log),
      discovery_(std::move(discovery)),
      known_(std::move(known)),
      limits_(limits),
      pool_(loop, *this, pool_limits(limits)),
      offset_(uv_now_time().time_since_epoch() -
              std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch())),
      lines_(limits.line_bytes) {
    timer_ = new uv_timer_t;
    uv_timer_init(&loop, timer_);
    timer_->data = this;
}

DiscoveryWatch::~DiscoveryWatch() {
    uv_timer_stop(timer_);
    uv_close(reinterpret_cast<uv_handle_t*>(timer_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_timer_t*>(h); });
}

void DiscoveryWatch::start(membership::ListSink& sink) {
    sink_ = &sink;
    if (known_) {
        take(*known_, ListScope::recalled);
        since_ = known_->generation;
        known_.reset();
    }
    open();
    uv_timer_start(
        timer_,
        [](uv_timer_t* t) {
            auto& watch = *static_cast<DiscoveryWatch*>(t->data);
            const Time now = uv_now_time();
            const auto& l = watch.limits_;
            if (watch.out_ && now - watch.heard_ > (watch.spoke_ ? l.silence : l.first_word)) {
                watch.pool_.cancel(watch.call_);
                watch.again("silent");
            } else if (!watch.out_ && now >= watch.open_at_) {
                watch.open();
            }
        },
        kLookMs, kLookMs);
    uv_unref(reinterpret_cast<uv_handle_t*>(timer_));
}

void DiscoveryWatch::move(Address discovery) {
    if (discovery == discovery_) return;
    log_.say("info", "discovery", "moves to " + format_address(discovery));
    discovery_ = std::move(discovery);
    if (out_) pool_.cancel(call_);
    pause_ = {};
    open();
}

void DiscoveryWatch::open() {
    lines_ = platform::LineReader(limits_.line_bytes);
    out_ = true;
    spoke_ = false;
    heard_ = uv_now_time();
    pool_.start(++call_, Target(discovery_), "GET", platform::watch_target(since_), {}, "");
}

void DiscoveryWatch::again(const std::string& why) {
    out_ = false;
    pause_ = std::clamp(2 * pause_, limits_.retry_least, limits_.retry_most);
    open_at_ = uv_now_time() + pause_;
    log_.say("warn", "discovery", why + "; the last list stays in force");
}

void DiscoveryWatch::on_head(HttpPool::Call call, int status, http::Headers) {
    if (call != call_) return;
    if (status == 200) {
        heard_ = uv_now_time();
        spoke_ = true;
        return;
    }
    pool_.cancel(call);
    again("answers " + std::to_string(status));
}

void DiscoveryWatch::on_body(HttpPool::Call call, std::string bytes) {
    if (call != call_ || !out_) return;
    heard_ = uv_now_time();
    spoke_ = true;
    for (const auto& line : lines_.feed(bytes)) {
        const auto update = platform::parse_list(line);
        if (!update) {
            // What it said is lost: the whole list says it again.
            since_ = 0;
            pool_.cancel(call);
            return again("said what can't be read: " + update.error());
        }
        pause_ = {};
        // Guards against going back: a line of a version that is known already tells nothing new.
        if (!update->whole && update->generation <= since_ && since_ != 0) continue;
        since_ = update->generation;
        take(*update, update->whole ? ListScope::complete : ListScope::changes);
    }
    if (!lines_.overflowed()) return;
    since_ = 0;
    pool_.cancel(call);
    again("said a line that is too long");
}

void DiscoveryWatch::on_done(HttpPool::Call call) {
    if (call == call_ && out_) again("ended the watch");
}
void DiscoveryWatch::on_failed(HttpPool::Call call, engine::Ending, std::string detail) {
    if (call == call_ && out_) again(detail);
}

Time DiscoveryWatch::to_time(std::int64_t unix_ms) const {
    if (unix_ms == 0) return {};
    // Zero stands for "long ago".
    return std::max(Time(offset_ + Duration(std::chrono::milliseconds(unix_ms))), Time(Duration(1)));
}

void DiscoveryWatch::take(const platform::ListUpdate& update, ListScope scope) {
    core::ServerList list;
    list.scope = scope;
    for (const auto& i : update.instances) {
        core::ListedServer s;
        s.entry = {{i.id}, i.zone, i.kind, i.cell, i.state, i.weight, to_time(i.started_unix_ms)};
        s.address = i.address;
        list.servers.push_back(std::move(s));
    }
    sink_->take(std::move(list));
}

}  // namespace chalksail::net
