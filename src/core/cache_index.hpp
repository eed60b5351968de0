// What prefill servers report of their prefix caches: subscriptions to their cache events, replays of past
// ones, stored snapshots, and the index of cached prefixes (prefix::ReportedCaches) that they feed.
//
// Does nothing where the settings name no kind of server that publishes cache events. Free of I/O and clock;
// not thread-safe. Wrong events of servers are counted and cost speed only; the constructor throws
// std::invalid_argument where the settings name a tokenizer and none is given.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/units.hpp"
#include "config/settings.hpp"
#include "core/endpoint_registry.hpp"
#include "core/inputs.hpp"
#include "core/step_output.hpp"
#include "engine/vocabulary.hpp"
#include "prefix/reported_caches.hpp"

namespace chalksail::core {

class CacheIndex {
public:
    using Counts = prefix::ReportedCaches::Counts;

    // Keeps a reference to `settings`.
    CacheIndex(const config::EdgeSettings& settings, std::shared_ptr<const engine::Vocabulary> vocabulary);

    // ---- inputs ----

    void apply(const CacheEventMessage& message, Time now, StepOutput& output);
    void apply(const CacheReplayEnded& replay, StepOutput& output);
    void apply(CacheSnapshots& snapshots, Time now);
    // Subscribes to the listed endpoints that publish cache events, and to no others.
    void follow(const EndpointRegistry::Endpoints& endpoints, Time now, StepOutput& output);
    // Stores the snapshot whose turn it is, and gives up replays that have taken too long.
    void run_timers(Time now, StepOutput& output);
    // When run_timers() is due.
    [[nodiscard]] std::optional<Time> next_timer() const;

    // ---- use ----

    // The prefixes of the prompt that servers report as cached, also of servers whose reports are not
    // trusted.
    [[nodiscard]] std::vector<CachedPrefix> cached_prefixes(const std::string& prompt_text) const;
    // Are the server's reports to be used, and is what it doesn't report taken for not cached?
    [[nodiscard]] bool trusted(const std::string& server) const;
    // Compares a prefill that ended well with what was reported before it; this moves the server's trust.
    void record_prefill(const std::string& server, const prefix::ObservedPrefill& prefill,
                        StepOutput& output);
    [[nodiscard]] Counts counts() const;
    // Does any kind of server publish cache events?
    [[nodiscard]] bool enabled() const { return caches_ != nullptr; }

private:
    struct Source {  // where one server publishes
        Address events;
        std::optional<Address> replay;
        bool operator==(const Source&) const = default;
    };

    void request_replay(const std::string& server, std::uint64_t from, Time now, StepOutput& output);
    void restore_snapshot(const std::string& server, Time now, StepOutput& output);
    void store_due_snapshot(Time now, StepOutput& output);
    void expire_replays(Time now, StepOutput& output);
    void notify_changes(StepOutput& output);
    [[nodiscard]] bool stores_snapshots() const { return next_snapshot_at_ != Time::max(); }

    const config::EdgeSettings& settings_;
    std::unique_ptr<prefix::ReportedCaches> caches_;         // nullptr: no kind publishes cache events
    std::map<std::string, Source> subscriptions_;            // by server
    std::map<std::string, Time> replay_deadlines_;           // of the replays under way, by server
    std::map<std::string, std::string> restored_snapshots_;  // of servers that are not listed yet
    std::string last_snapshot_server_;                       // whose turn it was
    Time next_snapshot_at_ = Time::max();                    // Time::max(): no snapshots are stored
};

}  // namespace chalksail::core
