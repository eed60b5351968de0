#include "prefix/reported_caches.hpp"

#include <algorithm>
#include <utility>

#include "prefix/snapshot.hpp"

namespace chalksail::prefix {
namespace {

// A read weighs this much of the trust; some five wrong words in a row end it, as many good ones bring it
// back.
constexpr double kTrustStep = 0.2;
constexpr double kTrustLost = 0.4;
constexpr double kTrustBack = 0.7;
// Time tells something of reads of which at least half was claimed: as long as reading it all, nothing was
// kept; a good deal less, it was. Half the weight of a word that the engine gives itself, for there are
// queues.
constexpr double kLittle = 0.2;
constexpr double kMuch = 0.5;
constexpr double kQuick = 0.6;
constexpr double kTimeStep = kTrustStep / 2;
constexpr double kPaceStep = 0.1;
constexpr std::uint64_t kPaceHeard = 5;  // before a pace tells anything

}  // namespace

ReportedCaches::ReportedCaches(TokenText text, Limits limits)
    : limits_(limits), index_(std::move(text), limits.index) {}

void ReportedCaches::add(const std::string& server, std::string_view space, Time born) {
    const auto known = servers_.find(server);
    if (known != servers_.end() && known->second.space == space) {
        if (known->second.born == born) return;
        known->second.born = born;
        auto act = known->second.feed.restarted();
        return carry_out(known->second, act);
    }
    if (known != servers_.end()) remove(server);
    Entry e;
    e.space = space;
    e.born = born;
    e.engine = index_.add(space);
    e.feed = Feed(limits_.held_batches);
    if (by_engine_.size() <= e.engine) by_engine_.resize(e.engine + 1U);
    by_engine_[e.engine] = server;
    servers_.emplace(server, std::move(e));
}

void ReportedCaches::remove(const std::string& server) {
    const auto it = servers_.find(server);
    if (it == servers_.end()) return;
    if (it->second.told_before) gone_.push_back({{server}, false});
    index_.remove(it->second.engine);
    servers_.erase(it);
}

void ReportedCaches::carry_out(Entry& e, Feed::Act& act) {
    if (act.forget) index_.forget(e.engine);
    for (const auto& batch : act.apply) {
        counts_.unknown_events += batch.unknown;
        for (const auto& event : batch.events) index_.apply(e.engine, event);
    }
}

std::optional<std::uint64_t> ReportedCaches::on_message(const std::string& server, std::uint64_t sequence,
                                                        std::string_view payload, bool replayed) {
    const auto it = servers_.find(server);
    if (it == servers_.end()) return std::nullopt;
    counts_.messages += 1;
    auto batch = decode(payload, limits_.decode);
    if (!batch) {
        // As if it had been lost: the sequence shows the gap, and a replay may bring it whole.
        counts_.bad_messages += 1;
        last_error_ = server + ": " + batch.error();
        return std::nullopt;
    }
    Feed& feed = it->second.feed;
    auto act =
        replayed ? feed.replayed(sequence, std::move(*batch)) : feed.published(sequence, std::move(*batch));
    carry_out(it->second, act);
    return act.replay_from;
}

void ReportedCaches::replay_ended(const std::string& server) {
    const auto it = servers_.find(server);
    if (it == servers_.end()) return;
    auto act = it->second.feed.replay_ended();
    carry_out(it->second, act);
}

std::optional<std::string> ReportedCaches::snapshot(const std::string& server) const {
    const auto it = servers_.find(server);
    if (it == servers_.end() || !it->second.feed.known() || it->second.feed.next() == 0) return std::nullopt;
    const Entry& e = it->second;
    return encode(Snapshot{e.space, e.feed.next(), e.feed.last_ts(), index_.blocks_of(e.engine)});
}

tl::expected<std::uint64_t, std::string> ReportedCaches::restore(const std::string& server,
                                                                 std::string_view bytes) {
    const auto it = servers_.find(server);
    if (it == servers_.end()) return tl::unexpected(std::string("not listed"));
    Entry& e = it->second;
    if (e.feed.state() != Feed::State::unheard)
        return tl::unexpected(std::string("it has been heard already"));
    const auto snapshot = decode_snapshot(bytes, limits_.index.blocks_each);
    if (!snapshot) return tl::unexpected(snapshot.error());
    if (snapshot->space != e.space) return tl::unexpected(std::string("it was of another kind then"));
    index_.restore(e.engine, snapshot->blocks);
    return *e.feed.resumed(snapshot->next, snapshot->last_ts).replay_from;
}

std::vector<CachedPrefix> ReportedCaches::cached_prefixes(std::string_view space,
                                                          std::string_view text) const {
    std::vector<CachedPrefix> out;
    for (const auto& h : index_.held(space, text))
        out.push_back({{by_engine_[h.engine]}, static_cast<double>(h.tokens)});
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.server < b.server; });
    return out;
}

