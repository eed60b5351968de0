// The platform's discovery: a watch of its list that is taken up again whenever it ends or falls silent. Each
// watch begins with the whole list, so that nothing is missed between two of them. While none can be had the
// last good list stays in force; what can't be read closes the watch. When to open and when to give up is
// decided in membership/watch_schedule.hpp. One libuv loop, one thread.
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
#include "net/upstream_pool.hpp"
#include "observe/log.hpp"
#include "platform/endpoint_list.hpp"

namespace chalksail::net {

using membership::WatchLimits;

class DiscoveryWatch : public membership::EndpointSource, UpstreamPool::Handler {
public:
    // `known`: a list from before, which may be old.
    DiscoveryWatch(uv_loop_t& loop, observe::Log& log, Address discovery,
                   std::optional<platform::EndpointListUpdate> known, WatchLimits limits = {});
    ~DiscoveryWatch() override;
    DiscoveryWatch(const DiscoveryWatch&) = delete;
    DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

    void start(membership::EndpointSink& sink) override;
    // Discovery answers at another address from now on. The list stays until the whole one of there is in.
    void move(Address discovery);

private:
    void on_head(UpstreamPool::Call call, int status, http::Headers headers) override;
    void on_body(UpstreamPool::Call call, std::string bytes) override;
    void on_done(UpstreamPool::Call call) override;
    void on_failed(UpstreamPool::Call call, engine::Ending ending, std::string detail) override;
    void look();
    void open();
    void give_up(const std::string& why);
    void end(const std::string& why);
    void take_object(const std::string& text);
    void take(const platform::EndpointListUpdate& update, EndpointUpdateKind scope);
    void look_at_clocks(Time now);

    observe::Log& log_;
    Address discovery_;
    std::optional<platform::EndpointListUpdate> known_;
    WatchLimits limits_;
    UpstreamPool pool_;
    membership::EndpointSink* sink_ = nullptr;
    uv_timer_t* timer_ = nullptr;
    membership::WallClock wall_clock_;
    membership::StartTimes start_times_;
    Time clocks_due_{};  // for the next look at them
    membership::WatchSchedule schedule_;
    UpstreamPool::Call call_ = 0;          // the last one started
    bool out_ = false;                     // it is under way
    std::optional<std::int64_t> version_;  // of the list, as this call last told it
    platform::ObjectReader objects_;
};

}  // namespace chalksail::net
