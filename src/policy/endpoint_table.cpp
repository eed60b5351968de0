#include "endpoint_table.hpp"

#include <algorithm>

namespace chalksail::policy {
namespace {

constexpr double kDefaultMemoryTokens = 100'000;  // for server kinds without a memory setting

}  // namespace

EndpointTable::EndpointTable(const Settings& settings) : settings_(settings), topology_(settings.zone) {}

Server* EndpointTable::find(const ServerId& id) {
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
}

const Server* EndpointTable::find(const ServerId& id) const {
    const auto it = servers_.find(id);
    return it == servers_.end() ? nullptr : &it->second;
}

std::vector<Server*> EndpointTable::merge(const EndpointUpdate& update) {
    std::vector<Server*> started;
    if (update.kind != EndpointUpdateKind::delta)
        for (auto& [id, server] : servers_) server.listed = false;
    for (const Endpoint& endpoint : update.endpoints) {
        const auto [it, inserted] = servers_.try_emplace(endpoint.id);
        Server& server = it->second;
        const bool restarted = !inserted && server.endpoint.started_at != endpoint.started_at;
        server.endpoint = endpoint;
        server.listed = endpoint.state != EndpointState::removed;
        if (!inserted && !restarted) continue;
        set_kind(server);
        started.push_back(&server);
    }
    return started;
}

void EndpointTable::set_kind(Server& server) {
    const auto kind =
        std::find_if(settings_.kinds.begin(), settings_.kinds.end(),
                     [&](const auto& candidate) { return candidate.name == server.endpoint.kind; });
    const bool known = kind != settings_.kinds.end();
    server.role = known ? kind->role : Role::mixed;
    server.memory_tokens = known && kind->memory_tokens > 0 ? kind->memory_tokens : kDefaultMemoryTokens;
    if (server.role != Role::prefill)
        largest_decode_memory_ = std::max(largest_decode_memory_, server.memory_tokens);
}

std::vector<ServerId> EndpointTable::remove_unlisted() {
    std::vector<ServerId> removed;
    std::erase_if(servers_, [&](const auto& entry) {
        const bool unused = !entry.second.listed && entry.second.references == 0;
        if (unused) removed.push_back(entry.first);
        return unused;
    });
    summary_stale_ = true;
    topology_.clear();
    for (const auto& [id, server] : servers_)
        if (server.in_service()) topology_.add(server.endpoint, server.role);
    return removed;
}

const FleetSummary& EndpointTable::summary(Time now, std::uint64_t health_version) const {
    if (!summary_stale_ && health_version == summary_health_version_ && now < summary_.next_warm_up())
        return summary_;
    summary_ = FleetSummary(settings_.slow_start_duration, settings_.slow_start_initial_capacity);
    for (const auto& [id, server] : servers_)
        if (server.in_service())
            summary_.add(server.role, server.endpoint.started_at, server.health, server.memory_tokens, now);
    summary_stale_ = false;
    summary_health_version_ = health_version;
    return summary_;
}

}  // namespace chalksail::policy
