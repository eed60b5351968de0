// Maintains the index of cached prefixes (prefix::ReportedCaches) from the cache events of prefill servers:
// manages the subscriptions to these events, replays of past events, and stored snapshots.
//
// Does nothing if the settings name no kind of server that publishes cache events. No I/O, no clock; not
// thread-safe. Incorrect events are counted and affect only performance; the constructor throws
// std::invalid_argument if the settings name a tokenizer and no vocabulary is given.
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
    // Subscribes to the listed endpoints that publish cache events, and unsubscribes from all others.
    void update_subscriptions(const EndpointRegistry::Endpoints& endpoints, Time now, StepOutput& output);
    // Stores the next snapshot if it is due, and abandons replays that have exceeded their timeout.
    void run_timers(Time now, StepOutput& output);
    // Returns the time at which run_timers() is due next.
    [[nodiscard]] std::optional<Time> next_timer() const;

    // ---- queries ----

    // Returns the prefixes of the prompt that servers report as cached, including reports of servers that are
    // not trusted.
    [[nodiscard]] std::vector<CachedPrefix> cached_prefixes(const std::string& prompt_text) const;
    // Returns true if the server's reports are trusted: what it reports counts as cached, and all else as not
    // cached.
    [[nodiscard]] bool trusted(const std::string& server) const;
    // Compares a successful prefill with the server's earlier reports, and adjusts the trust in the server.
    void record_prefill(const std::string& server, const prefix::ObservedPrefill& prefill,
                        StepOutput& output);
    [[nodiscard]] Counts counts() const;
    // Returns true if any kind of server publishes cache events.
    [[nodiscard]] bool enabled() const { return caches_ != nullptr; }

private:
    // The addresses at which one server publishes cache events.
    struct Source {
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
    std::unique_ptr<prefix::ReportedCaches> caches_;         // nullptr if no kind publishes cache events
    std::map<std::string, Source> subscriptions_;            // by server
    std::map<std::string, Time> replay_deadlines_;           // of the replays in progress, by server
    std::map<std::string, std::string> restored_snapshots_;  // of servers that are not listed yet
    std::string last_snapshot_server_;                       // the server of the last stored snapshot
    Time next_snapshot_at_ = Time::max();                    // Time::max(): no snapshots are stored
};

}  // namespace chalksail::core
