// TLS verification state of the servers. A server whose certificate failed verification is excluded until a
// trial handshake succeeds. Trial handshakes carry no request and are repeated with exponential backoff.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/units.hpp"

namespace chalksail::membership {

// Records which servers are excluded because they failed verification, and when the next trial of each is
// due. Only a verified handshake ends an exclusion. Not thread-safe.
class Verification {
public:
    struct Backoff {
        Duration first = std::chrono::seconds(1);
        Duration max = std::chrono::minutes(5);
        double growth = 2;
    };
    explicit Verification(Backoff backoff) : backoff_(backoff) {}

    // Records a handshake with `server` that failed verification. Returns true if it was not excluded before.
    bool failed(const std::string& server, Time now);
    // Records a trial handshake without a result (no connection, for example). The next trial follows after
    // the same backoff.
    void inconclusive(const std::string& server, Time now);
    // Records a verified handshake. Returns true if the server was excluded before.
    bool verified(const std::string& server);
    // Records a change of the server's list entry: its next trial is due at once, and its backoff is reset.
    void changed(const std::string& server, Time now);
    // Records a change of the trust store: same effect as `changed`, for all excluded servers.
    void trust_changed(Time now);
    // Removes a server that was removed from the list.
    void forget(const std::string& server) { excluded_.erase(server); }

    [[nodiscard]] bool unverified(const std::string& server) const { return excluded_.contains(server); }
    // The number of excluded servers.
    [[nodiscard]] std::size_t count() const { return excluded_.size(); }
    // Returns the servers whose trial handshake is due. Each counts as in progress until `failed`,
    // `inconclusive` or `verified` reports its result.
    [[nodiscard]] std::vector<std::string> due(Time now);
    // Returns the time of the earliest trial that is not in progress, or std::nullopt if there is none.
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
