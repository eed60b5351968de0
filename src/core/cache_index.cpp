#include "core/cache_index.hpp"

#include <algorithm>
#include <stdexcept>

#include "engine/protocol.hpp"

namespace chalksail::core {

using observe::ServerAction;
using observe::ServerRecord;

namespace {

prefix::TokenText token_text(const config::EdgeSettings& settings,
                             std::shared_ptr<const engine::Vocabulary> vocabulary) {
    if (settings.cache_events.vocabulary != config::Vocabulary::tokenizer) return engine::four_bytes_of;
    if (vocabulary == nullptr)
        throw std::invalid_argument(
            "cache-events: the settings name a tokenizer, but no vocabulary was given");
    return [vocabulary = std::move(vocabulary)](prefix::Token token, std::string& out) {
        return vocabulary->text(token, out);
    };
}

}  // namespace

CacheIndex::CacheIndex(const config::EdgeSettings& settings,
                       std::shared_ptr<const engine::Vocabulary> vocabulary)
    : settings_(settings) {
    const bool any_publishes = std::any_of(settings.kinds.begin(), settings.kinds.end(),
                                           [](const auto& kind) { return kind.cache_events; });
    if (!any_publishes) return;
    prefix::ReportedCaches::Limits limits;
    limits.index.max_blocks_per_engine = static_cast<std::size_t>(settings.cache_events.blocks_per_server);
    limits.decode.max_bytes = settings.cache_events.message_bytes;
    limits.max_pending_batches = static_cast<std::size_t>(settings.cache_events.max_buffered_batches);
    caches_ = std::make_unique<prefix::ReportedCaches>(token_text(settings, std::move(vocabulary)), limits);
}

void CacheIndex::apply(const CacheEventMessage& message, Time now, StepOutput& output) {
    if (caches_ == nullptr) return;
    const auto from =
        caches_->on_message(message.server, message.sequence, message.payload, message.replayed);
    if (from) request_replay(message.server, *from, now, output);
    notify_changes(output);
}

void CacheIndex::apply(const CacheReplayEnded& replay, StepOutput& output) {
    if (caches_ == nullptr || replay_deadlines_.erase(replay.server) == 0) return;
    caches_->replay_ended(replay.server);
    notify_changes(output);
}

void CacheIndex::apply(CacheSnapshots& snapshots, Time now) {
    if (caches_ == nullptr) return;
    restored_snapshots_ = std::move(snapshots.by_server);
    next_snapshot_at_ = now + settings_.cache_events.snapshot_interval;
}

void CacheIndex::update_subscriptions(const EndpointRegistry::Endpoints& endpoints, Time now,
                                      StepOutput& output) {
    if (caches_ == nullptr) return;
    std::map<std::string, Source> wanted;
    for (const auto& [id, config] : endpoints) {
        const auto* const kind = settings_.kind(config.endpoint.kind);
        const bool publishes = kind != nullptr && kind->cache_events && config.events;
        if (!publishes || config.endpoint.state == EndpointState::removed) continue;
        caches_->add(id.value, config.endpoint.kind, config.endpoint.started_at);
        wanted[id.value] = {*config.events, config.replay};
    }
    for (const auto& [server, source] : subscriptions_) {
        if (wanted.contains(server)) continue;
        caches_->remove(server);
        replay_deadlines_.erase(server);
        output.emit(UnsubscribeCacheEvents{server});
        if (stores_snapshots()) output.emit(DropCacheSnapshot{server});
    }
    for (const auto& [server, source] : wanted) {
        const auto previous = subscriptions_.find(server);
        if (previous == subscriptions_.end() || previous->second != source)
            output.emit(SubscribeCacheEvents{server, source.events, source.replay});
        restore_snapshot(server, now, output);
    }
    subscriptions_ = std::move(wanted);
    notify_changes(output);
}

// Restores a snapshot stored before this process started. It is trusted only after a replay has shown that
// the server is still the same process.
void CacheIndex::restore_snapshot(const std::string& server, Time now, StepOutput& output) {
    const auto stored = restored_snapshots_.find(server);
    if (stored == restored_snapshots_.end()) return;
    const auto from = caches_->restore(server, stored->second);
    restored_snapshots_.erase(stored);
    if (from) return request_replay(server, *from, now, output);
    output.record(ServerRecord{server, ServerAction::cache_snapshot, from.error().text});
    output.emit(DropCacheSnapshot{server});
}

void CacheIndex::request_replay(const std::string& server, std::uint64_t from, Time now, StepOutput& output) {
    replay_deadlines_[server] = now + settings_.cache_events.replay_timeout;
    output.emit(ReplayCacheEvents{server, from});
}

void CacheIndex::run_timers(Time now, StepOutput& output) {
    store_due_snapshot(now, output);
    expire_replays(now, output);
}

// Stores the snapshot of one server at a time, each once per `snapshot_interval`, so that no iteration of the
// event loop writes more than one.
void CacheIndex::store_due_snapshot(Time now, StepOutput& output) {
    if (subscriptions_.empty() || now < next_snapshot_at_) return;
    auto it = subscriptions_.upper_bound(last_snapshot_server_);
    if (it == subscriptions_.end()) it = subscriptions_.begin();
    last_snapshot_server_ = it->first;
    const auto servers = static_cast<std::int64_t>(subscriptions_.size());
    const Duration interval = settings_.cache_events.snapshot_interval / servers;
    next_snapshot_at_ = now + std::max(settings_.router.tick, interval);
    if (auto bytes = caches_->snapshot(last_snapshot_server_))
        output.emit(StoreCacheSnapshot{last_snapshot_server_, std::move(*bytes)});
}

void CacheIndex::expire_replays(Time now, StepOutput& output) {
    for (auto it = replay_deadlines_.begin(); it != replay_deadlines_.end();) {
        if (it->second > now) {
            ++it;
            continue;
        }
        caches_->replay_ended(it->first);
        it = replay_deadlines_.erase(it);
        notify_changes(output);
    }
}

std::optional<Time> CacheIndex::next_timer() const {
    std::optional<Time> next;
    const auto consider = [&](Time at) { next = next ? std::min(*next, at) : at; };
    for (const auto& [server, deadline] : replay_deadlines_) consider(deadline);
    if (!subscriptions_.empty() && stores_snapshots()) consider(next_snapshot_at_);
    return next;
}

std::vector<CachedPrefix> CacheIndex::cached_prefixes(const std::string& prompt_text) const {
    if (caches_ == nullptr || prompt_text.empty()) return {};
    std::vector<CachedPrefix> out;
    for (const auto& kind : settings_.kinds) {
        if (!kind.cache_events) continue;
        for (auto& cached : caches_->cached_prefixes(kind.name, prompt_text))
            out.push_back(std::move(cached));
    }
    return out;
}

bool CacheIndex::trusted(const std::string& server) const {
    return caches_ != nullptr && caches_->trusted(server);
}

void CacheIndex::record_prefill(const std::string& server, const prefix::ObservedPrefill& prefill,
                                StepOutput& output) {
    if (caches_ == nullptr) return;
    caches_->observed(server, prefill);
    notify_changes(output);
}

void CacheIndex::notify_changes(StepOutput& output) {
    for (auto& change : caches_->changes()) {
        output.record(ServerRecord{change.server.value, ServerAction::cache_events,
                                   change.reporting ? "told" : "guessed"});
        output.notify(std::move(change));
    }
}

CacheIndex::Counts CacheIndex::counts() const { return caches_ == nullptr ? Counts{} : caches_->counts(); }

}  // namespace chalksail::core
