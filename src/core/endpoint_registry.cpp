#include "core/endpoint_registry.hpp"

#include <utility>

namespace chalksail::core {

using observe::ServerAction;
using observe::ServerRecord;

namespace {

bool lists_all(EndpointUpdateKind kind) {
    return kind == EndpointUpdateKind::snapshot || kind == EndpointUpdateKind::cached_snapshot;
}

ServerAction action_of(EndpointState state, bool restarted) {
    if (state == EndpointState::draining) return ServerAction::draining;
    if (state == EndpointState::removed) return ServerAction::removed;
    return restarted ? ServerAction::restarted : ServerAction::up;
}

}  // namespace

std::set<std::string> EndpointRegistry::apply(const membership::EndpointList& list, Time now,
                                              StepOutput& output) {
    if (lists_all(list.kind)) {
        std::set<ServerId> listed;
        for (const auto& config : list.endpoints) listed.insert(config.endpoint.id);
        for (auto& [id, config] : endpoints_)
            if (!listed.contains(id)) mark_removed(config, output);
    }
    EndpointUpdate event;
    event.kind = list.kind;
    std::set<std::string> unavailable;
    for (const auto& config : list.endpoints) {
        const std::string& server = config.endpoint.id.value;
        if (update(config, now, output)) unavailable.insert(server);
        event.endpoints.push_back(config.endpoint);
        if (unverified(server) && config.endpoint.state == EndpointState::up)
            event.endpoints.back().state = EndpointState::draining;
    }
    output.notify(std::move(event));
    for (const auto& [id, config] : endpoints_)
        if (config.endpoint.state != EndpointState::up) unavailable.insert(id.value);
    return unavailable;
}

void EndpointRegistry::mark_removed(membership::EndpointConfig& config, StepOutput& output) {
    Endpoint& endpoint = config.endpoint;
    if (std::exchange(endpoint.state, EndpointState::removed) == EndpointState::removed) return;
    output.record(ServerRecord{endpoint.id.value, ServerAction::removed, "not in the snapshot"});
}

bool EndpointRegistry::update(const membership::EndpointConfig& config, Time now, StepOutput& output) {
    const Endpoint& endpoint = config.endpoint;
    const auto previous = endpoints_.find(endpoint.id);
    const bool known = previous != endpoints_.end();
    const bool restarted = known && previous->second.endpoint.started_at != endpoint.started_at;
    if (!known || restarted || previous->second.endpoint.state != endpoint.state)
        output.record(ServerRecord{endpoint.id.value, action_of(endpoint.state, restarted),
                                   format_address(config.address)});
    const bool moved = !known || restarted || previous->second.address != config.address ||
                       previous->second.endpoint.kind != endpoint.kind;
    if (moved) verification_.changed(endpoint.id.value, now);
    endpoints_[endpoint.id] = config;
    return restarted;
}

std::vector<std::string> EndpointRegistry::forget_removed(const std::set<std::string>& in_use) {
    std::vector<std::string> forgotten;
    std::erase_if(endpoints_, [&](const auto& entry) {
        const std::string& server = entry.first.value;
        if (entry.second.endpoint.state != EndpointState::removed || in_use.contains(server)) return false;
        verification_.forget(server);
        activity_.forget(server);
        forgotten.push_back(server);
        return true;
    });
    return forgotten;
}

const membership::EndpointConfig* EndpointRegistry::find(const std::string& server) const {
    const auto it = endpoints_.find({server});
    return it == endpoints_.end() ? nullptr : &it->second;
}

bool EndpointRegistry::is_up(const std::string& server) const {
    const auto* const config = find(server);
    return config != nullptr && config->endpoint.state == EndpointState::up;
}

bool EndpointRegistry::mark_unverified(const std::string& server, const std::string& detail, Time now,
                                       StepOutput& output) {
    if (!verification_.failed(server, now)) return false;
    output.record(ServerRecord{server, ServerAction::not_verified, detail});
    const auto* const config = find(server);
    if (config == nullptr) return false;
    if (config->endpoint.state == EndpointState::up) {
        Endpoint endpoint = config->endpoint;
        endpoint.state = EndpointState::draining;
        output.notify(EndpointUpdate{EndpointUpdateKind::delta, {std::move(endpoint)}});
    }
    return true;
}

void EndpointRegistry::mark_verified(const std::string& server, StepOutput& output) {
    if (!verification_.verified(server)) return;
    output.record(ServerRecord{server, ServerAction::verified, ""});
    if (const auto* const config = find(server))
        output.notify(EndpointUpdate{EndpointUpdateKind::delta, {config->endpoint}});
}

std::vector<membership::EndpointConfig> EndpointRegistry::due_verifications(Time now) {
    std::vector<membership::EndpointConfig> due;
    for (const auto& server : verification_.due(now)) {
        const auto* const config = find(server);
        // A server that is no longer listed is not verified again.
        if (config == nullptr || config->endpoint.state == EndpointState::removed)
            verification_.forget(server);
        else due.push_back(*config);
    }
    return due;
}

const membership::EndpointConfig* EndpointRegistry::last_active(const std::set<std::string>& excluded) const {
    const auto eligible = [&](const std::string& server) {
        return is_up(server) && !excluded.contains(server);
    };
    if (const std::string* const server = activity_.most_recent(eligible)) return find(*server);
    for (const auto& [id, config] : endpoints_)
        if (eligible(id.value)) return &config;
    return nullptr;
}

}  // namespace chalksail::core
