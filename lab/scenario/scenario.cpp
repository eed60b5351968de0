#include "scenario/scenario.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <set>
#include <stdexcept>
#include <utility>

namespace chalksail::lab {
namespace {

using config::Block;
using config::Need;
using config::Problems;
using config::Properties;

constexpr std::array kPolicies = {"random", "round-robin", "least-outstanding", "two-choices", "prefix-hash"};
constexpr std::array<const char*, kFaultKinds> kFaults = {
    "crash",       "vanish",          "hang",      "slow",    "ageing", "fast_errors", "answer_lost",
    "origin_slow", "discovery_stale", "zone_loss", "preempt", "burst",  "heavy_tail",  "give_up",
    "wrong_name",  "partition",       "half_open", "resets"};

int small(std::int64_t n) { return static_cast<int>(n); }

// Each group's engines go round the zones; a zone is a cell too.
void place_engines(Scenario& s) {
    s.engines.clear();
    for (const auto& group : s.groups)
        for (int i = 0; i < group.count; ++i) {
            EngineSpec one = group.spec;
            one.name = group.name + "-" + std::to_string(i + 1);
            const auto zone = static_cast<std::size_t>(i) % s.zones.size();
            one.zone = s.zones[zone];
            one.cell = static_cast<std::int64_t>(zone) + 1;
            s.engines.push_back(std::move(one));
        }
}

class Reader {
public:
    Reader(const kdl::Document& document, std::string_view text, const std::string& file, Problems& problems,
           const Scenario* base)
        : document_(document), text_(text), file_(file), problems_(problems), based_(base != nullptr) {
        if (based_) out_ = *base;
    }

