// Sums over all servers that a step asks for many times: how many of each role are warm, how many in good
// standing, and the memory of the writers in service. With thousands of servers a walk for each question, and
// a question for each server, would cost the square of the fleet; so they are counted once, and again only
// after a change. Used by brain.cpp only; depends on nothing but what is kept of a server.
#pragma once

#include <algorithm>
#include <map>
#include <set>

#include "state.hpp"

namespace chalksail {

class FleetCounts {
public:
    FleetCounts(Duration cold_for, double cold_from) : cold_for_(cold_for), cold_from_(cold_from) {}

    // To be called when a server's entry, standing or trial has changed.
    void changed() { stale_ = true; }
    // Counts anew if something has changed, or a server has warmed up since.
    void refresh(const std::map<ServerId, Server>& servers, Time now) {
        if (!stale_ && now < next_warm_) return;
        *this = FleetCounts(cold_for_, cold_from_);
        stale_ = false;
        for (const auto& [id, server] : servers) add(server, now);
    }

    // Servers of exactly this role that are in service and not cold.
    [[nodiscard]] std::int64_t warm(Role role) const { return of(warm_, role); }
    // Whether one in service and in good standing can do this role's work.
    [[nodiscard]] bool has_healthy(Role role) const {
        return of(healthy_, role) + (role == Role::mixed ? 0 : of(healthy_, Role::mixed)) > 0;
    }
    [[nodiscard]] bool has_writer() const { return writers_ > 0; }
    // Of the writers in service that are not ejected, in tokens; a cold one counts in part.
    [[nodiscard]] double writer_memory() const { return writer_memory_; }

private:
    void add(const Server& server, Time now) {
        const bool writes = server.role != Role::prefill;
        if (!in_service(server)) return;
        const bool cold = is_cold(server, now, cold_for_);
        if (cold) next_warm_ = std::min(next_warm_, server.entry.started_at + cold_for_);
        else warm_[server.role] += 1;
        if (server.ejection == Duration::zero()) healthy_[server.role] += 1;
        if (!writes) return;
        writers_ += 1;
        if (!is_ejected(server)) writer_memory_ += server.memory * (cold ? cold_from_ : 1);
    }
    static std::int64_t of(const std::map<Role, std::int64_t>& counts, Role role) {
        const auto it = counts.find(role);
        return it == counts.end() ? 0 : it->second;
    }

    Duration cold_for_;
    double cold_from_;
    bool stale_ = true;
    Time next_warm_ = Time::max();
    std::map<Role, std::int64_t> warm_;
    std::map<Role, std::int64_t> healthy_;
    std::int64_t writers_ = 0;
    double writer_memory_ = 0;
};

}  // namespace chalksail
