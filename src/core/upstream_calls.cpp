#include "core/upstream_calls.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace chalksail::core {

void UpstreamCall::advance(SendPhase phase) { send_phase = std::max(send_phase, phase); }

UpstreamCall& UpstreamCalls::begin(CallKind kind, const membership::EndpointConfig& server,
                                   ServerRequest request, double priority, Time now, StepOutput& output) {
    UpstreamCall call;
    call.id = {++last_id_};
    call.kind = kind;
    call.server = server.endpoint.id.value;
    call.server_kind = server.endpoint.kind;
    call.begun = now;
    output.emit(Call{call.id, kind, call.server, call.server_kind, server.address, std::move(request.method),
                     std::move(request.target), std::move(request.headers), std::move(request.body),
                     priority});
    return calls_.emplace(call.id, std::move(call)).first->second;
}

UpstreamCall* UpstreamCalls::find(CallId id) {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second;
}
const UpstreamCall* UpstreamCalls::find(CallId id) const {
    const auto it = calls_.find(id);
    return it == calls_.end() ? nullptr : &it->second;
}

UpstreamCall UpstreamCalls::end(CallId id) {
    auto entry = calls_.extract(id);
    assert(!entry.empty());
    UpstreamCall& call = entry.mapped();
    if (call.timer) timers_.erase({*call.timer, id});
    call.timer.reset();
    buffered_bytes_ -= std::exchange(call.buffered_bytes, 0);
    return std::move(call);
}

void UpstreamCalls::set_timer(UpstreamCall& call, Time due) {
    assert(!call.timer);
    call.timer = due;
    timers_.emplace(due, call.id);
}

std::optional<CallId> UpstreamCalls::pop_due(Time now) {
    if (timers_.empty() || timers_.begin()->first > now) return std::nullopt;
    const CallId id = timers_.begin()->second;
    timers_.erase(timers_.begin());
    calls_.at(id).timer.reset();
    return id;
}

std::optional<Time> UpstreamCalls::next_timer() const {
    if (timers_.empty()) return std::nullopt;
    return timers_.begin()->first;
}

std::vector<CallId> UpstreamCalls::queued_attempts(const std::set<std::string>& servers) const {
    std::vector<CallId> queued;
    for (const auto& [id, call] : calls_)
        if (call.kind == CallKind::attempt && !call.sent() && servers.contains(call.server))
            queued.push_back(id);
    return queued;
}

std::set<std::string> UpstreamCalls::servers_in_use() const {
    std::set<std::string> servers;
    for (const auto& [id, call] : calls_) servers.insert(call.server);
    return servers;
}

void UpstreamCalls::update_buffered_bytes(UpstreamCall& call) {
    const std::size_t bytes = call.body.size() + (call.parser ? call.parser->buffered_bytes() : 0);
    buffered_bytes_ += bytes;
    buffered_bytes_ -= std::exchange(call.buffered_bytes, bytes);
}

std::optional<CallId> UpstreamCalls::largest_buffer() const {
    const auto is_smaller = [](const auto& a, const auto& b) {
        return a.second.buffered_bytes < b.second.buffered_bytes;
    };
    const auto largest = std::max_element(calls_.begin(), calls_.end(), is_smaller);
    if (largest == calls_.end() || largest->second.buffered_bytes == 0) return std::nullopt;
    return largest->first;
}

}  // namespace chalksail::core
