// What a gateway knows of the prompt prefixes that its servers cache: an event stream and a place in the
// prefix index for each server that publishes cache events, and the trust in its reports. A stale or wrong
// report costs speed only.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "prefix/event_stream.hpp"
#include "prefix/prefix_index.hpp"
#include "prefix/report_trust.hpp"

namespace chalksail::prefix {

// Why a snapshot was not restored.
struct RestoreError {
    enum class Kind {
        unlisted_server,   // or one that publishes no cache events
        already_reported,  // the server's own batches have come already
        undecodable,
        other_space,  // the server served another model then
    };
    Kind kind = Kind::undecodable;
    std::string text;  // for the log
};

// Not thread-safe.
class ReportedCaches {
public:
    struct Limits {
        PrefixIndex::Limits index;
        DecodeLimits decode;
        std::size_t max_pending_batches = 1024;  // of one server, while a replay is under way
    };
    explicit ReportedCaches(TokenText text) : ReportedCaches(std::move(text), Limits{}) {}
    ReportedCaches(TokenText text, Limits limits);

    // Adds a server that publishes cache events. If the server is known, another `started_at` shows another
    // process, and another space another model; else nothing happens.
    void add(const std::string& server, std::string_view space, Time started_at);
    void remove(const std::string& server);

    // One batch that the server published, or replayed. Returns the sequence number to request a replay from,
    // if one is needed.
    std::optional<std::uint64_t> on_message(const std::string& server, std::uint64_t sequence,
                                            std::string_view payload, bool replayed);
    void replay_ended(const std::string& server);

    // What is known of a server, to be stored over a restart of this gateway; none if that is nothing, or not
    // certain.
    [[nodiscard]] std::optional<std::string> snapshot(const std::string& server) const;
    // Restores a snapshot of a server of which no batch has come yet. It counts once a replay from the number
    // returned has verified it.
    [[nodiscard]] tl::expected<std::uint64_t, RestoreError> restore(const std::string& server,
                                                                    std::string_view snapshot);

    // The tokens of this text that each server reports as cached, by server name; also servers that are not
    // trusted.
    [[nodiscard]] std::vector<CachedPrefix> cached_prefixes(std::string_view space,
                                                            std::string_view text) const;
    // May the server's reports be used, and what it does not report be taken as uncached?
    [[nodiscard]] bool trusted(const std::string& server) const;
    // Judges the server's report by a prefill.
    void observed(const std::string& server, const ObservedPrefill& prefill);
    // The servers whose trusted() changed since the last call.
    [[nodiscard]] std::vector<CacheReportingChanged> changes();

    struct Counts {
        std::uint64_t messages = 0;
        std::uint64_t malformed_messages = 0;
        std::uint64_t unknown_events = 0;
        std::size_t servers = 0;
        std::size_t trusted = 0;  // servers
        std::size_t blocks = 0;
        std::uint64_t gaps = 0;
        std::uint64_t unfilled_gaps = 0;
        std::uint64_t restarts = 0;
        std::uint64_t snapshots_verified = 0;
        std::uint64_t snapshots_discarded = 0;
    };
    [[nodiscard]] Counts counts() const;
    // What was wrong with the last malformed message.
    [[nodiscard]] const std::string& last_error() const { return last_error_; }

private:
    struct Server {
        std::string space;
        Time started_at{};
        EngineId engine = 0;
        EventStream stream;
        ReportTrust trust;
        PrefillPace pace;
        bool announced = false;  // as trusted, by changes()

        [[nodiscard]] bool trusted() const { return trust.trusted() && stream.usable(); }
    };
    void apply(Server& server, const EventStream::Update& update);

    Limits limits_;
    PrefixIndex index_;
    std::map<std::string, Server> servers_;
    std::vector<std::string> names_by_engine_;
    std::vector<CacheReportingChanged> removed_;  // since the last changes()
    PrefillPace fleet_pace_;
    Counts counts_;
    std::string last_error_;
};

}  // namespace chalksail::prefix
