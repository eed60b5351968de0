#include "swarm/swarm.hpp"

#include <array>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <utility>

#include "checker/checker.hpp"
#include "sim/random.hpp"

namespace chalksail::lab {
namespace {

constexpr std::array<std::string_view, kMutations> kMutationNames = {
    "lost-release",  "second-attempt", "ignored-drain", "cold-flood",
    "double-answer", "once-again",     "lost-answer"};
constexpr std::array<const char*, 4> kZones = {"ikeja", "lekki", "apapa", "yaba"};

std::string text(double value) {
    std::array<char, 32> out{};
    std::snprintf(out.data(), out.size(), "%.3f", value);
    return out.data();
}
std::string ms(double value) { return "\"" + std::to_string(static_cast<int>(value)) + "ms\""; }

}  // namespace

std::string_view name(Mutation mutation) { return kMutationNames[static_cast<std::size_t>(mutation)]; }

Fault draw_fault(sim::Stream& s, const std::vector<std::string>& zones, Duration length) {
    const auto part_of = [&](Duration whole, double low, double high) {
        return std::chrono::milliseconds(static_cast<std::int64_t>(
            std::chrono::duration<double, std::milli>(whole).count() * s.between(low, high)));
    };
    Fault t;
    do t.kind = static_cast<FaultKind>(s.below(kFaultKinds));
    while (t.kind == FaultKind::wrong_name);  // there is no TLS in virtual time
    t.at = part_of(length, 0.05, 0.8);
    t.lasts = part_of(length, 0.02, 0.5);
    const auto& zone = zones[s.below(zones.size())];
    if (t.kind == FaultKind::zone_loss || (t.kind == FaultKind::partition && s.chance(0.5))) {
        t.zone = zone;
        return t;
    }
    if (s.chance(0.7)) t.engines = s.chance(0.5) ? "prefill" : "decode";
    t.share = s.between(0.05, 1);
    t.factor = s.between(1.5, 8);
    t.part = s.between(0.05, 0.9);
    t.lag = std::chrono::milliseconds(s.below(6000));
    t.notice = std::chrono::milliseconds(s.below(3000));
    return t;
}

std::string draw_scenario(std::uint64_t seed) {
    sim::Stream s(seed, "swarm");
    const auto whole = [&](int low, int high) {
        return std::to_string(low + static_cast<int>(s.below(static_cast<std::size_t>(high - low + 1))));
    };
    const double seconds = s.between(8, 14);
    const std::size_t zones = 1 + s.below(kZones.size());
    std::string out = "name \"swarm-" + std::to_string(seed) + "\"\nseed " + std::to_string(seed) + "\n";
    out += "length " + ms(seconds * 1000) + "\nedges " + whole(1, 6) + "\nclients " + whole(5, 60) +
           "\nclient-retries " + whole(0, 3) + "\n";
    out += "list-lag " + ms(s.between(0, 1500)) + "\nlist-spread " +
           ms(s.chance(0.5) ? s.between(0, 800) : 0) + "\n";
    for (std::size_t i = 0; i < zones; ++i) out += std::string("zone \"") + kZones[i] + "\"\n";
    out += "network {\n    same-zone \"" + whole(50, 800) + "us\"\n    other-zone \"" + whole(500, 9000) +
           "us\"\n    jitter \"" + whole(0, 4000) + "us\"\n    lost " + text(s.chance(0.4) ? 0.01 : 0) +
           "\n    bytes-per-second " + text(s.chance(0.3) ? s.between(1e6, 1e8) : 0) + "\n}\n";
    out += "links { in-cell " + whole(50'000, 400'000) + "; rack " + whole(20'000, 200'000) +
           "; zone-factor " + whole(1, 4) + "; }\n";
    const auto times = [&](double low, double high) {
        const double objective = s.between(low, high);
        return "aim " + ms(objective) + "; deadline " + ms(objective + s.between(500, 5000));
    };
    static constexpr std::array<const char*, 3> kGroups = {"all", "zone", "cell"};
    out += "edge {\n    class \"once\" { when model=\"once\"; " + times(500, 3000) +
           "; effect \"once\"; worth 3; late-worth " + text(s.uniform()) + "; }\n";
    out += "    class \"keyed\" { when model=\"keyed\"; " + times(500, 3000) +
           "; effect \"by-key\"; group \"" + kGroups[s.below(3)] + "\"; window " + ms(s.between(1000, 6000)) +
           "; }\n";
    out += "    class \"chat\" { " + times(300, 2000) + "; aim-per-1000-tokens " + ms(s.between(0, 150)) +
           "; }\n";
    const std::string events = s.chance(0.4) ? "; cache-events #true" : "";
    out +=
        "    kind \"prefill\" { role \"prefill\"; memory-tokens " + whole(20'000, 250'000) + events + "; }\n";
    out += "    kind \"decode\" { role \"decode\"; memory-tokens " + whole(15'000, 200'000) + "; }\n";
    out += "    rules { max-attempts " + whole(2, 5) + "; cold-for " + ms(s.between(1000, 8000)) + "; }\n}\n";
    out += "caches { lost " + text(s.chance(0.5) ? 0.1 : 0) + "; past " + whole(5, 200) + "; }\n";
    out += "engines \"prefill\" kind=\"prefill\" count=" + whole(2, 6) + " { slots " + whole(1, 8) +
           "; queue " + whole(0, 40) + "; read-pace " + whole(4000, 25'000) + "; kept-tokens " +
           whole(0, 60'000) + "; }\n";
    out += "engines \"decode\" kind=\"decode\" count=" + whole(3, 10) + " { slots " + whole(2, 50) +
           "; queue " + whole(0, 30) + "; token-interval " + ms(s.between(5, 40)) + "; read-pace " +
           whole(2000, 9000) + "; state-ttl " + ms(s.between(5000, 30'000)) + "; }\n";
    for (const char* cls : {"chat", "once", "keyed"})
        out += std::string("traffic \"") + cls + "\" { model \"" + cls + "\"; share " + whole(1, 10) +
               "; streamed " + text(s.uniform()) + "; turns " + whole(1, 4) + "; prefixes " + whole(1, 8) +
               "; system-bytes " + whole(0, 12'000) + "; turn-bytes " + whole(50, 6000) + "; max-tokens " +
               whole(1, 60) + "; think " + ms(s.between(50, 1500)) + "; }\n";
    out += "troubles {\n";
    const std::size_t faults = 2 + s.below(6);
    const std::vector<std::string> names(kZones.begin(), kZones.begin() + static_cast<std::ptrdiff_t>(zones));
    const auto length = std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000));
    for (std::size_t i = 0; i < faults; ++i) out += "    " + to_kdl(draw_fault(s, names, length)) + "\n";
    return out + "}\n";
}

namespace {

template <class T, class Act>
void each_of(std::vector<core::Output>& outputs, const Act& act) {
    for (std::size_t i = 0, n = outputs.size(); i < n; ++i)
        if (auto* o = std::get_if<T>(&outputs[i])) act(*o);
}
template <class T, class Act>
void each_of(std::vector<core::Input>& inputs, const Act& act) {
    for (auto& i : inputs)
        if (auto* in = std::get_if<T>(&i)) act(*in);
}
bool is_attempt(const core::Call& call) { return call.kind == core::CallKind::attempt; }

Tampering lost_release() {
    return {{}, [](std::vector<core::Output>& outputs) {
                std::erase_if(outputs, [](const core::Output& o) {
                    const auto* call = std::get_if<core::Call>(&o);
                    return call != nullptr && call->kind == core::CallKind::release;
                });
            }};
}
Tampering second_attempt() {
    return {{}, [](std::vector<core::Output>& outputs) {
                std::vector<core::Call> copies;
                each_of<core::Call>(outputs, [&](const core::Call& call) {
                    if (is_attempt(call)) copies.push_back(call);
                });
                for (auto& copy : copies) {
                    copy.call.value += 1'000'000'000;
                    outputs.emplace_back(std::move(copy));
                }
            }};
}
Tampering ignored_drain() {
    return {[](std::vector<core::Input>& inputs) {
                each_of<membership::EndpointList>(inputs, [](membership::EndpointList& list) {
                    for (auto& s : list.endpoints) s.endpoint.state = EndpointState::up;
                });
            },
            {}};
}
Tampering slow_start_flood() {
    auto last_started =
        std::make_shared<std::map<std::string, std::string>>();  // by kind: the last that started
    return {[last_started](std::vector<core::Input>& inputs) {
                each_of<membership::EndpointList>(inputs, [&](const membership::EndpointList& list) {
                    for (const auto& s : list.endpoints)
                        if (s.endpoint.started_at != Time{} && s.endpoint.state == EndpointState::up)
                            (*last_started)[s.endpoint.kind] = s.endpoint.id.value;
                });
            },
            [last_started](std::vector<core::Output>& outputs) {
                each_of<core::Call>(outputs, [&](core::Call& call) {
                    const auto it = last_started->find(call.server_kind);
                    if (is_attempt(call) && it != last_started->end()) call.server = it->second;
                });
            }};
}
Tampering double_answer() {
    return {{}, [](std::vector<core::Output>& outputs) {
                std::vector<core::Output> again;
                each_of<core::SendResponse>(
                    outputs, [&](const core::SendResponse& reply) { again.emplace_back(reply); });
                each_of<core::EndStream>(outputs,
                                         [&](const core::EndStream& end) { again.emplace_back(end); });
                for (auto& o : again) outputs.push_back(std::move(o));
            }};
}
Tampering once_again() {
    return {[](std::vector<core::Input>& inputs) {
                std::erase_if(inputs,
                              [](const auto& i) { return std::holds_alternative<core::CallSent>(i); });
                each_of<core::CallFailed>(
                    inputs, [](core::CallFailed& f) { f.ending = engine::ExchangeEnd::dial_failed; });
            },
            {}};
}
Tampering lost_answer() {
    auto seen = std::make_shared<int>(0);
    return {{}, [seen](std::vector<core::Output>& outputs) {
                std::erase_if(outputs, [&](const core::Output& o) {
                    return std::holds_alternative<core::SendResponse>(o) && ++*seen % 10 == 0;
                });
            }};
}

}  // namespace

Tampering tampering(Mutation mutation) {
    switch (mutation) {
        case Mutation::lost_release: return lost_release();
        case Mutation::second_attempt: return second_attempt();
        case Mutation::ignored_drain: return ignored_drain();
        case Mutation::slow_start_flood: return slow_start_flood();
        case Mutation::double_answer: return double_answer();
        case Mutation::once_again: return once_again();
        case Mutation::lost_answer: return lost_answer();
    }
    return {};
}

std::optional<std::string> what_fails(const RuleReport& v, const VirtualFigures& f) {
    if (!v.breaches.empty()) return format(v.breaches.front());
    const auto count = [](std::size_t n, const char* what) {
        return n == 0 ? std::nullopt : std::optional(std::to_string(n) + " " + what);
    };
    if (auto out = count(v.garbled, "answers with another text than the prompt gives")) return out;
    if (auto out = count(f.open_at_end, "requests, calls or states still open at the end")) return out;
    if (auto out = count(f.guards, "sends that the edges' guards had to stop")) return out;
    const auto ended = v.served + v.refused + v.failed + v.disconnected + v.rejected;
    if (auto out = count(v.requests - ended, "requests without an account")) return out;
    return std::nullopt;
}

std::optional<Found> try_scenario(const std::string& text, std::uint64_t seed,
                                  std::optional<Mutation> mutation) {
    const auto play = [&](bool keep) {
        auto scenario = parse_scenario(text, "swarm-" + std::to_string(seed));
        if (!scenario) throw std::invalid_argument(format(scenario.error().front()));
        scenario->seed = seed;
        auto day = std::make_unique<Simulation>(std::move(*scenario));
        day->keep_records(keep);
        day->stop_at_breach();
        if (mutation) day->tamper(tampering(*mutation));
        auto rule_report = day->run();
        return std::pair(std::move(day), std::move(rule_report));
    };
    const auto [day, rule_report] = play(false);
    const auto what = what_fails(rule_report, day->figures());
    if (!what) return std::nullopt;
    Found out{seed, *what, "", text};
    if (!rule_report.breaches.empty()) {
        // The same again, for its records.
        const auto again = play(true);
        out.trace = trace(again.first->records(), rule_report.breaches.front());
    }
    return out;
}

std::optional<Found> try_seed(std::uint64_t seed, std::optional<Mutation> mutation) {
    return try_scenario(draw_scenario(seed), seed, mutation);
}

}  // namespace chalksail::lab
