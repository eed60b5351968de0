#include "config/settings.hpp"

#include <set>

namespace chalksail::config {
namespace {

constexpr auto kRequired = Need::required;

std::string name_of(const kdl::Node& node) { return std::get<std::string>(node.arguments.front().scalar); }

class SettingsReader {
public:
    SettingsReader(const kdl::Document& document, Problems& problems)
        : document_(document), problems_(problems) {}

    EdgeSettings read() {
        defaults();
        Block top(document_.nodes, {}, "the settings", problems_);
        top.text("name", out_.name);
        top.text("zone", out_.module.zone);
        std::int64_t number = 0;
        if (top.whole("seed", number, 0, INT64_MAX)) out_.seed = static_cast<std::uint64_t>(number);
        top.address("listen", out_.listen);
        top.address("admin", *out_.admin);
        top.text("session-header", out_.session_header);
        top.flag("require-key", out_.require_key);
        top.real("tokens-per-byte", out_.tokens_per_byte, 0.01, 10);
        std::size_t choice = 0;
        if (top.word("load", {"none", "headers", "metrics"}, choice))
            out_.load = static_cast<LoadSource>(choice);
        static const std::vector<std::string> levels = {"debug", "info", "warn", "error"};
        if (top.word("log-level", levels, choice)) out_.log_level = levels[choice];
        top.each("model", 1, [&](const kdl::Node& n) {
            Properties(n, {}, 1, problems_);
            out_.models.push_back(name_of(n));
        });
        one(top, "gateways", [&](Block& b) { gateways(b); });
        one(top, "rules", [&](Block& b) { rules(b); });
        one(top, "limits", [&](Block& b) { limits(b); });
        one(top, "cache-events", [&](Block& b) {
            CacheEvents& c = out_.cache_events;
            std::size_t choice = 0;
            if (b.word("vocabulary", {"four-bytes", "tokenizer"}, choice))
                c.vocabulary = static_cast<Vocabulary>(choice);
            b.text("tokenizer", c.tokenizer);
            b.text("prompt-begin", c.prompt_begin);
            b.text("prompt-message", c.prompt_message);
            b.whole("blocks-per-server", c.blocks_per_server, 1, 100'000'000);
            b.whole("held-batches", c.held_batches, 1, 1'000'000);
            b.whole("queue", c.queue, 1, 1'000'000);
            b.size("message", c.message_bytes);
            b.duration("replay-timeout", c.replay_timeout);
            b.whole("turn-messages", c.turn_messages, 1, 1'000'000);
            b.size("turn-bytes", c.turn_bytes);
            b.duration("reconnect-least", c.reconnect_least);
            b.duration("reconnect-most", c.reconnect_most);
            b.text("snapshots", c.snapshots);
            b.duration("snapshot-every", c.snapshot_every);
            b.size("snapshots-bytes", c.snapshots_bytes);
        });
        one(top, "costs", [&](Block& b) {
            b.real("far", out_.module.cross_cell_cost, 0, 1e6);
            b.real("cross-zone", out_.module.cross_zone_cost, 0, 1e6);
        });
        top.each("class", 1, [&](const kdl::Node& n) { request_class(n); });
        top.each("kind", 1, [&](const kdl::Node& n) { kind(n); });
        top.each("tenant", 1, [&](const kdl::Node& n) { tenant(n); });
        top.each("server", 1, [&](const kdl::Node& n) { server(n); });
        std::optional<TlsConfig> all;
        top.each("tls", 0, [&](const kdl::Node& t) { server_tls(t, all); });
        if (all)
            for (auto& k : out_.kinds)
                if (!k.tls) k.tls = all;  // a kind's own goes before
        top.each("listener-tls", 0, [&](const kdl::Node& t) { listener_tls(t); });
        top.done();
        whole();
        return std::move(out_);
    }

private:
    void defaults() {
        Settings& m = out_.module;
        m.tick = std::chrono::milliseconds(4);
        m.answer_slack = std::chrono::milliseconds(16);
        m.release_within = std::chrono::milliseconds(300);
        m.slow_start_duration = std::chrono::seconds(12);
        m.slow_start_initial_capacity = 0.33;
        m.slow_start_overload_factor = 3;
        m.slow_start_overload_window = std::chrono::seconds(2);
        m.dial_timeout = std::chrono::milliseconds(250);
        m.max_retry_after = std::chrono::seconds(2);
        m.max_attempts = 4;
        m.over_quota_weight_factor = 0.1;
        m.cancellation_enabled = true;
        m.health_checks_enabled = true;
        m.weigh_by_work = true;
        m.prefill_on_decode_enabled = true;
    }

