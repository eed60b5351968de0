// Orders servers by the time at which bytes of their responses were last received, the latest first. No I/O,
// no clock; not thread-safe.
#pragma once

#include <chalksail/chalksail.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace chalksail::core {

class LastActivity {
public:
    void record(const std::string& server, Time now) {
        const auto [it, fresh] = times_.try_emplace(server, now);
        if (fresh) {
            order_.emplace(now, server);
            return;
        }
        // Called for each chunk of a stream, so the set's node is reused instead of allocated again.
        auto entry = order_.extract({it->second, server});
        entry.value().first = now;
        order_.insert(std::move(entry));
        it->second = now;
    }
    void forget(const std::string& server) {
        const auto it = times_.find(server);
        if (it == times_.end()) return;
        order_.erase({it->second, server});
        times_.erase(it);
    }
    // Returns the most recently active server that `eligible` accepts; nullptr if there is none.
    template <class Eligible>
    [[nodiscard]] const std::string* most_recent(Eligible eligible) const {
        for (const auto& [at, server] : order_)
            if (eligible(server)) return &server;
        return nullptr;
    }

private:
    struct LatestFirst {
        bool operator()(const std::pair<Time, std::string>& a, const std::pair<Time, std::string>& b) const {
            return a.first != b.first ? a.first > b.first : a.second < b.second;
        }
    };
    std::unordered_map<std::string, Time> times_;
    std::set<std::pair<Time, std::string>, LatestFirst> order_;
};

}  // namespace chalksail::core
