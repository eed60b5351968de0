#include "candidate_set.hpp"

namespace chalksail::policy {

void CandidateSet::begin_step(Time now) {
    now_ = now;
    candidates_.clear();
    slow_start_.begin_step();
}

const std::vector<Server*>& CandidateSet::candidates(const Request& request, Stage stage) {
    const auto [it, inserted] = candidates_.try_emplace(std::pair(request.class_index, stage));
    if (!inserted) return it->second;
    for (auto& [id, server] : endpoints_.all()) {
        const bool prefills = server.role == Role::prefill;
        if (prefills == (stage == Stage::prefill) && accepts_class(server, request.class_index))
            it->second.push_back(&server);
    }
    return it->second;
}

bool CandidateSet::usable(const Server& server, const Request& request) {
    return accepts_class(server, request.class_index) &&
           retry_policy_.may_send_to(server.endpoint, *request.class_settings, request.history, now_);
}

bool CandidateSet::any_usable(const Request& request, Stage stage) {
    const auto& servers = candidates(request, stage);
    return std::any_of(servers.begin(), servers.end(),
                       [&](const Server* server) { return usable(*server, request); });
}

bool CandidateSet::accepts_class(const Server& server, std::size_t class_index) {
    if (!server.in_service() || !has_slow_start_budget(server, class_index)) return false;
    if (server.health.in_good_standing()) return true;
    return outliers_.admits(server.health, settings_.classes[class_index].idempotency,
                            summary().has_healthy_server(server.role), now_);
}

bool CandidateSet::has_slow_start_budget(const Server& server, std::size_t class_index) {
    if (!slow_start_.is_warming_up(server.endpoint.started_at, now_)) return true;
    return slow_start_.admits(server.warm_up, server.role, class_index, requests_.mean_work(class_index),
                              summary().warm(server.role), now_);
}

CandidateSet::Preference CandidateSet::preference(const Server& server, const Request& request) {
    if (request.history.failed_at.contains(server.endpoint.id)) return Preference::failed_here;
    const bool repeatable = request.class_settings->idempotency == Idempotency::idempotent;
    return !repeatable && server.health.recently_failed() ? Preference::failed_recently : Preference::none;
}

}  // namespace chalksail::policy
