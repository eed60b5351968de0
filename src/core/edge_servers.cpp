// The servers that the edge knows: the list of them, what they keep by their cache events, whether they have
// proved their names, and probes.
#include <algorithm>
#include <utility>

#include "core/edge_state.hpp"
#include "engine/outcome.hpp"

namespace chalksail::core {

using engine::Ending;

void Edge::on(const membership::EndpointList& in) {
    EndpointUpdate event;
    event.kind = in.kind;
    if (in.kind == EndpointUpdateKind::snapshot || in.kind == EndpointUpdateKind::cached_snapshot) {
        std::set<ServerId> named;
        for (const auto& s : in.endpoints) named.insert(s.endpoint.id);
        for (auto& [id, s] : servers_)
            if (!named.contains(id)) s.endpoint.state = EndpointState::removed;
    }
    std::set<std::string> restarted;
    for (const auto& s : in.endpoints) {
        const auto old = servers_.find(s.endpoint.id);
        const bool again = old != servers_.end() && old->second.endpoint.started_at != s.endpoint.started_at;
        if (again) restarted.insert(s.endpoint.id.value);
        if (again || old == servers_.end() || old->second.endpoint.state != s.endpoint.state) {
            const char* const what = s.endpoint.state == EndpointState::draining  ? "draining"
                                     : s.endpoint.state == EndpointState::removed ? "removed"
                                     : again                                      ? "restarted"
                                                                                  : "up";
            emit(EmitRecord{observe::ServerRecord{s.endpoint.id.value, what, format_address(s.address)}});
        }
        const bool moved = again || old == servers_.end() || old->second.address != s.address ||
                           old->second.endpoint.kind != s.endpoint.kind;
        if (moved) verification_.changed(s.endpoint.id.value, now_);
        servers_[s.endpoint.id] = s;
        event.endpoints.push_back(s.endpoint);
        if (verification_.unverified(s.endpoint.id.value) && s.endpoint.state == EndpointState::up)
            event.endpoints.back().state = EndpointState::draining;
    }
    events_.emplace_back(std::move(event));
    if (prefixes_ != nullptr) follow_caches();
    // What still waits for a connection to a server that drains, is gone, or has started anew does not go
    // out.
    for (const auto& [id, s] : servers_)
        if (s.endpoint.state != EndpointState::up) restarted.insert(id.value);
    withhold(restarted);
    // Removed servers are forgotten when nothing of theirs is out; states at them keep their own address.
    std::set<std::string> used;
    for (const auto& [id, call] : calls_) used.insert(call.server);
    std::erase_if(servers_, [&](const auto& p) {
        const bool over = p.second.endpoint.state == EndpointState::removed && !used.contains(p.first.value);
        if (!over) return false;
        verification_.forget(p.first.value);
        no_release_.erase(p.first.value);
        heard_.forget(p.first.value);
        emit(EndpointForgotten{p.first.value});
        return true;
    });
}

void Edge::withhold(const std::set<std::string>& servers) {
    std::vector<CallId> stay;
    for (const auto& [id, call] : calls_)
        if (call.kind == CallKind::attempt && !call.sent && servers.contains(call.server)) stay.push_back(id);
    for (const CallId id : stay) {
        emit(CallAbort{id});
        end_attempt(id, Ending::withdrawn, "list");
    }
}

void Edge::on(const CacheEventMessage& in) {
    if (prefixes_ == nullptr) return;
    const auto from = prefixes_->on_message(in.server, in.sequence, in.payload, in.replayed);
    if (from) {
        replays_[in.server] = now_ + settings_.cache_events.replay_timeout;
        emit(ReplayCacheEvents{in.server, *from});
    }
    tell_prefixes();
}

void Edge::on(const CacheReplayEnded& in) {
    if (prefixes_ == nullptr || replays_.erase(in.server) == 0) return;
    prefixes_->replay_ended(in.server);
    tell_prefixes();
}

void Edge::on(CacheSnapshots& in) {
    if (prefixes_ == nullptr) return;
    snapshots_ = std::move(in.by_server);
    next_keep_ = now_ + settings_.cache_events.snapshot_every;
}

// One server's turn: all come round once in the time that the settings say, so that no turn of the loop has
// more than one to write.
void Edge::keep_snapshot() {
    if (followed_.empty() || now_ < next_keep_) return;
    auto it = followed_.upper_bound(last_kept_);
    if (it == followed_.end()) it = followed_.begin();
    last_kept_ = it->first;
    next_keep_ = now_ + std::max(settings_.module.tick, settings_.cache_events.snapshot_every /
                                                            static_cast<std::int64_t>(followed_.size()));
    if (auto bytes = prefixes_->snapshot(last_kept_)) emit(StoreCacheSnapshot{last_kept_, std::move(*bytes)});
}

// Follows the list: who is in service and publishes is heard.
void Edge::follow_caches() {
    std::map<std::string, std::pair<Address, std::optional<Address>>> wanted;
    for (const auto& [id, s] : servers_) {
        const auto* kind = settings_.kind(s.endpoint.kind);
        if (kind == nullptr || !kind->cache_events || !s.events || s.endpoint.state == EndpointState::removed)
            continue;
        prefixes_->add(id.value, s.endpoint.kind, s.endpoint.started_at);
        wanted[id.value] = {*s.events, s.replay};
    }
    for (const auto& [server, at] : followed_) {
        if (wanted.contains(server)) continue;
        prefixes_->remove(server);
        replays_.erase(server);
        emit(UnsubscribeCacheEvents{server});
        if (next_keep_ != Time::max()) emit(DropCacheSnapshot{server});
    }
    for (const auto& [server, at] : wanted) {
        const auto before = followed_.find(server);
        if (before == followed_.end() || before->second != at)
            emit(SubscribeCacheEvents{server, at.first, at.second});
        // Kept from before this edge started: of use once the engine proves to be the same process.
        const auto kept = snapshots_.find(server);
        if (kept == snapshots_.end()) continue;
        const auto from = prefixes_->restore(server, kept->second);
        snapshots_.erase(kept);
        if (!from) {
            emit(EmitRecord{observe::ServerRecord{server, "cache_snapshot", from.error().text}});
            emit(DropCacheSnapshot{server});
            continue;
        }
        replays_[server] = now_ + settings_.cache_events.replay_timeout;
        emit(ReplayCacheEvents{server, *from});
    }
    followed_ = std::move(wanted);
    tell_prefixes();
}

void Edge::tell_prefixes() {
    for (auto& change : prefixes_->changes()) {
        emit(EmitRecord{observe::ServerRecord{change.server.value, "cache_events",
                                              change.reporting ? "told" : "guessed"}});
        events_.emplace_back(std::move(change));
    }
}

std::vector<CachedPrefix> Edge::claims(const ActiveRequest& r) const {
    const auto text = r.in.protocol_session->prompt_text();
    if (text.empty()) return {};
    std::vector<CachedPrefix> out;
    for (const auto& k : settings_.kinds)
        if (k.cache_events)
            for (auto& claim : prefixes_->cached_prefixes(k.name, text)) out.push_back(std::move(claim));
    return out;
}

void Edge::mark_unverified(const std::string& server, const std::string& detail) {
    if (!verification_.failed(server, now_)) return;
    emit(EmitRecord{observe::ServerRecord{server, "not_verified", detail}});
    const auto s = servers_.find({server});
    if (s == servers_.end()) return;
    if (s->second.endpoint.state == EndpointState::up) {
        Endpoint entry = s->second.endpoint;
        entry.state = EndpointState::draining;
        events_.emplace_back(EndpointUpdate{EndpointUpdateKind::delta, {std::move(entry)}});
    }
    // What still waits for a connection there would fail the same way, and take a handshake each.
    withhold({server});
}

void Edge::verified(const std::string& server) {
    if (!verification_.verified(server)) return;
    emit(EmitRecord{observe::ServerRecord{server, "verified", ""}});
    const auto s = servers_.find({server});
    if (s == servers_.end()) return;
    events_.emplace_back(EndpointUpdate{EndpointUpdateKind::delta, {s->second.endpoint}});
}

void Edge::try_verification() {
    for (const auto& server : verification_.due(now_)) {
        const auto s = servers_.find({server});
        // Guards against trials of a server that is off the list: it is forgotten, not asked.
        if (s == servers_.end() || s->second.endpoint.state == EndpointState::removed) {
            verification_.forget(server);
            continue;
        }
        call_out(CallKind::verify, s->second, {}, now_ + settings_.limits.release_timeout);
    }
}

void Edge::end_probe(const UpstreamCall& call, Ending ending) {
    engine::Facts facts;
    facts.ending = ending;
    facts.sent = call.sent;
    facts.complete = true;
    facts.status = call.status;
    auto outcome = engine::judge(facts).outcome;
    if (outcome == AttemptOutcome::ok && call.status != 200)
        outcome = AttemptOutcome::error;  // no /health: not known to be well
    auto report = protocol_->probe_report(call.head, call.body);
    std::erase_if(call_due_, [&](const auto& d) { return d.second == call.id; });
    emit(EmitRecord{observe::ServerRecord{call.server, "probe", std::string(engine::name(outcome))}});
    events_.emplace_back(HealthCheckEnded{{call.server}, outcome, now_ - call.begun, std::move(report)});
}

void Edge::apply(const HealthCheck& action) {
    const auto s = servers_.find(action.server);
    if (s == servers_.end() || verification_.unverified(action.server.value)) {
        events_.emplace_back(HealthCheckEnded{action.server, AttemptOutcome::not_sent, {}, {}});
        return;
    }
    call_out(CallKind::probe, s->second, protocol_->probe(), now_ + settings_.limits.release_timeout);
}

}  // namespace chalksail::core
