#include "net/discovery_watch.hpp"

#include <algorithm>
#include <utility>

#include "net/http_server.hpp"

namespace chalksail::net {
namespace {

constexpr std::uint64_t kLookMs = 20;
constexpr Duration kClockLook = std::chrono::milliseconds(500);

Duration wall_now() {
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}

PoolLimits pool_limits(const WatchLimits& l) {
    PoolLimits out;
    out.message = {16 * 1024, 0};
    out.per_server = 2;
    out.dial_timeout = l.dial_timeout;
    return out;
}

}  // namespace

DiscoveryWatch::DiscoveryWatch(uv_loop_t& loop, observe::Log& log, Address discovery,
                               std::optional<platform::EndpointListUpdate> known, WatchLimits limits)
    : log_(log),
      discovery_(std::move(discovery)),
      known_(std::move(known)),
      limits_(limits),
      pool_(loop, *this, pool_limits(limits)),
      wall_clock_(uv_now_time(), wall_now()),
      schedule_(limits),
      objects_(limits.object_bytes) {
    timer_ = new uv_timer_t;
    uv_timer_init(&loop, timer_);
    timer_->data = this;
}

DiscoveryWatch::~DiscoveryWatch() {
    uv_timer_stop(timer_);
    uv_close(reinterpret_cast<uv_handle_t*>(timer_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_timer_t*>(h); });
}

void DiscoveryWatch::start(membership::EndpointSink& sink) {
    sink_ = &sink;
    if (known_) {
        take(*known_, EndpointUpdateKind::cached_snapshot);
        known_.reset();
    }
    open();
    uv_timer_start(
        timer_, [](uv_timer_t* t) { static_cast<DiscoveryWatch*>(t->data)->look(); }, kLookMs, kLookMs);
    uv_unref(reinterpret_cast<uv_handle_t*>(timer_));
}

void DiscoveryWatch::look() {
    const Time now = uv_now_time();
    if (now >= clocks_due_) look_at_clocks(now);
    if (schedule_.silent(now)) give_up("silent");
    if (schedule_.due(now)) open();
}

void DiscoveryWatch::move(Address discovery) {
    if (discovery == discovery_) return;
    log_.info("discovery", "moves to " + format_address(discovery));
    discovery_ = std::move(discovery);
    if (out_) pool_.cancel(call_);
    schedule_.target_changed(uv_now_time());
    open();
}

void DiscoveryWatch::open() {
    objects_ = platform::ObjectReader(limits_.object_bytes);
    version_.reset();
    out_ = true;
    schedule_.opened(uv_now_time());
    pool_.start(++call_, Target(discovery_), "GET", platform::watch_target(), {}, "");
}

void DiscoveryWatch::give_up(const std::string& why) {
    pool_.cancel(call_);
    end(why);
}

void DiscoveryWatch::end(const std::string& why) {
    out_ = false;
    schedule_.ended(uv_now_time());
    log_.warn("discovery", why + "; the last list stays in force");
}

void DiscoveryWatch::on_head(UpstreamPool::Call call, int status, http::Headers) {
    if (call != call_ || !out_) return;
    if (status == 200) schedule_.received(uv_now_time(), false, false);
    else give_up("answers " + std::to_string(status));
}

void DiscoveryWatch::on_body(UpstreamPool::Call call, std::string bytes) {
    if (call != call_ || !out_) return;
    const auto objects = objects_.feed(bytes);
    schedule_.received(uv_now_time(), objects_.midway(), !objects.empty());
    for (const auto& text : objects) {
        take_object(text);
        if (!out_) return;
    }
    if (objects_.overflowed()) give_up("told more than is taken at once");
}

void DiscoveryWatch::take_object(const std::string& text) {
    const auto update = platform::parse_endpoint_list(text);
    if (!update) return give_up("told what can't be read: " + update.error());
    // Guards against going back, and against missing what came in between: changes follow each other upwards.
    // Where they don't, discovery has started anew under this watch, and only the whole list tells what
    // holds.
    const bool next = update->complete || !version_ || update->generation > *version_;
    if (!next && update->endpoints.empty()) return;
    if (!next) return give_up("told changes that do not follow what it told before");
    version_ = update->generation;
    take(*update, update->complete ? EndpointUpdateKind::snapshot : EndpointUpdateKind::delta);
}

void DiscoveryWatch::on_done(UpstreamPool::Call call) {
    if (call == call_ && out_) end("ended the watch");
}
void DiscoveryWatch::on_failed(UpstreamPool::Call call, engine::Ending, std::string detail) {
    if (call == call_ && out_) end(detail);
}

void DiscoveryWatch::look_at_clocks(Time now) {
    clocks_due_ = now + kClockLook;
    wall_clock_.observe(now, wall_now());
}

void DiscoveryWatch::take(const platform::EndpointListUpdate& update, EndpointUpdateKind scope) {
    look_at_clocks(uv_now_time());
    if (update.complete) start_times_.forget_all_but(update.endpoints);
    membership::EndpointList list;
    list.kind = scope;
    for (const auto& i : update.endpoints) {
        membership::EndpointConfig s;
        s.endpoint = {{i.id},
                      i.zone,
                      i.kind,
                      i.cell,
                      i.state,
                      i.weight,
                      start_times_.of(i.id, i.started_unix_ms, wall_clock_)};
        s.address = i.address;
        list.endpoints.push_back(std::move(s));
        if (i.state == EndpointState::removed) start_times_.forget(i.id);
    }
    sink_->apply(std::move(list));
}

}  // namespace chalksail::net