bool ReportedCaches::trusted(const std::string& server) const {
    const auto it = servers_.find(server);
    return it != servers_.end() && it->second.believed && it->second.feed.known();
}

void ReportedCaches::Pace::add(double value) {
    heard += 1;
    mean += std::max(kPaceStep, 1 / static_cast<double>(heard)) * (value - mean);
}

// The part of the claim that was kept, as far as the time tells: none, all, or nothing to go by.
std::optional<double> ReportedCaches::by_time(const Pace& own, const ObservedPrefill& read) const {
    const Pace& pace = own.heard >= kPaceHeard ? own : pace_;
    if (pace.heard < kPaceHeard || pace.mean <= 0 || read.reported_tokens < kMuch * read.prompt_tokens)
        return std::nullopt;
    const double part = seconds(read.elapsed) / (pace.mean * read.prompt_tokens);
    if (part >= 1) return 0;
    if (part <= kQuick) return 1;
    return std::nullopt;
}

void ReportedCaches::observed(const std::string& server, const ObservedPrefill& read) {
    const auto it = servers_.find(server);
    if (it == servers_.end() || read.prompt_tokens <= 0) return;
    Entry& e = it->second;
    if (read.reported_tokens < kLittle * read.prompt_tokens &&
        read.cached_tokens.value_or(0) < kLittle * read.prompt_tokens) {
        const double pace = seconds(read.elapsed) / read.prompt_tokens;
        e.pace.add(pace);
        pace_.add(pace);
    }
    // Guards against a snapshot that is not proved yet: what it claims is no word of the engine.
    if (read.reported_tokens <= 0 || !e.feed.known()) return;
    const auto time = by_time(e.pace, read);
    const auto word = read.cached_tokens
                          ? std::optional(std::clamp(*read.cached_tokens / read.reported_tokens, 0.0, 1.0))
                          : std::nullopt;
    // A good word does not outweigh a read that took as long as if nothing had been kept.
    if (word && !(time && *time == 0 && *word > kTrustLost)) e.trust += kTrustStep * (*word - e.trust);
    else if (time) e.trust += kTimeStep * (*time - e.trust);
    if (e.trust < kTrustLost) e.believed = false;
    if (e.trust > kTrustBack) e.believed = true;
}

std::vector<CacheReportingChanged> ReportedCaches::changes() {
    std::vector<CacheReportingChanged> out = std::exchange(gone_, {});
    for (auto& [name, e] : servers_) {
        const bool now = e.believed && e.feed.known();
        if (now == e.told_before) continue;
        e.told_before = now;
        out.push_back({{name}, now});
    }
    return out;
}

ReportedCaches::Counts ReportedCaches::counts() const {
    Counts out = counts_;
    out.servers = servers_.size();
    out.blocks = index_.blocks();
    for (const auto& [name, e] : servers_) {
        out.trusted += trusted(name) ? 1 : 0;
        out.gaps += e.feed.counts().gaps;
        out.unfilled += e.feed.counts().unfilled;
        out.restarts += e.feed.counts().restarts;
        out.proved += e.feed.counts().proved;
        out.unproved += e.feed.counts().unproved;
    }
    return out;
}

}  // namespace chalksail::prefix
