#include "net/call_queue.hpp"

#include <algorithm>
#include <utility>

namespace chalksail::net {

void add_framing_headers(UpstreamRequest& request, const Target& to) {
    http::Headers all;
    all.add("Host", to.tls ? to.tls_name : format_address(to.address));
    for (auto& header : request.headers.all()) all.add(std::move(header.name), std::move(header.value));
    if (request.method != "GET") all.add("Content-Length", std::to_string(request.body.size()));
    request.headers = std::move(all);
}

void CallQueue::push(const UpstreamKey& key, PendingCall call) {
    servers_by_call_.emplace(call.call, key);
    queues_[key].push_back(std::move(call));
}

PendingCall CallQueue::pop(const UpstreamKey& key) {
    const auto it = queues_.find(key);
    PendingCall out = std::move(it->second.front());
    it->second.pop_front();
    if (it->second.empty()) queues_.erase(it);
    servers_by_call_.erase(out.call);
    return out;
}

bool CallQueue::remove(std::uint64_t call) {
    const auto server = servers_by_call_.find(call);
    if (server == servers_by_call_.end()) return false;
    const auto queue = queues_.find(server->second);
    std::erase_if(queue->second, [&](const PendingCall& pending) { return pending.call == call; });
    if (queue->second.empty()) queues_.erase(queue);
    servers_by_call_.erase(server);
    return true;
}

void CallQueue::clear() {
    queues_.clear();
    servers_by_call_.clear();
}

std::size_t CallQueue::size(const UpstreamKey& key) const {
    const auto it = queues_.find(key);
    return it == queues_.end() ? 0 : it->second.size();
}

std::vector<std::uint64_t> CallQueue::overdue(Time now, Duration longest) const {
    std::vector<std::uint64_t> out;
    for (const auto& [key, queue] : queues_)
        for (const auto& pending : queue)
            if (now - pending.since > longest) out.push_back(pending.call);
    std::sort(out.begin(), out.end());
    return out;
}

}  // namespace chalksail::net
