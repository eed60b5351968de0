// What a gateway knows of its servers' kept text: one feed and one place in the index for each server that
// publishes its cache events, and how far its word is to be trusted. A stale or false word costs speed only.
//
// Trust follows what reads find: a server that keeps less than it says is not believed, and is again once its
// reads bear it out: by the engine's own count of what was found, and by how long the read took beside reads
// of which nothing was claimed. No I/O, no clock, no randomness. Not thread-safe.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "prefix/feed.hpp"
#include "prefix/index.hpp"

namespace chalksail::prefix {

class ReportedCaches {
public:
    struct Limits {
        Index::Limits index;
        DecodeLimits decode;
        std::size_t held_batches = 1024;  // of one server, while a replay is under way
    };
    explicit ReportedCaches(TokenText text) : ReportedCaches(std::move(text), Limits{}) {}
    ReportedCaches(TokenText text, Limits limits);

    // A server that publishes; `born` as in the list: another one is another process. Nothing where it is
    // known.
    void add(const std::string& server, std::string_view space, Time born);
    void remove(const std::string& server);

    // One message of its stream, or of a replay. What it wants replayed, if anything.
    std::optional<std::uint64_t> on_message(const std::string& server, std::uint64_t sequence,
                                            std::string_view payload, bool replayed);
    void replay_ended(const std::string& server);

    // What is known of a server, to be kept over a restart of this gateway; nothing while that is nothing, or
    // doubtful.
    [[nodiscard]] std::optional<std::string> snapshot(const std::string& server) const;
    // Takes it back for a listed server of which nothing has been heard yet; it counts once a replay from the
    // number returned has proved it. An error says why it is not taken.
    [[nodiscard]] tl::expected<std::uint64_t, std::string> restore(const std::string& server,
                                                                   std::string_view snapshot);

    // Tokens of this text that each server says it holds, by server; also of those not believed.
    [[nodiscard]] std::vector<CachedPrefix> cached_prefixes(std::string_view space,
                                                            std::string_view text) const;
    // Is its word to be used, and its silence taken for nothing held?
    [[nodiscard]] bool trusted(const std::string& server) const;
    // How a read went at a server, of whose prompt it had claimed to hold some tokens, or none.
    struct ObservedPrefill {
        double prompt_tokens = 0;  // tokens
        double reported_tokens = 0;
        std::optional<double> cached_tokens;  // kept, by the engine's own word; many do not tell
        Duration elapsed{};
    };
    void observed(const std::string& server, const ObservedPrefill& read);
    // Servers whose told() is not what it was when this was last asked.
    [[nodiscard]] std::vector<CacheReportingChanged> changes();

    struct Counts {
        std::uint64_t messages = 0, bad_messages = 0, unknown_events = 0;
        std::size_t servers = 0, trusted = 0, blocks = 0;
        std::uint64_t gaps = 0, unfilled = 0, restarts = 0;
        std::uint64_t proved = 0, unproved = 0;  // snapshots taken back
    };
    [[nodiscard]] Counts counts() const;
    // What was wrong with the last message that was refused.
    [[nodiscard]] const std::string& last_error() const { return last_error_; }

private:
    // Seconds a prompt token of reads that had to read nearly all of it.
    struct Pace {
        double mean = 0;
        std::uint64_t heard = 0;
        void add(double value);
    };
    [[nodiscard]] std::optional<double> by_time(const Pace& own, const ObservedPrefill& read) const;
    struct Entry {
        std::string space;
        Time born{};
        Index::Engine engine = 0;
        Feed feed;
        double trust = 1;
        bool believed = true;
        Pace pace;
        bool told_before = false;
    };
    void carry_out(Entry& entry, Feed::Act& act);

    Limits limits_;
    Index index_;
    std::map<std::string, Entry> servers_;
    std::vector<std::string> by_engine_;  // names, by their number in the index
    std::vector<CacheReportingChanged> gone_;
    Pace pace_;  // of all
    Counts counts_;
    std::string last_error_;
};

}  // namespace chalksail::prefix
