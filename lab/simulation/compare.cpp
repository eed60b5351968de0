#include "simulation/compare.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <stdexcept>

#include "base/json.hpp"
#include "checker/account.hpp"
#include "simulation/simulation.hpp"

namespace chalksail::lab {
namespace {

constexpr std::array<std::string_view, kMeasures> kNames = {
    "worth",  "first_p50_ms", "first_p90_ms", "first_p99_ms", "read_anew",
    "served", "asked",        "refused",      "attempts",     "waste"};

// 97.5% points of Student's t, by degrees of freedom; the last for all above.
constexpr std::array kStudent = {12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
                                 2.201,  2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086};

Scenario arm_scenario(Scenario s, const Arm& arm, std::uint64_t seed) {
    s.seed = seed;
    if (arm.lost) s.caches.lost = *arm.lost;
    s.caches.instant = arm.instant;
    if (!arm.cache_events) {
        for (auto& kind : s.edge.kinds) kind.cache_events = false;
        for (auto& engine : s.engines) engine.publishes = false;
    }
    return s;
}

struct Played {
    std::array<double, kMeasures> values{};
    std::size_t broken = 0;
    VirtualFigures figures;
};

Played play(const Scenario& scenario, const Arm& arm, std::uint64_t seed) {
    Simulation day(arm_scenario(scenario, arm, seed), arm.policy);
    day.keep_records(false);
    Account account(scenario.edge.router.classes, day.begin());
    day.watch([&](const Record& r) { account.add(r); });
    const auto rule_report = day.run();
    const auto& f = day.figures();
    const auto& first = account.first_token_ms();
    const double all = std::max<double>(1, static_cast<double>(rule_report.requests));
    Played out;
    out.values = {account.all().weight_share(),
                  first.quantile(0.5),
                  first.quantile(0.9),
                  first.quantile(0.99),
                  1 - f.cached_tokens / std::max(1.0, f.read_tokens),
                  static_cast<double>(rule_report.served) / all,
                  static_cast<double>(rule_report.requests),
                  static_cast<double>(rule_report.refused) / all,
                  static_cast<double>(account.attempts()) / all,
                  account.waste()};
    out.broken = rule_report.breaches.size() + rule_report.unanswered + rule_report.garbled + f.open_at_end;
    out.figures = f;
    return out;
}

}  // namespace

std::string_view name(Measure measure) { return kNames[static_cast<std::size_t>(measure)]; }

Estimate estimate(const std::vector<double>& values) {
    if (values.empty()) return {};
    const auto n = static_cast<double>(values.size());
    double sum = 0, squares = 0;
    for (const double v : values) sum += v;
    const double mean = sum / n;
    if (values.size() == 1) return {mean, 0};
    for (const double v : values) squares += (v - mean) * (v - mean);
    const double t = kStudent[std::min(values.size() - 2, kStudent.size() - 1)];
    return {mean, t * std::sqrt(squares / (n - 1) / n)};
}

std::vector<ArmResult> compare_arms(const Scenario& scenario, std::size_t seeds) {
    if (scenario.arms.empty()) throw std::invalid_argument("the scenario has no 'arm' to compare");
    std::vector<ArmResult> out;
    for (const auto& arm : scenario.arms) {
        ArmResult r;
        r.name = arm.name;
        r.by_measure.resize(kMeasures);
        for (std::size_t i = 0; i < seeds; ++i) {
            const Played p = play(scenario, arm, scenario.seed + i);
            for (std::size_t m = 0; m < kMeasures; ++m) r.by_measure[m].push_back(p.values[m]);
            r.rules_broken += p.broken;
            r.cache_batches += p.figures.cache_batches;
            r.cache_lost += p.figures.cache_lost;
            r.gaps += p.figures.prefixes.gaps;
            r.unfilled += p.figures.prefixes.unfilled_gaps;
        }
        out.push_back(std::move(r));
    }
    return out;
}

namespace {
Estimate difference(const ArmResult& a, const ArmResult& b, std::size_t measure) {
    std::vector<double> out;
    for (std::size_t i = 0; i < a.by_measure[measure].size(); ++i)
        out.push_back(a.by_measure[measure][i] - b.by_measure[measure][i]);
    return estimate(out);
}
std::string number(double v) {
    std::array<char, 32> out{};
    std::snprintf(out.data(), out.size(), std::abs(v) < 10 ? "%.3f" : "%.0f", v);
    return out.data();
}
std::string plus_minus(const Estimate& e) { return number(e.mean) + " +-" + number(e.half_width); }
std::string padded(std::string text) {
    text.resize(std::max<std::size_t>(text.size(), 17), ' ');
    return text + ' ';
}
}  // namespace

std::string format(const std::vector<ArmResult>& arms) {
    std::string out = "simulated; mean over the seeds and its 95% interval\n" + padded("");
    for (const auto n : kNames) out += padded(std::string(n));
    for (const auto& arm : arms) {
        out += "\n" + padded(arm.name);
        for (const auto& values : arm.by_measure) out += padded(plus_minus(estimate(values)));
        if (arm.rules_broken > 0) out += std::to_string(arm.rules_broken) + " broken";
    }
    out += "\nless the first arm's, seed by seed";
    for (std::size_t a = 1; a < arms.size(); ++a) {
        out += "\n" + padded(arms[a].name);
        for (std::size_t m = 0; m < kMeasures; ++m)
            out += padded(plus_minus(difference(arms[a], arms[0], m)));
    }
    return out + "\n";
}

std::string to_json(const std::vector<ArmResult>& arms) {
    json::ObjectWriter out;
    out.boolean("simulated", true);
    for (const auto& arm : arms) {
        json::ObjectWriter one;
        for (std::size_t m = 0; m < kMeasures; ++m) {
            const auto e = estimate(arm.by_measure[m]);
            one.raw(kNames[m].data(),
                    "[" + std::to_string(e.mean) + "," + std::to_string(e.half_width) + "]");
        }
        one.integer("rules_broken", static_cast<std::int64_t>(arm.rules_broken))
            .integer("cache_batches", static_cast<std::int64_t>(arm.cache_batches))
            .integer("cache_lost", static_cast<std::int64_t>(arm.cache_lost))
            .integer("gaps", static_cast<std::int64_t>(arm.gaps))
            .integer("gaps_unfilled", static_cast<std::int64_t>(arm.unfilled));
        out.raw(arm.name.c_str(), one.done());
    }
    return out.done();
}

}  // namespace chalksail::lab
