#include "baseline/baseline.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace chalksail::lab {
namespace {

constexpr Duration kPause = std::chrono::milliseconds(40);  // before another try

}  // namespace

Baseline::Baseline(const Settings& settings, std::uint64_t seed, PlacementPolicy placement_policy)
    : settings_(settings), placement_policy_(placement_policy), random_(seed) {}

std::vector<Action> Baseline::step(Time now, std::span<const Event> events) {
    now_ = now;
    actions_.clear();
    for (const auto& event : events) std::visit([this](const auto& e) { on(e); }, event);
    bool waits = false;
    for (auto& [id, r] : requests_) {
        if (!r.out && !r.ended) place(id, r);
        waits = waits || (!r.out && !r.ended);
    }
    for (const auto id : over_) requests_.erase(id);
    over_.clear();
    if (waits) actions_.emplace_back(SetTimer{now_ + settings_.tick, {++last_timer_}});
    return std::exchange(actions_, {});
}

void Baseline::on(const EndpointUpdate& e) {
    if (e.kind == EndpointUpdateKind::snapshot)
        for (auto& [id, s] : servers_) s.entry.state = EndpointState::removed;
    for (const auto& entry : e.endpoints) {
        Server& s = servers_[entry.id];
        s.entry = entry;
        for (const auto& kind : settings_.kinds)
            if (kind.name == entry.kind) s.role = kind.role;
    }
}

void Baseline::on(const RequestArrived& e) {
    Request r;
    for (const auto& cls : settings_.classes)
        if (cls.name == e.class_name) r.cls = &cls;
    r.prefix = e.prefix;
    r.deadline = now_ + e.time_remaining;
    requests_.insert_or_assign(e.id, std::move(r));
}

void Baseline::on(const AttemptEnded& e) {
    const auto it = requests_.find(e.id);
    if (it == requests_.end()) return;
    Request& r = it->second;
    const auto server = servers_.find(e.server);
    const bool read = server != servers_.end() && server->second.role == Role::prefill;
    if (server != servers_.end()) server->second.outstanding -= 1;
    r.out.reset();
    if (e.request_finished || r.ended) {
        if (e.outcome == AttemptOutcome::prefilled || r.state_at) actions_.emplace_back(ReleaseKvState{e.id});
        over_.push_back(e.id);
        r.ended = true;
        return;
    }
    if (e.outcome == AttemptOutcome::prefilled) {
        r.state_at = e.server;
        r.read_at = now_;
        return;
    }
    if (e.outcome == AttemptOutcome::at_capacity && e.kv_state_missing)
        r.state_at.reset();  // the state is gone
    const bool not_run = read || e.outcome == AttemptOutcome::at_capacity ||
                         e.outcome == AttemptOutcome::connect_failed || e.outcome == AttemptOutcome::not_sent;
    r.may_have_run = r.may_have_run || !not_run;
    r.not_before = now_ + kPause;
    if (r.may_have_run && r.cls->idempotency != Idempotency::idempotent) give_up(e.id, r);
}

void Baseline::on(const ClientDisconnected& e) {
    const auto it = requests_.find(e.id);
    if (it == requests_.end()) return;
    Request& r = it->second;
    r.ended = true;
    if (r.out) {
        if (settings_.cancellation_enabled) actions_.emplace_back(CancelAttempt{e.id, *r.out});
        return;
    }
    if (r.state_at) actions_.emplace_back(ReleaseKvState{e.id});
    over_.push_back(e.id);
}

void Baseline::place(RequestId id, Request& r) {
    const int left = settings_.max_attempts - r.sends;
    if (now_ + 2 * settings_.tick >= r.deadline || left < (r.state_at ? 1 : 2)) return give_up(id, r);
    // A state is sent on or let go in time; the request then starts anew.
    if (r.state_at && now_ >= r.read_at + settings_.release_within - 3 * settings_.tick) {
        actions_.emplace_back(ReleaseKvState{id});
        r.state_at.reset();
        return;
    }
    if (now_ < r.not_before) return;
    Server* const s = choose(!r.state_at, r);
    if (s == nullptr) return;
    r.out = AttemptId{r.sends++};
    s->outstanding += 1;
    actions_.emplace_back(Send{id, s->entry.id, Duration::zero()});
}

void Baseline::give_up(RequestId id, Request& r) {
    const bool harmless = !r.may_have_run || r.cls->idempotency == Idempotency::idempotent;
    if (harmless && now_ < r.deadline) actions_.emplace_back(Reject{id, settings_.max_retry_after / 2});
    else actions_.emplace_back(Fail{id});
    if (r.state_at) actions_.emplace_back(ReleaseKvState{id});
    r.ended = true;
    over_.push_back(id);
}

Baseline::Server* Baseline::choose(bool read, const Request& r) {
    std::vector<Server*> all;
    for (auto& [id, s] : servers_) {
        const bool in_slow_start =
            s.entry.started_at != Time{} && now_ < s.entry.started_at + settings_.slow_start_duration;
        const bool fits = s.role == Role::mixed || (s.role == Role::prefill) == read;
        if (fits && s.entry.state == EndpointState::up && !in_slow_start) all.push_back(&s);
    }
    if (all.empty()) return nullptr;
    const auto any = [&] { return all[static_cast<std::size_t>(draw() * static_cast<double>(all.size()))]; };
    const auto fewer = [](const Server* a, const Server* b) { return a->outstanding < b->outstanding; };
    switch (placement_policy_) {
        case PlacementPolicy::random: return any();
        case PlacementPolicy::round_robin: return all[turn_++ % all.size()];
        case PlacementPolicy::two_choices: {
            Server* const a = any();
            Server* const b = any();
            return fewer(b, a) ? b : a;
        }
        case PlacementPolicy::prefix_hash:
            if (read)
                return *std::max_element(all.begin(), all.end(), [&](const Server* a, const Server* b) {
                    const auto hash = [&](const Server* s) {
                        return XXH3_64bits_withSeed(
                            r.prefix.data(), r.prefix.size(),
                            XXH3_64bits(s->entry.id.value.data(), s->entry.id.value.size()));
                    };
                    return hash(a) < hash(b);
                });
            break;
        case PlacementPolicy::least_outstanding: break;
    }
    // Equals are drawn from, or all edges would pick the same one.
    std::shuffle(all.begin(), all.end(), random_);
    return *std::min_element(all.begin(), all.end(), fewer);
}

}  // namespace chalksail::lab
