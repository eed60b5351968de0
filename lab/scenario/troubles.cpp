#include "scenario/troubles.hpp"

#include <algorithm>
#include <cmath>

namespace chalksail::lab {

void Troubles::schedule() {
    for (const auto& t : scenario_.troubles) world_.after(t.at, [this, &t] { begin(t); });
}

Troubles::Engines Troubles::victims(const Trouble& t) {
    if (!t.server.empty()) return {t.server};
    Engines all;
    for (const auto& e : scenario_.engines)
        if ((t.engines.empty() || e.kind == t.engines) && (t.zone.empty() || e.zone == t.zone))
            all.push_back(e.name);
    if (t.kind == TroubleKind::zone_loss) return all;
    draws_.shuffle(all);
    all.resize(
        std::min(all.size(), static_cast<std::size_t>(std::ceil(t.share * static_cast<double>(all.size())))));
    return all;
}

void Troubles::each(const Trouble& t, const Engines& victims, const std::function<void(EngineModel&)>& begin,
                    const std::function<void(EngineModel&)>& end) {
    for (const auto& name : victims) {
        EngineModel* model = world_.running(name);
        if (model == nullptr) continue;
        under_way_[{t.kind, name}] += 1;
        begin(*model);
        world_.changed(name);
        world_.after(t.lasts, [this, kind = t.kind, name, end] {
            if ((under_way_[{kind, name}] -= 1) > 0) return;
            // One that was started anew meanwhile is well already; ending it once more does no harm.
            EngineModel* now = world_.running(name);
            if (now == nullptr) return;
            end(*now);
            world_.changed(name);
        });
    }
}

void Troubles::whole(const Trouble& t, const std::function<void()>& begin, const std::function<void()>& end) {
    under_way_[{t.kind, ""}] += 1;
    begin();
    world_.after(t.lasts, [this, kind = t.kind, end] {
        if ((under_way_[{kind, ""}] -= 1) == 0) end();
    });
}

void Troubles::begin(const Trouble& t) {
    const auto hit = victims(t);
    const auto now = [this] { return world_.now(); };
    switch (t.kind) {
        case TroubleKind::crash:
        case TroubleKind::zone_loss:
            for (const auto& name : hit) world_.kill(name, t.lasts);
            break;
        case TroubleKind::vanish:
            for (const auto& name : hit) world_.vanish(name, t.lasts);
            break;
        case TroubleKind::wrong_name:
            for (const auto& name : hit) world_.misname(name, t.lasts);
            break;
        case TroubleKind::hang:
            each(
                t, hit, [&](EngineModel& m) { m.set_paused(now(), true); },
                [now](EngineModel& m) { m.set_paused(now(), false); });
            break;
        case TroubleKind::slow:
            each(
                t, hit, [&](EngineModel& m) { m.set_slow(now(), t.factor); },
                [now](EngineModel& m) { m.set_slow(now(), 1); });
            break;
        case TroubleKind::ageing: {
            constexpr int kSteps = 10;
            each(
                t, hit, [](EngineModel&) {}, [now](EngineModel& m) { m.set_slow(now(), 1); });
            for (const auto& name : hit)
                for (int i = 1; i <= kSteps; ++i)
                    world_.after(t.lasts * i / (kSteps + 1),
                                 [this, name, factor = 1 + (t.factor - 1) * i / kSteps] {
                                     EngineModel* m = world_.running(name);
                                     if (m == nullptr) return;
                                     m->set_slow(world_.now(), factor);
                                     world_.changed(name);
                                 });
            break;
        }
        case TroubleKind::fast_errors:
            each(
                t, hit, [&](EngineModel& m) { m.set_error_share(t.part); },
                [](EngineModel& m) { m.set_error_share(0); });
            break;
        case TroubleKind::answer_lost:
            each(
                t, hit, [&](EngineModel& m) { m.set_lost_share(t.part); },
                [](EngineModel& m) { m.set_lost_share(0); });
            break;
        case TroubleKind::origin_slow:
            whole(
                t, [&] { world_.links().set_slow(t.factor); }, [this] { world_.links().set_slow(1); });
            break;
        case TroubleKind::discovery_stale:
            whole(
                t, [&] { world_.set_list_lag(t.lag); }, [this] { world_.set_list_lag(scenario_.list_lag); });
            break;
        case TroubleKind::preempt:
            for (const auto& name : hit) {
                world_.list(name, "draining");
                world_.after(t.notice + world_.list_lag(),
                             [this, name, lasts = t.lasts] { world_.kill(name, lasts); });
            }
            break;
        case TroubleKind::burst:
            whole(
                t, [&] { world_.crowd().set_burst(t.factor); }, [this] { world_.crowd().set_burst(1); });
            world_.crowd_changed();
            break;
        case TroubleKind::heavy_tail:
            whole(
                t, [&] { world_.crowd().set_heavy_tail(t.part, t.factor); },
                [this] { world_.crowd().set_heavy_tail(0, 1); });
            break;
        case TroubleKind::give_up:
            whole(
                t, [&] { world_.crowd().set_give_up(t.part); }, [this] { world_.crowd().set_give_up(0); });
            break;
        case TroubleKind::partition:
            if (!t.zone.empty()) world_.cut_zone(t.zone, t.lasts);
            else world_.cut_servers(hit, t.part, t.lasts);
            break;
        case TroubleKind::half_open: world_.silence(hit, t.part, t.lasts); break;
        case TroubleKind::resets: world_.reset(hit, t.part, t.lasts); break;
    }
}

}  // namespace chalksail::lab
