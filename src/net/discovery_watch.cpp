#include "net/discovery_watch.hpp"

#include <algorithm>
#include <utility>

#include "net/loop_clock.hpp"

namespace chalksail::net {

using membership::WatchCall;

namespace {

constexpr std::chrono::milliseconds kPollInterval{20};  // far below the time-outs of the schedule
// A step of the wall clock is detected within this time.
constexpr Duration kWallClockInterval = std::chrono::milliseconds(500);
constexpr std::size_t kHeadBytes = 16 * 1024;
constexpr std::size_t kConnections = 2;  // one for the open call, one for the call that replaces it

Duration wall_now() {
    return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
}

PoolLimits watch_pool_limits(const WatchLimits& limits) {
    PoolLimits out;
    out.message = {kHeadBytes, 0};
    out.connections_per_server = kConnections;
    out.dial_timeout = limits.dial_timeout;
    return out;
}

}  // namespace

DiscoveryWatch::DiscoveryWatch(uv_loop_t& loop, observe::Log& log, Address discovery,
                               std::optional<platform::EndpointListUpdate> known, WatchLimits limits)
    : log_(log),
      discovery_(std::move(discovery)),
      known_(std::move(known)),
      limits_(limits),
      pool_(loop, *this, watch_pool_limits(limits)),
      poll_timer_(loop, [this] { poll(); }),
      watch_timer_(loop, [this] { poll(); }),
      wall_clock_(uv_now_time(), wall_now()),
      schedule_(limits) {}

DiscoveryWatch::~DiscoveryWatch() = default;

void DiscoveryWatch::start(membership::EndpointSink& sink) {
    sink_ = &sink;
    if (known_) {
        publish(*known_, EndpointUpdateKind::cached_snapshot);
        known_.reset();
    }
    open(WatchCall::list);
    poll_timer_.start_repeating(kPollInterval);
    poll_timer_.unref();
}

void DiscoveryWatch::poll() {
    const Time now = uv_now_time();
    if (now >= wall_clock_due_) observe_wall_clock(now);
    if (schedule_.timed_out(now)) on_timeout();
    if (const auto call = schedule_.due(now)) open(*call);
}

void DiscoveryWatch::move(Address discovery) {
    if (discovery == discovery_) return;
    log_.info("discovery", "address changed to " + format_address(discovery));
    discovery_ = std::move(discovery);
    drop(call_);
    drop(late_call_);
    schedule_.target_changed(uv_now_time());
    open(WatchCall::list);
}

void DiscoveryWatch::open(WatchCall kind) {
    if (kind == WatchCall::list) sequence_.reset();
    const std::string target = kind == WatchCall::list
                                   ? platform::list_target()
                                   : platform::watch_target(sequence_.generation().value_or(0));
    call_.emplace(OpenCall{++last_call_, kind, platform::ObjectReader(limits_.object_bytes)});
    schedule_.opened(kind, uv_now_time());
    log_.info("discovery", "requesting " + target + " from " + format_address(discovery_));
    pool_.start(call_->id, Target(discovery_), {"GET", target, {}, {}});
}

void DiscoveryWatch::drop(std::optional<OpenCall>& call) {
    if (call) pool_.cancel(call->id);
    call.reset();
}

// Keeps a list call that timed out open beside the next one. Otherwise a discovery service that takes longer
// than the time-out would never deliver the list: each call would be cancelled before its response.
void DiscoveryWatch::on_timeout() {
    if (!schedule_.may_be_answered_late()) return close("timed out");
    drop(late_call_);
    late_call_ = std::move(call_);
    on_ended("timed out");
}

// Continues with the timed-out list call, whose response has now begun, and cancels the call made after it.
void DiscoveryWatch::resume_late_call() {
    drop(call_);
    call_ = std::exchange(late_call_, std::nullopt);
    schedule_.opened(WatchCall::list, uv_now_time());
    log_.info("discovery", "response to a timed-out list call arrived");
}

void DiscoveryWatch::close(const std::string& reason) {
    drop(call_);
    on_ended(reason);
}

void DiscoveryWatch::on_ended(const std::string& reason) {
    call_.reset();
    const bool list_known = schedule_.list_known();
    schedule_.ended(uv_now_time());
    if (!list_known) return log_.warn("discovery", reason + "; the last list stays in force");
    // Opens the watch on the connection that delivered the list. A discovery service that restarts in between
    // may reuse version numbers; the restart breaks the connection and so is detected.
    watch_timer_.start_once(std::chrono::milliseconds(0));
}

void DiscoveryWatch::on_head(UpstreamPool::Call call, int status, http::Headers) {
    if (late_call_ && late_call_->id == call) resume_late_call();
    if (!is_open(call)) return;
    if (status == 200) schedule_.response_began(uv_now_time());
    else close("response status " + std::to_string(status));
}

void DiscoveryWatch::on_body(UpstreamPool::Call call, std::string bytes) {
    if (!is_open(call)) return;
    const auto objects = call_->objects.feed(bytes);
    schedule_.received(uv_now_time(), call_->objects.midway());
    for (const auto& text : objects) {
        on_object(text);
        if (!is_open(call)) return;
    }
    if (call_->objects.overflowed()) close("object exceeds the size limit");
}

void DiscoveryWatch::on_object(const std::string& text) {
    const auto update = platform::parse_endpoint_list(text);
    if (!update) return close("malformed endpoint list: " + update.error());
    if (call_->kind == WatchCall::list) on_list(*update);
    else on_update(*update);
}

// Applies the response to a list call as a complete list, whether or not the object is marked as complete.
void DiscoveryWatch::on_list(const platform::EndpointListUpdate& list) {
    if (schedule_.list_known()) return close("second object in the response to a list call");
    drop(late_call_);
    (void)sequence_.accept(EndpointUpdateKind::snapshot, list.generation, list.endpoints.empty());
    schedule_.list_received();
    publish(list, EndpointUpdateKind::snapshot);
}

void DiscoveryWatch::on_update(const platform::EndpointListUpdate& update) {
    using Decision = membership::UpdateSequence::Decision;
    const auto kind = update.complete ? EndpointUpdateKind::snapshot : EndpointUpdateKind::delta;
    switch (sequence_.accept(kind, update.generation, update.endpoints.empty())) {
        case Decision::apply: return publish(update, kind);
        case Decision::ignore: return;
        case Decision::out_of_order: return close("changes do not follow the list version in force");
    }
}

void DiscoveryWatch::on_done(UpstreamPool::Call call) {
    if (is_open(call)) on_ended("response ended");
    else forget_late(call);
}
void DiscoveryWatch::on_failed(UpstreamPool::Call call, engine::ExchangeEnd, std::string detail) {
    if (is_open(call)) on_ended(detail);
    else forget_late(call);
}

void DiscoveryWatch::observe_wall_clock(Time now) {
    wall_clock_due_ = now + kWallClockInterval;
    wall_clock_.observe(now, wall_now());
}

void DiscoveryWatch::publish(const platform::EndpointListUpdate& update, EndpointUpdateKind kind) {
    observe_wall_clock(uv_now_time());
    if (kind == EndpointUpdateKind::snapshot) start_times_.forget_all_but(update.endpoints);
    membership::EndpointList list;
    list.kind = kind;
    list.generation = update.generation;
    for (const auto& instance : update.endpoints) {
        membership::EndpointConfig config;
        config.endpoint = {{instance.id},
                           instance.zone,
                           instance.kind,
                           instance.cell,
                           instance.state,
                           instance.weight,
                           start_times_.of(instance.id, instance.started_unix_ms, wall_clock_)};
        config.address = instance.address;
        list.endpoints.push_back(std::move(config));
        if (instance.state == EndpointState::removed) start_times_.forget(instance.id);
    }
    sink_->apply(std::move(list));
}

}  // namespace chalksail::net
