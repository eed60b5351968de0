#include "scenario/faults.hpp"

#include <algorithm>
#include <cmath>

namespace chalksail::lab {

void FaultInjector::schedule() {
    for (const auto& t : scenario_.faults) fault_target_.after(t.at, [this, &t] { begin(t); });
}

FaultInjector::Engines FaultInjector::victims(const Fault& t) {
    if (!t.server.empty()) return {t.server};
    Engines all;
    for (const auto& e : scenario_.engines)
        if ((t.engines.empty() || e.kind == t.engines) && (t.zone.empty() || e.zone == t.zone))
            all.push_back(e.name);
    if (t.kind == FaultKind::zone_loss) return all;
    draws_.shuffle(all);
    all.resize(
        std::min(all.size(), static_cast<std::size_t>(std::ceil(t.share * static_cast<double>(all.size())))));
    return all;
}

void FaultInjector::each(const Fault& t, const Engines& victims,
                         const std::function<void(EngineModel&)>& begin,
                         const std::function<void(EngineModel&)>& end) {
    for (const auto& name : victims) {
        EngineModel* model = fault_target_.running(name);
        if (model == nullptr) continue;
        under_way_[{t.kind, name}] += 1;
        begin(*model);
        fault_target_.changed(name);
        fault_target_.after(t.lasts, [this, kind = t.kind, name, end] {
            if ((under_way_[{kind, name}] -= 1) > 0) return;
            // One that was started anew meanwhile is well already; ending it once more does no harm.
            EngineModel* now = fault_target_.running(name);
            if (now == nullptr) return;
            end(*now);
            fault_target_.changed(name);
        });
    }
}

void FaultInjector::whole(const Fault& t, const std::function<void()>& begin,
                          const std::function<void()>& end) {
    under_way_[{t.kind, ""}] += 1;
    begin();
    fault_target_.after(t.lasts, [this, kind = t.kind, end] {
        if ((under_way_[{kind, ""}] -= 1) == 0) end();
    });
}

void FaultInjector::begin(const Fault& t) {
    const auto hit = victims(t);
    const auto now = [this] { return fault_target_.now(); };
    switch (t.kind) {
        case FaultKind::crash:
        case FaultKind::zone_loss:
            for (const auto& name : hit) fault_target_.kill(name, t.lasts);
            break;
        case FaultKind::vanish:
            for (const auto& name : hit) fault_target_.vanish(name, t.lasts);
            break;
        case FaultKind::wrong_name:
            for (const auto& name : hit) fault_target_.misname(name, t.lasts);
            break;
        case FaultKind::stall:
            each(
                t, hit, [&](EngineModel& m) { m.set_paused(now(), true); },
                [now](EngineModel& m) { m.set_paused(now(), false); });
            break;
        case FaultKind::slow:
            each(
                t, hit, [&](EngineModel& m) { m.set_slow(now(), t.factor); },
                [now](EngineModel& m) { m.set_slow(now(), 1); });
            break;
        case FaultKind::ageing: {
            constexpr int kSteps = 10;
            each(
                t, hit, [](EngineModel&) {}, [now](EngineModel& m) { m.set_slow(now(), 1); });
            for (const auto& name : hit)
                for (int i = 1; i <= kSteps; ++i)
                    fault_target_.after(t.lasts * i / (kSteps + 1),
                                        [this, name, factor = 1 + (t.factor - 1) * i / kSteps] {
                                            EngineModel* m = fault_target_.running(name);
                                            if (m == nullptr) return;
                                            m->set_slow(fault_target_.now(), factor);
                                            fault_target_.changed(name);
                                        });
            break;
        }
        case FaultKind::fast_errors:
            each(
                t, hit, [&](EngineModel& m) { m.set_error_share(t.part); },
                [](EngineModel& m) { m.set_error_share(0); });
            break;
        case FaultKind::answer_lost:
            each(
                t, hit, [&](EngineModel& m) { m.set_lost_share(t.part); },
                [](EngineModel& m) { m.set_lost_share(0); });
            break;
        case FaultKind::origin_slow:
            whole(
                t, [&] { fault_target_.links().set_slow(t.factor); },
                [this] { fault_target_.links().set_slow(1); });
            break;
        case FaultKind::discovery_stale:
            whole(
                t, [&] { fault_target_.set_list_lag(t.lag); },
                [this] { fault_target_.set_list_lag(scenario_.list_lag); });
            break;
        case FaultKind::preempt:
            for (const auto& name : hit) {
                fault_target_.list(name, "draining");
                fault_target_.after(t.notice + fault_target_.list_lag(),
                                    [this, name, lasts = t.lasts] { fault_target_.kill(name, lasts); });
            }
            break;
        case FaultKind::burst:
            whole(
                t, [&] { fault_target_.client_workload().set_burst(t.factor); },
                [this] { fault_target_.client_workload().set_burst(1); });
            fault_target_.client_workload_changed();
            break;
        case FaultKind::heavy_tail:
            whole(
                t, [&] { fault_target_.client_workload().set_heavy_tail(t.part, t.factor); },
                [this] { fault_target_.client_workload().set_heavy_tail(0, 1); });
            break;
        case FaultKind::give_up:
            whole(
                t, [&] { fault_target_.client_workload().set_give_up(t.part); },
                [this] { fault_target_.client_workload().set_give_up(0); });
            break;
        case FaultKind::partition:
            if (!t.zone.empty()) fault_target_.cut_zone(t.zone, t.lasts);
            else fault_target_.cut_servers(hit, t.part, t.lasts);
            break;
        case FaultKind::half_open: fault_target_.silence(hit, t.part, t.lasts); break;
        case FaultKind::resets: fault_target_.reset(hit, t.part, t.lasts); break;
    }
}

}  // namespace chalksail::lab
