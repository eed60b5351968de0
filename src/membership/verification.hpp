// Which servers are kept out because they did not prove their name. One that fails is out until it proves it:
// asked again by a handshake alone, with no request, after pauses that grow; at once when its list entry or
// what this gateway trusts has changed. There is no way back but a handshake that verifies.
//
// Free of I/O and clock. Not thread-safe.
#pragma once

#include <chalksail/chalksail.hpp>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/units.hpp"

namespace chalksail::membership {

class Verification {
public:
    struct Backoff {
        Duration first = std::chrono::seconds(1);
        Duration max = std::chrono::minutes(5);
        double growth = 2;
    };
    explicit Verification(Backoff backoff) : backoff_(backoff) {}

    // It did not prove its name. Returns true if it was not out before.
    bool failed(const std::string& server, Time now);
    // A trial ended without telling anything (no connection, say): another after the same pause.
    void inconclusive(const std::string& server, Time now);
    // It has proved it. Returns true if it was out before.
    bool verified(const std::string& server);
    // Its list entry is another now: a trial at once, and short pauses again.
    void changed(const std::string& server, Time now);
    // What is trusted has changed: the same for all.
    void trust_changed(Time now);
    void forget(const std::string& server) { out_.erase(server); }

    [[nodiscard]] bool unverified(const std::string& server) const { return out_.contains(server); }
    [[nodiscard]] std::size_t count() const { return out_.size(); }
    // Those whose trial is due; each counts as asked, until it is told how that ended.
    [[nodiscard]] std::vector<std::string> due(Time now);
    [[nodiscard]] std::optional<Time> next() const;

private:
    struct Out {
        Duration pause{};
        Time at{};           // of the next trial
        bool asked = false;  // one is under way
    };
    Backoff backoff_;
    std::map<std::string, Out> out_;
};

}  // namespace chalksail::membership
