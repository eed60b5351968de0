// Watches the platform's discovery service for its list of endpoints: requests the complete list, then opens
// a watch of what changes after that version. Whenever the watch ends or stays silent for too long, both are
// done again, so that no change in between is missed, whatever the versions of a discovery service that has
// moved or restarted. Without a watch the last good list stays in force; malformed data closes the watch.
// When to open and when to close is decided in membership/watch_schedule.hpp, what may be applied in
// membership/update_sequence.hpp. One libuv loop, one thread. Errors are logged.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "membership/endpoint_source.hpp"
#include "membership/update_sequence.hpp"
#include "membership/wall_clock.hpp"
#include "membership/watch_schedule.hpp"
#include "net/loop_handles.hpp"
#include "net/upstream_pool.hpp"
#include "observe/log.hpp"
#include "platform/endpoint_list.hpp"

namespace chalksail::net {

using membership::WatchLimits;

class DiscoveryWatch : public membership::EndpointSource, UpstreamPool::Handler {
public:
    // `known`: a cached list, which may be out of date; reported as EndpointUpdateKind::cached_snapshot.
    DiscoveryWatch(uv_loop_t& loop, observe::Log& log, Address discovery,
                   std::optional<platform::EndpointListUpdate> known, WatchLimits limits = {});
    ~DiscoveryWatch() override;
    DiscoveryWatch(const DiscoveryWatch&) = delete;
    DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

    void start(membership::EndpointSink& sink) override;
    // Watches another address from now on. The list stays in force until the first snapshot from there.
    void move(Address discovery);

private:
    struct OpenCall {
        UpstreamPool::Call id = 0;
        membership::WatchCall kind = membership::WatchCall::list;
        platform::ObjectReader objects;
    };

    void on_head(UpstreamPool::Call call, int status, http::Headers headers) override;
    void on_body(UpstreamPool::Call call, std::string bytes) override;
    void on_done(UpstreamPool::Call call) override;
    void on_failed(UpstreamPool::Call call, engine::ExchangeEnd ending, std::string detail) override;

    [[nodiscard]] bool is_open(UpstreamPool::Call call) const { return call_ && call_->id == call; }
    // Checks the schedule: ends a silent call, opens one that is due.
    void poll();
    void open(membership::WatchCall kind);
    void drop(std::optional<OpenCall>& call);
    void on_silence();
    void resume_late_call();
    void forget_late(UpstreamPool::Call call) {
        if (late_call_ && late_call_->id == call) late_call_.reset();
    }
    // Closes the call because of what it sent, or did not send.
    void close(const std::string& reason);
    void on_ended(const std::string& reason);
    void on_object(const std::string& text);
    void on_list(const platform::EndpointListUpdate& list);
    void on_update(const platform::EndpointListUpdate& update);
    void publish(const platform::EndpointListUpdate& update, EndpointUpdateKind kind);
    void observe_wall_clock(Time now);

    observe::Log& log_;
    Address discovery_;
    std::optional<platform::EndpointListUpdate> known_;
    WatchLimits limits_;
    UpstreamPool pool_;
    membership::EndpointSink* sink_ = nullptr;
    Timer poll_timer_;
    Timer watch_timer_;  // opens the watch in the next turn of the loop
    membership::WallClock wall_clock_;
    membership::StartTimes start_times_;
    Time wall_clock_due_{};  // when it is observed next
    membership::WatchSchedule schedule_;
    membership::UpdateSequence sequence_;
    UpstreamPool::Call last_call_ = 0;
    std::optional<OpenCall> call_;
    std::optional<OpenCall> late_call_;  // for the list, given up by the schedule; it may still be answered
};

}  // namespace chalksail::net