    Scenario read() {
        Block top(document_.nodes, {}, "the scenario", problems_);
        top.text("name", out_.name);
        std::string base;
        top.text("base", base);
        std::int64_t n = 0;
        if (top.integer("seed", n, 0, INT64_MAX)) out_.seed = static_cast<std::uint64_t>(n);
        top.duration("length", out_.length);
        if (top.integer("edges", n, 1, 1000)) out_.edges = small(n);
        if (top.integer("clients", n, 1, 100'000)) out_.clients = small(n);
        if (top.integer("client-retries", n, 0, 10)) out_.client_retries = small(n);
        top.duration("client-ramp", out_.client_ramp);
        top.duration("list-lag", out_.list_lag);
        top.duration("list-spread", out_.list_spread);
        top.duration("measuring", out_.measuring);
        bool zones = false;
        top.each("zone", 1, [&](const kdl::Node& z) {
            if (!zones) out_.zones.clear();
            zones = true;
            Properties(z, {}, 1, problems_);
            out_.zones.push_back(std::get<std::string>(z.arguments.front().scalar));
        });
        top.each("links", 0, [&](const kdl::Node& node) {
            Block b(node.children, node.position, "'links'", problems_);
            b.real("in-cell", out_.links.in_cell, 1, 1e12);
            b.real("rack", out_.links.rack, 1, 1e12);
            b.real("zone-factor", out_.links.zone_factor, 1, 1000);
            b.done();
        });
        top.each("network", 0, [&](const kdl::Node& node) {
            Block b(node.children, node.position, "'network'", problems_);
            b.duration("same-zone", out_.network.same_zone);
            b.duration("other-zone", out_.network.other_zone);
            b.duration("jitter", out_.network.jitter);
            b.real("bytes-per-second", out_.network.bytes_per_second, 0, 1e12);
            b.real("lost", out_.network.lost, 0, 1);
            b.done();
        });
        bool edge = false;
        top.each("edge", 0, [&](const kdl::Node& node) {
            edge = true;
            read_edge(node);
        });
        if (!edge && !based_) problems_.add({}, "the scenario needs 'edge' with the edges' settings");
        top.each("caches", 0, [&](const kdl::Node& node) {
            Block b(node.children, node.position, "'caches'", problems_);
            std::int64_t past = 0;
            b.real("lost", out_.caches.lost, 0, 1);
            if (b.integer("past", past, 0, 1'000'000)) out_.caches.past = static_cast<std::size_t>(past);
            b.done();
        });
        top.each("tls", 0, [&](const kdl::Node& node) {
            Block b(node.children, node.position, "'tls'", problems_);
            std::int64_t count = 0;
            if (b.integer("edges", count, 0, out_.edges)) out_.tls.edges = small(count);
            if (b.integer("renewals", count, 0, 10'000)) out_.tls.renewals = small(count);
            std::size_t tickets = 0;
            if (b.word("tickets", {"kept", "new"}, tickets)) out_.tls.keeps_tickets = tickets == 0;
            b.done();
        });
        top.each("arm", 1, [&](const kdl::Node& node) { arm(node); });
        top.each("engines", 1, [&](const kdl::Node& node) { engines(node); });
        top.each("traffic", 1, [&](const kdl::Node& node) { traffic(node); });
        if (double part = 1; top.real("engines-part", part, 0.001, 1)) {
            const int clients = out_.clients;
            // The base's troubles may name engines that go; those that stay are looked at below.
            auto faults = std::exchange(out_.faults, {});
            const int engines = small(std::lround(part * static_cast<double>(out_.engines.size())));
            const int edges = out_.edges;
            out_ = resized(std::move(out_), engines, edges);
            out_.clients = clients;
            out_.faults = std::move(faults);
        }
        top.each("troubles", 0, [&](const kdl::Node& node) {
            out_.faults.clear();
            faults(node);
        });
        for (const auto& t : out_.faults)
            if (!t.server.empty() && std::none_of(out_.engines.begin(), out_.engines.end(),
                                                  [&](const auto& e) { return e.name == t.server; }))
                problems_.add({}, "a trouble of the base names engine '" + t.server +
                                      "', which is not there with this 'engines-part'");
        top.done();
        if (out_.engines.empty()) problems_.add({}, "the scenario needs 'engines'");
        return std::move(out_);
    }

private:
    void read_edge(const kdl::Node& node) {
        // Kept as written, for the edges' own files; read here too, so that its errors show now.
        out_.edge_text =
            std::string(text_.substr(node.children_begin, node.children_end - node.children_begin));
        const std::string before(std::max<std::size_t>(1, node.position.line) - 1, '\n');
        auto settings = config::parse_settings(before + out_.edge_text, file_);
        if (settings) out_.edge = std::move(*settings);
        else
            for (const auto& p : settings.error()) problems_.add(p.position, "in 'edge': " + p.text);
    }

    void engines(const kdl::Node& node) {
        const Properties p(node, {"kind", "count"}, 1, problems_);
        EngineSpec spec;
        spec.kind = p.text("kind");
        std::int64_t count = 1;
        p.integer("count", count, 1, 1000);
        const auto& kinds = out_.edge.router.kinds;
        const auto kind =
            std::find_if(kinds.begin(), kinds.end(), [&](const auto& k) { return k.name == spec.kind; });
        if (kind == kinds.end())
            problems_.add(node.position, "kind '" + spec.kind + "' is none of the edge's kinds");
        else {
            spec.role = kind->role;
            const auto more = std::find_if(out_.edge.kinds.begin(), out_.edge.kinds.end(),
                                           [&](const auto& k) { return k.name == spec.kind; });
            spec.publishes = more != out_.edge.kinds.end() && more->cache_events;
            if (kind->memory_tokens > 0) spec.memory_tokens = kind->memory_tokens;
        }
        spec.slow_start_duration = out_.edge.router.slow_start_duration;
        spec.slow_start_initial_capacity = out_.edge.router.slow_start_initial_capacity;
        spec.overload_factor = out_.edge.router.slow_start_overload_factor;
        spec.overload_window = out_.edge.router.slow_start_overload_window;
        spec.read_in_place = out_.edge.router.prefill_on_decode_enabled;
        Block b(node.children, node.position, "'engines'", problems_);
        std::int64_t n = 0;
        if (b.integer("slots", n, 1, 100'000)) spec.slots = small(n);
        if (b.integer("queue", n, 0, 100'000)) spec.queue = small(n);
        b.real("memory-tokens", spec.memory_tokens, 1, 1e12);
        b.real("read-pace", spec.read_pace, 1, 1e12);
        b.duration("token-interval", spec.token_interval);
        b.real("crowding", spec.crowding, 0, 100);
        b.real("kept-tokens", spec.cache_capacity_tokens, 0, 1e12);
        b.duration("state-ttl", spec.state_ttl);
        b.done();
        out_.groups.push_back(
            {std::get<std::string>(node.arguments.front().scalar), std::move(spec), small(count)});
        place_engines(out_);
    }

    void traffic(const kdl::Node& node) {
        Properties(node, {}, 1, problems_);
        TrafficClass c;
        c.name = std::get<std::string>(node.arguments.front().scalar);
        const auto& classes = out_.edge.router.classes;
        if (std::none_of(classes.begin(), classes.end(), [&](const auto& k) { return k.name == c.name; }))
            problems_.add(node.position, "class '" + c.name + "' is none of the edge's classes");
        Block b(node.children, node.position, "'traffic'", problems_);
        std::int64_t n = 0;
        b.text("model", c.model, Need::required);
        b.real("share", c.share, 0, 1e6);
        b.real("streamed", c.stream_part, 0, 1);
        if (b.integer("turns", n, 1, 1000)) c.turns = small(n);
        if (b.integer("system-bytes", n, 0, 10'000'000)) c.system_bytes = small(n);
        if (b.integer("prefixes", n, 1, 100'000)) c.prefixes = small(n);
        if (b.integer("turn-bytes", n, 1, 10'000'000)) c.turn_bytes = small(n);
        if (b.integer("max-tokens", n, 1, 1'000'000)) c.max_tokens = small(n);
        b.duration("think", c.think);
        b.done();
        out_.traffic.push_back(std::move(c));
    }

    void arm(const kdl::Node& node) {
        Properties(node, {}, 1, problems_);
        Arm a;
        a.name = std::get<std::string>(node.arguments.front().scalar);
        Block b(node.children, node.position, "'arm'", problems_);
        std::size_t policy = 0;
        if (b.word("policy", {kPolicies.begin(), kPolicies.end()}, policy))
            a.policy = static_cast<PlacementPolicy>(policy);
        b.boolean("cache-events", a.cache_events);
        double lost = 0;
        if (b.real("lost", lost, 0, 1)) a.lost = lost;
        b.boolean("instant", a.instant);
        b.done();
        out_.arms.push_back(std::move(a));
    }

    void faults(const kdl::Node& node) {
        for (const auto& t : node.children) {
            const auto it = std::find(kFaults.begin(), kFaults.end(), t.name);
            if (it == kFaults.end()) {
                const auto near = config::nearest(t.name, {kFaults.begin(), kFaults.end()});
                problems_.add(t.position, "unknown trouble '" + t.name + "'" +
                                              (near.empty() ? "" : "; did you mean '" + near + "'?"));
                continue;
            }
            const Properties p(t,
                               {"at", "for", "server", "engines", "zone", "share", "factor", "part", "lag",
                                "notice", "times", "every"},
                               0, problems_);
            std::int64_t times = 1;
            Duration every{};
            Fault out;
            out.kind = static_cast<FaultKind>(it - kFaults.begin());
            if (!p.duration("at", out.at) || !p.duration("for", out.lasts))
                problems_.add(t.position, "'" + t.name + "' needs at= and for=");
            out.server = p.text("server");
            out.engines = p.text("engines");
            out.zone = p.text("zone");
            p.real("share", out.share, 0, 1);
            p.real("factor", out.factor, 0.01, 1000);
            p.real("part", out.part, 0, 1);
            p.duration("lag", out.lag);
            p.duration("notice", out.notice);
            const auto named = [&](const EngineSpec& e) { return e.name == out.server; };
            if (!out.server.empty() && std::none_of(out_.engines.begin(), out_.engines.end(), named))
                problems_.add(t.position, "no engine is called '" + out.server + "'");
            if (!out.zone.empty() &&
                std::find(out_.zones.begin(), out_.zones.end(), out.zone) == out_.zones.end())
                problems_.add(t.position, "no zone is called '" + out.zone + "'");
            if (out.kind == FaultKind::zone_loss && out.zone.empty())
                problems_.add(t.position, "'zone_loss' needs zone=");
            if (out.kind == FaultKind::wrong_name && out_.tls.edges == 0)
                problems_.add(t.position, "'wrong_name' needs 'tls' with edges");
            p.integer("times", times, 1, 10'000);
            p.duration("every", every);
            if (times > 1 && every <= Duration::zero()) problems_.add(t.position, "'times' needs every=");
            for (std::int64_t i = 0; i < times; ++i) {
                out_.faults.push_back(out);
                out.at += every;
            }
        }
    }

    const kdl::Document& document_;
    std::string_view text_;
    const std::string& file_;
    Problems& problems_;
    bool based_;
    Scenario out_;
};

}  // namespace

Scenario resized(Scenario s, int engines, int edges) {
    const double factor =
        static_cast<double>(engines) / std::max<double>(1, static_cast<double>(s.engines.size()));
    for (auto& group : s.groups)
        group.count = std::max(1, static_cast<int>(std::lround(group.count * factor)));
    s.clients = std::max(1, static_cast<int>(std::lround(s.clients * factor)));
    s.edges = std::max(1, edges);
    place_engines(s);
    for (const auto& t : s.faults)
        if (!t.server.empty() && std::none_of(s.engines.begin(), s.engines.end(),
                                              [&](const auto& e) { return e.name == t.server; }))
            throw std::invalid_argument("at this size there is no engine '" + t.server + "'");
    return s;
}

std::string_view name(FaultKind kind) { return kFaults[static_cast<std::size_t>(kind)]; }

std::optional<std::string> base_of(std::string_view text) {
    const auto document = kdl::parse(text);
    if (!document) return std::nullopt;
    for (const auto& node : document->nodes)
        if (node.name == "base" && !node.arguments.empty())
            if (const auto* name = std::get_if<std::string>(&node.arguments.front().scalar)) return *name;
    return std::nullopt;
}

std::string to_kdl(const Fault& t) {
    const auto ms = [](Duration d) {
        return "\"" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(d).count()) +
               "ms\"";
    };
    const auto real = [](double v) {
        std::array<char, 32> out{};
        std::snprintf(out.data(), out.size(), "%.3f", v);
        return std::string(out.data());
    };
    const auto named = [](const char* key, const std::string& value) {
        return value.empty() ? "" : std::string(" ") + key + "=\"" + value + "\"";
    };
    std::string out = std::string(name(t.kind)) + " at=" + ms(t.at) + " for=" + ms(t.lasts);
    out += named("server", t.server) + named("engines", t.engines) + named("zone", t.zone);
    return out + " share=" + real(t.share) + " factor=" + real(t.factor) + " part=" + real(t.part) +
           " lag=" + ms(t.lag) + " notice=" + ms(t.notice);
}

tl::expected<Scenario, std::vector<config::Problem>> parse_scenario(std::string_view text,
                                                                    const std::string& file,
                                                                    const Scenario* base) {
    Problems problems(file);
    const auto document = kdl::parse(text);
    if (!document) {
        problems.add(document.error().position, document.error().text);
        return tl::unexpected(problems.all());
    }
    auto scenario = Reader(*document, text, file, problems, base).read();
    if (!problems.all().empty()) return tl::unexpected(problems.all());
    return scenario;
}

}  // namespace chalksail::lab
