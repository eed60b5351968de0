#include "prefix/reported_caches.hpp"

#include <algorithm>
#include <utility>

#include "prefix/snapshot.hpp"

namespace chalksail::prefix {
namespace {

tl::unexpected<RestoreError> error(RestoreError::Kind kind, std::string text) {
    return tl::unexpected(RestoreError{kind, std::move(text)});
}

}  // namespace

ReportedCaches::ReportedCaches(TokenText text, Limits limits)
    : limits_(limits), index_(std::move(text), limits.index) {}

void ReportedCaches::add(const std::string& name, std::string_view space, Time started_at) {
    const auto known = servers_.find(name);
    if (known != servers_.end() && known->second.space == space) {
        if (known->second.started_at == started_at) return;
        known->second.started_at = started_at;
        return apply(known->second, known->second.stream.on_restart());
    }
    if (known != servers_.end()) remove(name);
    Server server;
    server.space = space;
    server.started_at = started_at;
    server.engine = index_.add(space);
    server.stream = EventStream(limits_.max_pending_batches);
    if (names_by_engine_.size() <= server.engine) names_by_engine_.resize(server.engine + 1U);
    names_by_engine_[server.engine] = name;
    servers_.emplace(name, std::move(server));
}

void ReportedCaches::remove(const std::string& name) {
    const auto it = servers_.find(name);
    if (it == servers_.end()) return;
    if (it->second.announced) removed_.push_back({{name}, false});
    index_.remove(it->second.engine);
    servers_.erase(it);
}

void ReportedCaches::apply(Server& server, const EventStream::Update& update) {
    if (update.clear) index_.clear(server.engine);
    for (const auto& batch : update.apply) {
        counts_.unknown_events += batch.unknown_events;
        for (const auto& event : batch.events) index_.apply(server.engine, event);
    }
}

std::optional<std::uint64_t> ReportedCaches::on_message(const std::string& name, std::uint64_t sequence,
                                                        std::string_view payload, bool replayed) {
    const auto it = servers_.find(name);
    if (it == servers_.end()) return std::nullopt;
    counts_.messages += 1;
    auto batch = decode(payload, limits_.decode);
    if (!batch) {
        // Treated as a lost batch. The next batch reveals the gap, and a replay may deliver this one intact.
        counts_.malformed_messages += 1;
        last_error_ = name + ": " + batch.error().text;
        return std::nullopt;
    }
    EventStream& stream = it->second.stream;
    const auto update = replayed ? stream.on_replayed(sequence, std::move(*batch))
                                 : stream.on_published(sequence, std::move(*batch));
    apply(it->second, update);
    return update.replay_from;
}

void ReportedCaches::replay_ended(const std::string& name) {
    const auto it = servers_.find(name);
    if (it != servers_.end()) apply(it->second, it->second.stream.on_replay_ended());
}

std::optional<std::string> ReportedCaches::snapshot(const std::string& name) const {
    const auto it = servers_.find(name);
    if (it == servers_.end()) return std::nullopt;
    const Server& server = it->second;
    const EventStream& stream = server.stream;
    if (!stream.usable() || stream.next_sequence() == 0) return std::nullopt;
    return encode(Snapshot{server.space, stream.next_sequence(), stream.last_timestamp(),
                           index_.blocks_of(server.engine)});
}

tl::expected<std::uint64_t, RestoreError> ReportedCaches::restore(const std::string& name,
                                                                  std::string_view bytes) {
    using Kind = RestoreError::Kind;
    const auto it = servers_.find(name);
    if (it == servers_.end())
        return error(Kind::unlisted_server, "server not listed, or it publishes no cache events");
    Server& server = it->second;
    if (server.stream.state() != EventStream::State::empty)
        return error(Kind::already_reported, "batches were already received from the server");
    const auto snapshot = decode_snapshot(bytes, limits_.index.max_blocks_per_engine);
    if (!snapshot) return error(Kind::undecodable, snapshot.error().text);
    if (snapshot->space != server.space)
        return error(Kind::other_space, "server had another kind when the snapshot was taken");
    index_.restore(server.engine, snapshot->blocks);
    return *server.stream.resume(snapshot->next_sequence, snapshot->last_timestamp).replay_from;
}

std::vector<CachedPrefix> ReportedCaches::cached_prefixes(std::string_view space,
                                                          std::string_view text) const {
    std::vector<CachedPrefix> prefixes;
    for (const PrefixMatch& match : index_.find(space, text))
        prefixes.push_back({{names_by_engine_[match.engine]}, static_cast<double>(match.tokens)});
    std::sort(prefixes.begin(), prefixes.end(),
              [](const auto& a, const auto& b) { return a.server < b.server; });
    return prefixes;
}

bool ReportedCaches::trusted(const std::string& name) const {
    const auto it = servers_.find(name);
    return it != servers_.end() && it->second.trusted();
}

void ReportedCaches::observed(const std::string& name, const ObservedPrefill& prefill) {
    const auto it = servers_.find(name);
    if (it == servers_.end() || prefill.prompt_tokens <= 0) return;
    Server& server = it->second;
    server.pace.observe(prefill);
    fleet_pace_.observe(prefill);
    // An unverified snapshot is not a report of the engine and must not affect its trust.
    if (prefill.reported_tokens <= 0 || !server.stream.usable()) return;
    server.trust.observe(prefill, server.pace.known() ? server.pace : fleet_pace_);
}

std::vector<CacheReportingChanged> ReportedCaches::changes() {
    std::vector<CacheReportingChanged> changed = std::exchange(removed_, {});
    for (auto& [name, server] : servers_) {
        const bool trusted = server.trusted();
        if (trusted == server.announced) continue;
        server.announced = trusted;
        changed.push_back({{name}, trusted});
    }
    return changed;
}

ReportedCaches::Counts ReportedCaches::counts() const {
    Counts total = counts_;
    total.servers = servers_.size();
    total.blocks = index_.blocks();
    for (const auto& [name, server] : servers_) {
        const EventStream::Counts& counts = server.stream.counts();
        total.trusted += server.trusted() ? 1 : 0;
        total.gaps += counts.gaps;
        total.unfilled_gaps += counts.unfilled_gaps;
        total.restarts += counts.restarts;
        total.snapshots_verified += counts.snapshots_verified;
        total.snapshots_discarded += counts.snapshots_discarded;
    }
    return total;
}

}  // namespace chalksail::prefix
