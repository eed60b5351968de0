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
// For the open call, the call that replaces it, and late calls.
constexpr std::size_t kConnections = 2 + membership::LateListCalls::kMaxCalls;

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
    while (const auto expired = late_calls_.remove_expired(now)) cancel_late(*expired);
    if (schedule_.timed_out(now)) on_timeout();
    if (const auto call = schedule_.due(now)) open(*call);
}

void DiscoveryWatch::move(Address discovery) {
    if (discovery == discovery_) return;
    log_.info("discovery", "address changed to " + format_address(discovery));
    discovery_ = std::move(discovery);
    cancel_open_call();
    cancel_all_late();
    late_calls_.reset_timeout();
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

void DiscoveryWatch::cancel_open_call() {
    if (call_) pool_.cancel(call_->id);
    call_.reset();
}

void DiscoveryWatch::on_timeout() {
    if (!schedule_.may_be_answered_late()) return close("timed out");
    late_responses_.emplace(call_->id, std::move(call_->objects));
    const auto displaced = late_calls_.add(call_->id, schedule_.opened_at());
    on_ended("timed out");
    if (displaced) cancel_late(*displaced);
}

// ---- list calls that timed out ----

void DiscoveryWatch::on_late_body(UpstreamPool::Call call, std::string_view bytes) {
    auto& response = late_responses_.at(call);
    const auto objects = response.feed(bytes);
    if (!objects.empty()) {
        // The call made after it may still be answered correctly.
        if (!platform::parse_endpoint_list(objects.front())) return cancel_late(call);
        resume_late_call(call);
        return on_objects(objects);
    }
    if (response.overflowed() || incomplete_bytes() > limits_.object_bytes) cancel_late(call);
}

void DiscoveryWatch::resume_late_call(UpstreamPool::Call call) {
    cancel_open_call();
    call_.emplace(OpenCall{call, WatchCall::list, std::move(late_responses_.at(call))});
    forget_late(call);
    schedule_.opened(WatchCall::list, uv_now_time());
    log_.info("discovery", "response to a timed-out list call arrived");
}

std::size_t DiscoveryWatch::incomplete_bytes() const {
    std::size_t bytes = call_ ? call_->objects.partial_bytes() : 0;
    for (const auto& [call, response] : late_responses_) bytes += response.partial_bytes();
    return bytes;
}

void DiscoveryWatch::forget_late(UpstreamPool::Call call) {
    late_calls_.remove(call);
    late_responses_.erase(call);
}

void DiscoveryWatch::cancel_late(UpstreamPool::Call call) {
    forget_late(call);
    pool_.cancel(call);
}

void DiscoveryWatch::cancel_all_late() {
    for (const auto call : late_calls_.clear()) cancel_late(call);
}

// ---- the end and the response of the open call ----

void DiscoveryWatch::close(const std::string& reason) {
    cancel_open_call();
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
    if (is_late(call) && status != 200) return cancel_late(call);
    if (!is_open(call)) return;
    if (status == 200) schedule_.response_began(uv_now_time());
    else close("response status " + std::to_string(status));
}

void DiscoveryWatch::on_body(UpstreamPool::Call call, std::string bytes) {
    if (is_late(call)) return on_late_body(call, bytes);
    if (!is_open(call)) return;
    const auto objects = call_->objects.feed(bytes);
    schedule_.received(uv_now_time(), call_->objects.midway());
    if (schedule_.may_be_answered_late() && !objects.empty()) late_calls_.reset_timeout();
    on_objects(objects);
}

void DiscoveryWatch::on_objects(const std::vector<std::string>& objects) {
    const UpstreamPool::Call call = call_->id;
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
    cancel_all_late();
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
