// TLS verification state of the servers. A server whose certificate did not verify is excluded until a
// handshake verifies again; such handshakes are made alone, without a request, with exponential backoff.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/units.hpp"

namespace chalksail::membership {

// The servers that are excluded because they failed verification, and when to try each again. Only a
// verified handshake brings a server back. Not thread-safe.
class Verification {
public:
    struct Backoff {
        Duration first = std::chrono::seconds(1);
        Duration max = std::chrono::minutes(5);
        double growth = 2;
    };
    explicit Verification(Backoff backoff) : backoff_(backoff) {}

    // A handshake with `server` did not verify. Returns true if it was not excluded before.
    bool failed(const std::string& server, Time now);
    // A trial handshake proved nothing (no connection, for instance): the next follows after the same
    // backoff.
    void inconclusive(const std::string& server, Time now);
    // A handshake verified. Returns true if the server was excluded before.
    bool verified(const std::string& server);
    // The server's list entry changed: its next trial is due at once, and the backoff starts anew.
    void changed(const std::string& server, Time now);
    // The trust store changed: as `changed`, for all excluded servers.
    void trust_changed(Time now);
    // The server was removed from the list.
    void forget(const std::string& server) { excluded_.erase(server); }

    [[nodiscard]] bool unverified(const std::string& server) const { return excluded_.contains(server); }
    // Number of excluded servers.
    [[nodiscard]] std::size_t count() const { return excluded_.size(); }
    // Servers whose trial handshake is due. Each counts as in progress until its end is reported by `failed`,
    // `inconclusive` or `verified`.
    [[nodiscard]] std::vector<std::string> due(Time now);
    // Time of the earliest trial that is not in progress; none if there is none.
    [[nodiscard]] std::optional<Time> next() const;

private:
    struct Exclusion {
        Duration backoff{};
        Time next_trial{};
        bool trial_in_progress = false;
    };
    Backoff backoff_;
    std::map<std::string, Exclusion> excluded_;
};

}  // namespace chalksail::membership
