// Watches the platform's discovery service for its list of endpoints. The watch is opened again whenever it
// ends or stays silent for too long. Each watch begins with a snapshot, so that no change between two of them
// is missed. Without a watch the last good list stays in force; malformed data closes the watch. When to open
// and when to close is decided in membership/watch_schedule.hpp. One libuv loop, one thread. Errors are
// logged.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "membership/endpoint_source.hpp"
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
    void on_head(UpstreamPool::Call call, int status, http::Headers headers) override;
    void on_body(UpstreamPool::Call call, std::string bytes) override;
    void on_done(UpstreamPool::Call call) override;
    void on_failed(UpstreamPool::Call call, engine::Ending ending, std::string detail) override;
    // Checks the schedule: closes a silent watch, opens one that is due.
    void poll();
    void open();
    // Closes the watch because of what it sent, or did not send.
    void close(const std::string& reason);
    void on_ended(const std::string& reason);
    void on_object(const std::string& text);
    void publish(const platform::EndpointListUpdate& update, EndpointUpdateKind kind);
    void observe_wall_clock(Time now);

    observe::Log& log_;
    Address discovery_;
    std::optional<platform::EndpointListUpdate> known_;
    WatchLimits limits_;
    UpstreamPool pool_;
    membership::EndpointSink* sink_ = nullptr;
    Timer poll_timer_;
    membership::WallClock wall_clock_;
    membership::StartTimes start_times_;
    Time wall_clock_due_{};  // when it is observed next
    membership::WatchSchedule schedule_;
    UpstreamPool::Call call_ = 0;             // the last one started
    bool open_ = false;                       // that call is under way
    std::optional<std::int64_t> generation_;  // of the list, as last received in this watch
    platform::ObjectReader objects_;
};

}  // namespace chalksail::net