    template <class Read>
    void one(Block& top, const char* name, Read read) {
        bool seen = false;
        top.each(name, 0, [&](const kdl::Node& n) {
            if (seen) problems_.add(n.place, std::string("'") + name + "' is given twice");
            seen = true;
            Properties(n, {}, 0, problems_);
            Block b(n.children, n.place, std::string("'") + name + "'", problems_);
            read(b);
            b.done();
        });
    }

    void gateways(Block& b) {
        std::int64_t count = 1;
        std::int64_t me = 0;
        b.whole("count", count, 1, 100'000);
        b.whole("number", me, 0, count - 1);
        out_.module.gateways = static_cast<int>(count);
        out_.module.gateway = static_cast<int>(me);
    }

    void rules(Block& b) {
        Settings& m = out_.module;
        std::int64_t attempts = m.max_attempts;
        b.whole("max-attempts", attempts, 1, 16);
        m.max_attempts = static_cast<int>(attempts);
        b.duration("tick", m.tick);
        b.duration("answer-slack", m.answer_slack);
        b.duration("release-within", m.release_within);
        b.duration("cold-for", m.slow_start_duration);
        b.real("cold-from", m.slow_start_initial_capacity, 0.01, 1);
        b.real("fall-multiple", m.slow_start_overload_factor, 1, 100);
        b.duration("fall-window", m.slow_start_overload_window);
        b.duration("dial-timeout", m.dial_timeout);
        b.duration("max-retry-after", m.max_retry_after);
        b.real("over-share-worth", m.over_quota_weight_factor, 0, 1);
        b.flag("cancel", m.cancellation_enabled);
        b.flag("probes", m.health_checks_enabled);
        b.flag("worth-by-work", m.weigh_by_work);
        b.flag("read-in-place", m.prefill_on_decode_enabled);
    }

    void limits(Block& b) {
        EdgeLimits& l = out_.limits;
        b.size("head", l.head_bytes);
        b.size("body", l.body_bytes);
        b.whole("connections", l.connections, 1, 1'000'000);
        b.whole("open-requests", l.open_requests, 1, 1'000'000);
        b.whole("connections-per-server", l.per_server, 1, 100'000);
        b.whole("dial-queue", l.dial_queue, 0, 1'000'000);
        b.size("stream-buffer", l.stream_buffer);
        b.size("event", l.event_bytes);
        b.size("answer", l.answer_bytes);
        b.size("pipelined", l.pipelined_bytes);
        b.size("discarded", l.discarded_bytes);
        b.duration("head-timeout", l.head_timeout);
        b.duration("body-timeout", l.body_timeout);
        b.duration("idle-timeout", l.idle_timeout);
        b.duration("idle-pressed", l.idle_pressed);
        b.duration("first-timeout", l.first_timeout);
        b.duration("request-idle", l.request_idle);
        b.duration("linger", l.linger);
        b.size("request-bytes", l.request_bytes);
        b.size("unfinished-bytes", l.unfinished_bytes);
        b.whole("server-connections", l.server_connections, 0, 1'000'000);
        b.duration("server-rest", l.server_preferred_idle);
        b.duration("stall-timeout", l.stall_timeout);
        b.duration("stream-idle", l.stream_idle);
        b.duration("stream-longest", l.stream_longest);
        b.duration("server-idle", l.server_idle);
        b.duration("drain", l.drain);
        b.duration("call-timeout", l.release_timeout);
        b.duration("cancel-wait", l.cancel_wait);
        b.whole("handshakes", l.handshakes, 1, 1'000'000);
        b.whole("handshakes-per-server", l.handshakes_per_server, 1, 100'000);
        b.duration("unverified-pause", l.unverified_backoff);
        b.duration("unverified-longest", l.unverified_backoff_max);
        b.duration("tls-look", l.tls_poll_interval);
        b.whole("admin-connections", l.admin_connections, 1, 100'000);
        if (l.unverified_backoff <= Duration::zero() || l.unverified_backoff_max < l.unverified_backoff)
            problems_.add({}, "'unverified-pause' must be above 0, and 'unverified-longest' no shorter");
        if (l.tls_poll_interval < std::chrono::milliseconds(10))
            problems_.add({}, "'tls-look' must be 10ms or more");
    }

    void request_class(const kdl::Node& n) {
        Properties(n, {}, 1, problems_);
        RequestClassSettings c;
        ClassConfig more;
        c.name = more.name = name_of(n);
        if (!class_names_.insert(c.name).second)
            problems_.add(n.place, "class '" + c.name + "' is given twice");
        Block b(n.children, n.place, "class '" + c.name + "'", problems_);
        c.inter_token_objective = std::chrono::milliseconds(60);
        c.deduplication_window = std::chrono::seconds(5);
        b.duration("aim", c.first_token_objective, kRequired);
        b.duration("aim-per-1000-tokens", c.first_token_objective_per_1000_tokens);
        b.duration("token-aim", c.inter_token_objective);
        b.duration("deadline", c.deadline, kRequired);
        b.real("worth", c.priority_weight, 0, 1e6);
        b.real("late-worth", c.late_weight_factor, 0, 1);
        std::size_t choice = 0;
        if (b.word("effect", {"repeatable", "by-key", "once"}, choice))
            c.idempotency = static_cast<Idempotency>(choice);
        if (b.word("group", {"all", "zone", "cell"}, choice))
            c.deduplication_scope = static_cast<DeduplicationScope>(choice);
        b.duration("window", c.deduplication_window);
        b.flag("deadline-header", more.deadline_header);
        b.each("when", 0, [&](const kdl::Node& w) {
            const Properties p(w, {"model", "path", "header", "is"}, 0, problems_);
            ClassRule rule{p.text("model"), p.text("path"), p.text("header"), p.text("is")};
            if (rule.model.empty() && rule.path.empty() && rule.header.empty())
                problems_.add(w.place, "'when' wants a model, a path or a header");
            if (!rule.is.empty() && rule.header.empty()) problems_.add(w.place, "'is' goes with a header");
            more.rules.push_back(std::move(rule));
        });
        b.done();
        if (c.first_token_objective <= Duration::zero() || c.deadline < c.first_token_objective)
            problems_.add(n.place, "class '" + c.name + "': the aim must be above 0 and within the deadline");
        out_.module.classes.push_back(std::move(c));
        out_.classes.push_back(std::move(more));
    }

    void server_tls(const kdl::Node& t, std::optional<TlsConfig>& out) {
        TlsConfig tls;
        Block inner(t.children, t.place, "'tls'", problems_);
        inner.text("name", tls.name, kRequired);
        inner.text("trust", tls.trust, kRequired);
        inner.text("revocation", tls.revocation);
        inner.text("certificate", tls.certificate);
        inner.text("key", tls.key);
        inner.done();
        if (tls.certificate.empty() != tls.key.empty())
            problems_.add(t.place, "'tls' wants both 'certificate' and 'key', or neither");
        if (tls.name.empty() || tls.name.front() == '.')
            problems_.add(t.place, "'name' must be a host name or an address, or hold {name}");
        if (out) problems_.add(t.place, "'tls' is given twice");
        out = std::move(tls);
    }

    void listener_tls(const kdl::Node& node) {
        if (out_.listener_tls) problems_.add(node.place, "'listener-tls' is given twice");
        ListenerTls tls;
        Block b(node.children, node.place, "'listener-tls'", problems_);
        b.each("certificate", 1, [&](const kdl::Node& c) {
            const Properties p(c, {"key"}, 1, problems_);
            ListenerTls::Pair pair{std::get<std::string>(c.arguments.front().scalar), p.text("key")};
            if (pair.key.empty()) problems_.add(c.place, "'certificate' wants key=");
            tls.certificates.push_back(std::move(pair));
        });
        b.text("clients", tls.clients);
        b.done();
        if (tls.certificates.empty()) problems_.add(node.place, "'listener-tls' wants a 'certificate'");
        out_.listener_tls = std::move(tls);
    }

    void kind(const kdl::Node& n) {
        Properties(n, {}, 1, problems_);
        ServerKindSettings k;
        KindConfig more;
        k.name = more.name = name_of(n);
        if (!kind_names_.insert(k.name).second)
            problems_.add(n.place, "kind '" + k.name + "' is given twice");
        Block b(n.children, n.place, "kind '" + k.name + "'", problems_);
        std::size_t role = 0;
        if (b.word("role", {"prefill", "decode", "mixed"}, role, kRequired)) k.role = static_cast<Role>(role);
        b.real("memory-tokens", k.memory_tokens, 0, 1e12);
        b.wholes("not-run-status", more.not_run_statuses, 400, 599);
        b.flag("release", more.release);
        b.flag("cache-events", more.cache_events);
        b.each("tls", 0, [&](const kdl::Node& t) { server_tls(t, more.tls); });
        b.done();
        out_.module.kinds.push_back(std::move(k));
        out_.kinds.push_back(std::move(more));
    }

    void tenant(const kdl::Node& n) {
        Properties(n, {}, 1, problems_);
        TenantSettings t;
        TenantConfig more;
        t.name = more.name = name_of(n);
        if (!tenant_names_.insert(t.name).second)
            problems_.add(n.place, "tenant '" + t.name + "' is given twice");
        Block b(n.children, n.place, "tenant '" + t.name + "'", problems_);
        b.real("quota-per-second", t.quota_per_s, 0, 1e9, kRequired);
        b.each("key", 1, [&](const kdl::Node& k) {
            if (!keys_.insert(name_of(k)).second) problems_.add(k.place, "this key is given twice");
            more.keys.push_back(name_of(k));
        });
        b.done();
        out_.module.tenants.push_back(std::move(t));
        out_.tenants.push_back(std::move(more));
    }

    void server(const kdl::Node& n) {
        const Properties p(n, {"kind", "zone", "cell", "weight", "address", "events", "replay"}, 1,
                           problems_);
        ServerConfig s;
        s.name = name_of(n);
        s.kind = p.text("kind");
        s.zone = p.text("zone");
        p.whole("cell", s.cell, 0, 1'000'000);
        p.real("weight", s.weight, 0, 1e6);
        const auto address = parse_address(p.text("address"));
        if (!address || address->port == 0)
            problems_.add(n.place, "server '" + s.name + "' needs address=\"IP:PORT\"");
        else s.address = *address;
        for (const auto& [name, place] : {std::pair{"events", &s.events}, std::pair{"replay", &s.replay}}) {
            const auto text = p.text(name);
            if (text.empty()) continue;
            *place = parse_address(text);
            if (!*place || (*place)->port == 0)
                problems_.add(n.place, "server '" + s.name + "': " + name + "= must be \"IP:PORT\"");
        }
        if (!server_names_.insert(s.name).second)
            problems_.add(n.place, "server '" + s.name + "' is given twice");
        if (!n.children.empty()) problems_.add(n.place, "'server' has no children");
        kinds_used_.emplace_back(n.place, s.kind);
        out_.servers.push_back(std::move(s));
    }

    // What only the whole can tell.
    void whole() {
        if (out_.module.classes.empty()) problems_.add({}, "the settings need a 'class'");
        if (out_.module.kinds.empty()) problems_.add({}, "the settings need a 'kind'");
        for (const auto& [place, kind] : kinds_used_)
            if (!kind_names_.contains(kind)) {
                const auto near = nearest(kind, kind_names_);
                problems_.add(place, "unknown kind '" + kind + "'" +
                                         (near.empty() ? "" : "; did you mean '" + near + "'?"));
            }
        const CacheEvents& c = out_.cache_events;
        if (c.vocabulary == Vocabulary::tokenizer &&
            (c.tokenizer.empty() || c.prompt_message.find("{content}") == std::string::npos))
            problems_.add(
                {},
                "vocabulary \"tokenizer\" needs 'tokenizer', a file, and 'prompt-message', with {content}");
        if (out_.module.tick <= Duration::zero()) problems_.add({}, "'tick' must be above 0");
        if (out_.module.release_within < 4 * out_.module.tick)
            problems_.add({}, "'release-within' must be at least four times 'tick'");
        if (out_.require_key && keys_.empty()) problems_.add({}, "'require-key' needs tenants with keys");
        if (out_.load != LoadSource::none)
            out_.module.report_fields = {ReportField::active, ReportField::memory_share};
    }

    const kdl::Document& document_;
    Problems& problems_;
    EdgeSettings out_;
    std::set<std::string> class_names_, kind_names_, tenant_names_, server_names_, keys_;
    std::vector<std::pair<kdl::Place, std::string>> kinds_used_;
};

}  // namespace

SettingsResult parse_settings(std::string_view text, const std::string& file) {
    Problems problems(file);
    const auto document = kdl::parse(text);
    if (!document) {
        problems.add(document.error().place, document.error().text);
        return tl::unexpected(problems.all());
    }
    auto settings = SettingsReader(*document, problems).read();
    if (!problems.all().empty()) return tl::unexpected(problems.all());
    return settings;
}

}  // namespace chalksail::config
