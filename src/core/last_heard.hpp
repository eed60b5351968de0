// Which servers have spoken, the one that spoke last first. Free of I/O and clock. Not thread-safe.
#pragma once

#include <chalksail/chalksail.hpp>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace chalksail::core {

class LastHeard {
public:
    // Exact to kStep: a server that streams speaks all the time.
    void spoke(const std::string& server, Time now) {
        const auto [it, fresh] = times_.try_emplace(server, now);
        if (!fresh) {
            if (now < it->second + kStep) return;
            order_.erase({it->second, server});
            it->second = now;
        }
        order_.emplace(now, server);
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

    static constexpr Duration kStep = std::chrono::milliseconds(10);

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
