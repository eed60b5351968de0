// Which servers have spoken, the one that spoke last first. Free of I/O and clock. Not thread-safe.
#pragma once

#include <chalksail/chalksail.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace chalksail::core {

class LastActivity {
public:
    void spoke(const std::string& server, Time now) {
        const auto [it, fresh] = times_.try_emplace(server, now);
        if (fresh) {
            order_.emplace(now, server);
            return;
        }
        // Often: a server that streams speaks all the time. Its entry is moved, not made anew.
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
    // The one that spoke last of those that fit; nullptr: none does.
    template <class Fits>
    [[nodiscard]] const std::string* latest(Fits fits) const {
        for (const auto& [at, server] : order_)
            if (fits(server)) return &server;
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
