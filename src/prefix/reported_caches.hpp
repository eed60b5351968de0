// Tracks the prompt prefixes that a gateway's servers cache. Each server that publishes cache events has an
// event stream, an entry in the prefix index, and a trust state for its reports. A stale or wrong report
// affects performance only, not correctness.
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

// The reason why a snapshot was not restored.
struct RestoreError {
    enum class Kind {
        unlisted_server,   // the server is not listed or publishes no cache events
        already_reported,  // batches of the server were received before the snapshot
        undecodable,
        other_space,  // the server had another kind when the snapshot was taken
    };
    Kind kind = Kind::undecodable;
    std::string text;  // description for the log
};

// Not thread-safe.
class ReportedCaches {
public:
    struct Limits {
        PrefixIndex::Limits index;
        DecodeLimits decode;
        std::size_t max_pending_batches = 1024;  // per server, while a replay is in progress
    };
    explicit ReportedCaches(TokenText text) : ReportedCaches(std::move(text), Limits{}) {}
    ReportedCaches(TokenText text, Limits limits);

    // Adds a server that publishes cache events. For a known server, a different `started_at` means that it
    // was restarted, and a different space that it serves another model; its blocks are cleared in both
    // cases. Otherwise the call has no effect.
    void add(const std::string& server, std::string_view space, Time started_at);
    void remove(const std::string& server);

    // Processes one batch that the server published or replayed. Returns the sequence number from which to
    // request a replay, if one is needed.
    std::optional<std::uint64_t> on_message(const std::string& server, std::uint64_t sequence,
                                            std::string_view payload, bool replayed);
    void replay_ended(const std::string& server);

    // Returns the encoded state of a server, to be restored after a restart of this gateway. Returns nullopt
    // if nothing is recorded for the server or its state is not verified.
    [[nodiscard]] std::optional<std::string> snapshot(const std::string& server) const;
    // Restores the snapshot of a server from which no batch was received yet. Returns the sequence number
    // from which to request a replay. The snapshot is used only after this replay has verified it.
    [[nodiscard]] tl::expected<std::uint64_t, RestoreError> restore(const std::string& server,
                                                                    std::string_view snapshot);

    // Returns the number of the text's tokens that each server reports as cached, sorted by server name.
    // Includes servers that are not trusted.
    [[nodiscard]] std::vector<CachedPrefix> cached_prefixes(std::string_view space,
                                                            std::string_view text) const;
    // Returns true if the server's reports may be used and prefixes that it does not report count as
    // uncached.
    [[nodiscard]] bool trusted(const std::string& server) const;
    // Updates the trust in the server's reports with a completed prefill.
    void observed(const std::string& server, const ObservedPrefill& prefill);
    // Returns the servers whose trusted() changed since the last call.
    [[nodiscard]] std::vector<CacheReportingChanged> changes();

    struct Counts {
        std::uint64_t messages = 0;
        std::uint64_t malformed_messages = 0;
        std::uint64_t unknown_events = 0;
        std::size_t servers = 0;
        std::size_t trusted = 0;  // number of trusted servers
        std::size_t blocks = 0;
        std::uint64_t gaps = 0;
        std::uint64_t unfilled_gaps = 0;
        std::uint64_t restarts = 0;
        std::uint64_t snapshots_verified = 0;
        std::uint64_t snapshots_discarded = 0;
    };
    [[nodiscard]] Counts counts() const;
    // Returns the server name and decoding error of the last malformed message.
    [[nodiscard]] const std::string& last_error() const { return last_error_; }

private:
    struct Server {
        std::string space;
        Time started_at{};
        EngineId engine = 0;
        EventStream stream;
        ReportTrust trust;
        PrefillPace pace;
        bool announced = false;  // last trust state that changes() returned

        [[nodiscard]] bool trusted() const { return trust.trusted() && stream.usable(); }
    };
    void apply(Server& server, const EventStream::Update& update);

    Limits limits_;
    PrefixIndex index_;
    std::map<std::string, Server> servers_;
    std::vector<std::string> names_by_engine_;
    std::vector<CacheReportingChanged> removed_;  // removals since the last call of changes()
    PrefillPace fleet_pace_;
    Counts counts_;
    std::string last_error_;
};

}  // namespace chalksail::prefix
