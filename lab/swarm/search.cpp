#include "swarm/search.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "checker/account.hpp"
#include "sim/random.hpp"
#include "simulation/simulation.hpp"
#include "swarm/swarm.hpp"

namespace chalksail::lab {
namespace {

constexpr double kRegretRetained = 0.7;  // of the regret, by a smaller case
constexpr double kNoise = 0.01;          // a regret below it is no finding

std::pair<double, std::size_t> weight_share_of(const Scenario& scenario,
                                               std::optional<PlacementPolicy> policy) {
    Simulation day(scenario, policy);
    day.keep_records(false);
    Account account(scenario.edge.router.classes, day.begin());
    day.watch([&](const Record& r) { account.add(r); });
    const auto rule_report = day.run();
    return {account.all().weight_share(), rule_report.breaches.size()};
}

}  // namespace

Case play_case(Scenario scenario) {
    Case out;
    std::tie(out.module, out.rules_broken) = weight_share_of(scenario, std::nullopt);
    for (const auto& [policy, name] : {std::pair(PlacementPolicy::least_outstanding, "least-outstanding"),
                                       {PlacementPolicy::two_choices, "two-choices"},
                                       {PlacementPolicy::prefix_hash, "prefix-hash"}}) {
        const double weight_share = weight_share_of(scenario, policy).first;
        if (!out.best_name.empty() && weight_share <= out.best) continue;
        out.best = weight_share;
        out.best_name = name;
    }
    out.scenario = std::move(scenario);
    return out;
}

std::optional<Case> search_worst(const Scenario& base, std::uint64_t from, std::size_t seeds,
                                 const std::function<bool(const Case&)>& on_case) {
    std::optional<Case> worst;
    for (std::uint64_t seed = from; seed < from + seeds; ++seed) {
        Scenario s = base;
        s.seed = seed;
        s.faults.clear();
        sim::Stream draws(seed, "search");
        const std::size_t faults = 1 + draws.below(4);
        for (std::size_t i = 0; i < faults; ++i) s.faults.push_back(draw_fault(draws, s.zones, s.length));
        Case one = play_case(std::move(s));
        const bool go_on = on_case(one);
        if (!worst || one.regret() > worst->regret()) worst = std::move(one);
        if (!go_on) break;
    }
    return worst;
}

Shrunk shrink(const Scenario& base, Case found, const std::function<bool(const Case&)>& on_case) {
    Shrunk out{std::move(found), 1, 0};
    if (out.what.regret() < kNoise) return out;
    const double least = kRegretRetained * out.what.regret();
    bool stopped = false;
    // Takes the smaller one if it is nearly as bad.
    const auto take = [&](Scenario smaller) {
        if (stopped) return false;
        Case one = play_case(std::move(smaller));
        out.played += 1;
        stopped = !on_case(one);
        if (one.regret() < least) return false;
        out.what = std::move(one);
        return true;
    };
    for (std::size_t i = 0; i < out.what.scenario.faults.size();) {
        Scenario s = out.what.scenario;
        s.faults.erase(s.faults.begin() + static_cast<std::ptrdiff_t>(i));
        if (!take(std::move(s))) ++i;
    }
    for (bool smaller = true; smaller && !stopped;) {
        smaller = false;
        Scenario s = out.what.scenario;
        if (s.edges > 1) {
            s.edges /= 2;
            smaller = take(s) || smaller;
        }
        s = out.what.scenario;
        const double part = out.engines_part / 2;
        if (static_cast<double>(base.engines.size()) * part >= 4) {
            const auto engines =
                static_cast<int>(std::lround(part * static_cast<double>(base.engines.size())));
            // As reading the file does it: from the base's fleet, with the clients as they are said.
            Scenario fleet = base;
            fleet.faults.clear();
            s.groups = resized(fleet, engines, s.edges).groups;
            s.engines = resized(fleet, engines, s.edges).engines;
            s.clients = std::max(1, s.clients / 2);
            if (take(std::move(s))) {
                out.engines_part = part;
                smaller = true;
            }
        }
        s = out.what.scenario;
        if (s.clients > 8) {
            s.clients = s.clients * 3 / 4;
            smaller = take(s) || smaller;
        }
        s = out.what.scenario;
        if (s.length > std::chrono::seconds(8)) {
            s.length = s.length * 3 / 4;
            smaller = take(s) || smaller;
        }
    }
    return out;
}

std::string to_kdl(const Shrunk& shrunk, const std::string& base_file) {
    const Scenario& s = shrunk.what.scenario;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(s.length).count();
    std::string out = "base \"" + base_file + "\"\nseed " + std::to_string(s.seed) + "\nlength \"" +
                      std::to_string(ms) + "ms\"\nedges " + std::to_string(s.edges) + "\nclients " +
                      std::to_string(s.clients) + "\n";
    if (shrunk.engines_part < 1) out += "engines-part " + std::to_string(shrunk.engines_part) + "\n";
    out += "troubles {\n";
    for (const auto& t : s.faults) out += "    " + to_kdl(t) + "\n";
    return out + "}\n";
}

}  // namespace chalksail::lab
