// Follows the endpoint list of the platform's discovery service: requests the complete list, then opens a
// watch of the changes after that version. When the watch ends, or delivers nothing for too long, it requests
// the complete list again, so that no change in between is missed, even if the discovery service has moved or
// restarted with other version numbers. While no watch is open the last valid list stays in force; malformed
// data closes the watch. membership/watch_schedule.hpp decides when calls are opened and closed, and
// membership/update_sequence.hpp which updates are applied. Not thread-safe: belongs to one libuv loop.
// Errors are logged.
#pragma once

#include <uv.h>

#include <chalksail/chalksail.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/endpoint_source.hpp"
#include "membership/late_list_calls.hpp"
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
    // `known` is a cached list, which may be out of date; it is delivered as
    // EndpointUpdateKind::cached_snapshot.
    DiscoveryWatch(uv_loop_t& loop, observe::Log& log, Address discovery,
                   std::optional<platform::EndpointListUpdate> known, WatchLimits limits = {});
    ~DiscoveryWatch() override;
    DiscoveryWatch(const DiscoveryWatch&) = delete;
    DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

    void start(membership::EndpointSink& sink) override;
    // Switches to another address. The list in force stays until the first snapshot from the new address.
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
    // Closes the open call if it has timed out, and opens the next one if it is due.
    void poll();
    void open(membership::WatchCall kind);
    // Cancels the open call, if there is one.
    void cancel_open_call();
    void on_timeout();

    [[nodiscard]] bool is_late(UpstreamPool::Call call) const { return late_responses_.contains(call); }
    void on_late_body(UpstreamPool::Call call, std::string_view bytes);
    // Makes a late call, which has delivered an object, the open one.
    void resume_late_call(UpstreamPool::Call call);
    // Returns the bytes of the incomplete objects of all calls.
    [[nodiscard]] std::size_t incomplete_bytes() const;
    void forget_late(UpstreamPool::Call call);
    void cancel_late(UpstreamPool::Call call);
    void cancel_all_late();

    // Cancels the open call because of invalid data or a time-out.
    void close(const std::string& reason);
    void on_ended(const std::string& reason);
    // Processes the objects that the open call has delivered.
    void on_objects(const std::vector<std::string>& objects);
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
    Timer watch_timer_;  // opens the watch in the next turn of the loop after a list was received
    membership::WallClock wall_clock_;
    membership::StartTimes start_times_;
    Time wall_clock_due_{};  // time of the next observation of the wall clock
    membership::WatchSchedule schedule_;
    membership::UpdateSequence sequence_;
    UpstreamPool::Call last_call_ = 0;
    std::optional<OpenCall> call_;
    // List calls that timed out and may still be answered, and what was received of their responses.
    membership::LateListCalls late_calls_;
    std::map<UpstreamPool::Call, platform::ObjectReader> late_responses_;
};

}  // namespace chalksail::net
