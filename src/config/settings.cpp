#include "config/settings.hpp"

#include <set>

namespace chalksail::config {
namespace {

constexpr auto kRequired = Need::required;

std::string name_of(const kdl::Node& node) { return std::get<std::string>(node.arguments.front().scalar); }

// Reads the settings from a document; use once. Problems are reported in the order in which settings are
// read.
class SettingsReader {
public:
    SettingsReader(const kdl::Document& document, Problems& problems)
        : document_(document), problems_(problems) {}

    EdgeSettings read() {
        set_defaults();
        Block top(document_.nodes, {}, "the settings", problems_);
        read_general(top);
        once(top, "gateways", [&](Block& block) { read_gateways(block); });
        once(top, "rules", [&](Block& block) { read_rules(block); });
        once(top, "limits", [&](Block& block) { read_limits(block); });
        once(top, "cache-events", [&](Block& block) { read_cache_events(block); });
        once(top, "costs", [&](Block& block) {
            block.real("far", out_.router.cross_cell_cost, 0, 1e6);
            block.real("cross-zone", out_.router.cross_zone_cost, 0, 1e6);
        });
        top.each("class", 1, [&](const kdl::Node& node) { read_class(node); });
        top.each("kind", 1, [&](const kdl::Node& node) { read_kind(node); });
        top.each("tenant", 1, [&](const kdl::Node& node) { read_tenant(node); });
        top.each("server", 1, [&](const kdl::Node& node) { read_server(node); });
        read_tls(top);
        top.done();
        check();
        return std::move(out_);
    }

private:
    void set_defaults() {
        Settings& router = out_.router;
        router.tick = std::chrono::milliseconds(4);
        router.answer_slack = std::chrono::milliseconds(16);
        router.release_within = std::chrono::milliseconds(300);
        router.slow_start_duration = std::chrono::seconds(12);
        router.slow_start_initial_capacity = 0.33;
        router.slow_start_overload_factor = 3;
        router.slow_start_overload_window = std::chrono::seconds(2);
        router.dial_timeout = std::chrono::milliseconds(250);
        router.max_retry_after = std::chrono::seconds(2);
        router.max_attempts = 4;
        router.over_quota_weight_factor = 0.1;
        router.cancellation_enabled = true;
        router.health_checks_enabled = true;
        router.weigh_by_work = true;
        router.prefill_on_decode_enabled = true;
    }

    // Reads a block that has no arguments and may occur at most once.
    template <class Read>
    void once(Block& top, const char* name, Read read) {
        bool seen = false;
        top.each(name, 0, [&](const kdl::Node& node) {
            if (seen) problems_.add(node.position, std::string("'") + name + "' is given twice");
            seen = true;
            Properties(node, {}, 0, problems_);
            Block block(node.children, node.position, std::string("'") + name + "'", problems_);
            read(block);
            block.done();
        });
    }

    // Adds a problem if `names` already contains the node's name. Returns a description of the node for other
    // problems, such as "class 'chat'".
    std::string unique_name(const char* what, const kdl::Node& node, std::set<std::string>& names) {
        const std::string name = name_of(node);
        std::string described = std::string(what) + " '" + name + "'";
        if (!names.insert(name).second) problems_.add(node.position, described + " is given twice");
        return described;
    }

    void read_general(Block& top) {
        top.text("name", out_.name);
        top.text("zone", out_.router.zone);
        std::int64_t seed = 0;
        if (top.integer("seed", seed, 0, INT64_MAX)) out_.seed = static_cast<std::uint64_t>(seed);
        top.address("listen", out_.listen);
        top.address("admin", *out_.admin);
        top.text("session-header", out_.session_header);
        top.boolean("require-key", out_.require_key);
        top.real("tokens-per-byte", out_.tokens_per_byte, 0.01, 10);
        top.word("load", {"none", "headers", "metrics"}, out_.load_source);
        static const std::vector<std::string> levels = {"debug", "info", "warn", "error"};
        std::size_t level = 0;
        if (top.word("log-level", levels, level)) out_.log_level = levels[level];
        top.each("model", 1, [&](const kdl::Node& node) {
            Properties(node, {}, 1, problems_);
            out_.models.push_back(name_of(node));
        });
    }

    void read_cache_events(Block& block) {
        CacheEvents& events = out_.cache_events;
        block.word("vocabulary", {"four-bytes", "tokenizer"}, events.vocabulary);
        block.text("tokenizer", events.tokenizer);
        block.text("prompt-begin", events.prompt_begin);
        block.text("prompt-message", events.prompt_message);
        block.integer("blocks-per-server", events.blocks_per_server, 1, 100'000'000);
        block.integer("held-batches", events.max_buffered_batches, 1, 1'000'000);
        block.integer("queue", events.max_queued_messages, 1, 1'000'000);
        block.size("message", events.message_bytes);
        block.duration("replay-timeout", events.replay_timeout);
        block.integer("turn-messages", events.turn_messages, 1, 1'000'000);
        block.size("turn-bytes", events.turn_bytes);
        block.duration("reconnect-least", events.reconnect_min);
        block.duration("reconnect-most", events.reconnect_max);
        block.text("snapshots", events.snapshot_folder);
        block.duration("snapshot-every", events.snapshot_interval);
        block.size("snapshots-bytes", events.snapshot_folder_bytes);
    }

    void read_gateways(Block& block) {
        std::int64_t count = 1;
        std::int64_t number = 0;
        block.integer("count", count, 1, 100'000);
        block.integer("number", number, 0, count - 1);
        out_.router.gateways = static_cast<int>(count);
        out_.router.gateway = static_cast<int>(number);
    }

    void read_rules(Block& block) {
        Settings& router = out_.router;
        std::int64_t attempts = router.max_attempts;
        block.integer("max-attempts", attempts, 1, 16);
        router.max_attempts = static_cast<int>(attempts);
        block.duration("tick", router.tick);
        block.duration("answer-slack", router.answer_slack);
        block.duration("release-within", router.release_within);
        block.duration("cold-for", router.slow_start_duration);
        block.real("cold-from", router.slow_start_initial_capacity, 0.01, 1);
        block.real("fall-multiple", router.slow_start_overload_factor, 1, 100);
        block.duration("fall-window", router.slow_start_overload_window);
        block.duration("dial-timeout", router.dial_timeout);
        block.duration("max-retry-after", router.max_retry_after);
        block.real("over-share-worth", router.over_quota_weight_factor, 0, 1);
        block.boolean("cancel", router.cancellation_enabled);
        block.boolean("probes", router.health_checks_enabled);
        block.boolean("worth-by-work", router.weigh_by_work);
        block.boolean("read-in-place", router.prefill_on_decode_enabled);
    }

    void read_limits(Block& block) {
        EdgeLimits& limits = out_.limits;
        block.size("head", limits.head_bytes);
        block.size("body", limits.body_bytes);
        block.integer("connections", limits.client_connections, 1, 1'000'000);
        block.integer("open-requests", limits.open_requests, 1, 1'000'000);
        block.integer("connections-per-server", limits.connections_per_server, 1, 100'000);
        block.integer("dial-queue", limits.dial_queue, 0, 1'000'000);
        block.size("stream-buffer", limits.stream_buffer_bytes);
        block.size("event", limits.event_bytes);
        block.size("answer", limits.response_bytes);
        block.size("stream-bytes", limits.max_stream_bytes);
        block.size("pipelined", limits.pipelined_bytes);
        block.size("discarded", limits.discarded_bytes);
        block.duration("head-timeout", limits.head_timeout);
        block.duration("body-timeout", limits.body_timeout);
        block.duration("idle-timeout", limits.idle_timeout);
        block.duration("idle-pressed", limits.idle_timeout_under_pressure);
        block.duration("first-timeout", limits.first_timeout);
        block.duration("request-idle", limits.request_idle_timeout);
        block.duration("linger", limits.linger);
        block.size("request-bytes", limits.request_bytes);
        block.size("unfinished-bytes", limits.unfinished_bytes);
        block.integer("server-connections", limits.server_connections, 0, 1'000'000);
        block.duration("server-rest", limits.server_reuse_delay);
        block.duration("server-rest-increased", limits.server_reuse_delay_increased);
        block.duration("server-rest-increased-for", limits.server_reuse_delay_increased_for);
        block.duration("stall-timeout", limits.stall_timeout);
        block.duration("stream-idle", limits.stream_idle_timeout);
        block.duration("stream-longest", limits.max_stream_duration);
        block.duration("server-idle", limits.server_idle_timeout);
        block.duration("drain", limits.drain_timeout);
        block.duration("call-timeout", limits.release_timeout);
        block.duration("cancel-wait", limits.cancel_wait);
        block.integer("handshakes", limits.handshakes, 1, 1'000'000);
        block.integer("handshakes-per-server", limits.handshakes_per_server, 1, 100'000);
        block.duration("unverified-pause", limits.unverified_backoff);
        block.duration("unverified-longest", limits.unverified_backoff_max);
        block.duration("tls-look", limits.tls_poll_interval);
        block.integer("admin-connections", limits.admin_connections, 1, 100'000);
        if (limits.unverified_backoff <= Duration::zero() ||
            limits.unverified_backoff_max < limits.unverified_backoff)
            problems_.add({}, "'unverified-pause' must be above 0 and at most 'unverified-longest'");
        if (limits.tls_poll_interval < std::chrono::milliseconds(10))
            problems_.add({}, "'tls-look' must be 10ms or more");
    }

    void read_class(const kdl::Node& node) {
        Properties(node, {}, 1, problems_);
        RequestClassSettings settings;
        ClassConfig config;
        settings.name = config.name = name_of(node);
        const std::string described = unique_name("class", node, class_names_);
        Block block(node.children, node.position, described, problems_);
        settings.inter_token_objective = std::chrono::milliseconds(60);
        settings.deduplication_window = std::chrono::seconds(5);
        block.duration("aim", settings.first_token_objective, kRequired);
        block.duration("aim-per-1000-tokens", settings.first_token_objective_per_1000_tokens);
        block.duration("token-aim", settings.inter_token_objective);
        block.duration("deadline", settings.deadline, kRequired);
        block.real("worth", settings.priority_weight, 0, 1e6);
        block.real("late-worth", settings.late_weight_factor, 0, 1);
        block.word("effect", {"repeatable", "by-key", "once"}, settings.idempotency);
        block.word("group", {"all", "zone", "cell"}, settings.deduplication_scope);
        block.duration("window", settings.deduplication_window);
        block.boolean("deadline-header", config.deadline_header);
        block.each("when", 0, [&](const kdl::Node& when) { config.rules.push_back(read_class_rule(when)); });
        block.done();
        if (settings.first_token_objective <= Duration::zero() ||
            settings.deadline < settings.first_token_objective)
            problems_.add(node.position, described + ": 'aim' must be above 0 and at most 'deadline'");
        out_.router.classes.push_back(std::move(settings));
        out_.classes.push_back(std::move(config));
    }

    ClassRule read_class_rule(const kdl::Node& when) {
        const Properties properties(when, {"model", "path", "header", "is"}, 0, problems_);
        ClassRule rule{properties.text("model"), properties.text("path"), properties.text("header"),
                       properties.text("is")};
        if (rule.model.empty() && rule.path.empty() && rule.header.empty())
            problems_.add(when.position, "'when' must have a model, a path or a header");
        if (!rule.header_value.empty() && rule.header.empty())
            problems_.add(when.position, "'is' requires a header");
        return rule;
    }

    void read_tls(Block& top) {
        std::optional<TlsConfig> for_all_kinds;
        top.each("tls", 0, [&](const kdl::Node& node) { read_server_tls(node, for_all_kinds); });
        if (for_all_kinds)
            for (auto& kind : out_.kinds)
                if (!kind.tls) kind.tls = for_all_kinds;
        top.each("listener-tls", 0, [&](const kdl::Node& node) { read_listener_tls(node); });
    }

    void read_server_tls(const kdl::Node& node, std::optional<TlsConfig>& out) {
        TlsConfig tls;
        Block block(node.children, node.position, "'tls'", problems_);
        block.text("name", tls.name, kRequired);
        block.text("trust", tls.trusted_cas, kRequired);
        block.text("revocation", tls.revocation);
        block.text("certificate", tls.certificate);
        block.text("key", tls.key);
        block.done();
        if (tls.certificate.empty() != tls.key.empty())
            problems_.add(node.position, "'tls' must have both 'certificate' and 'key', or neither");
        if (tls.name.empty() || tls.name.front() == '.')
            problems_.add(node.position,
                          "'name' must be a host name, an address, or a pattern that contains {name}");
        if (out) problems_.add(node.position, "'tls' is given twice");
        out = std::move(tls);
    }

    void read_listener_tls(const kdl::Node& node) {
        if (out_.listener_tls) problems_.add(node.position, "'listener-tls' is given twice");
        ListenerTls tls;
        Block block(node.children, node.position, "'listener-tls'", problems_);
        block.each("certificate", 1, [&](const kdl::Node& certificate) {
            const Properties properties(certificate, {"key"}, 1, problems_);
            ListenerTls::CertificateFiles pair{std::get<std::string>(certificate.arguments.front().scalar),
                                               properties.text("key")};
            if (pair.key.empty()) problems_.add(certificate.position, "'certificate' needs key=");
            tls.certificates.push_back(std::move(pair));
        });
        block.text("clients", tls.client_cas);
        block.done();
        if (tls.certificates.empty()) problems_.add(node.position, "'listener-tls' needs a 'certificate'");
        out_.listener_tls = std::move(tls);
    }

    void read_kind(const kdl::Node& node) {
        Properties(node, {}, 1, problems_);
        ServerKindSettings settings;
        KindConfig config;
        settings.name = config.name = name_of(node);
        Block block(node.children, node.position, unique_name("kind", node, kind_names_), problems_);
        block.word("role", {"prefill", "decode", "mixed"}, settings.role, kRequired);
        block.real("memory-tokens", settings.memory_tokens, 0, 1e12);
        block.integers("not-run-status", config.not_run_statuses, 400, 599);
        block.boolean("release", config.release);
        block.boolean("cache-events", config.cache_events);
        block.each("tls", 0, [&](const kdl::Node& tls) { read_server_tls(tls, config.tls); });
        block.done();
        out_.router.kinds.push_back(std::move(settings));
        out_.kinds.push_back(std::move(config));
    }

    void read_tenant(const kdl::Node& node) {
        Properties(node, {}, 1, problems_);
        TenantSettings settings;
        TenantConfig config;
        settings.name = config.name = name_of(node);
        Block block(node.children, node.position, unique_name("tenant", node, tenant_names_), problems_);
        block.real("quota-per-second", settings.quota_per_s, 0, 1e9, kRequired);
        block.each("key", 1, [&](const kdl::Node& key) {
            if (!keys_.insert(name_of(key)).second)
                problems_.add(key.position, "this API key is given twice");
            config.keys.push_back(name_of(key));
        });
        block.done();
        out_.router.tenants.push_back(std::move(settings));
        out_.tenants.push_back(std::move(config));
    }

    void read_server(const kdl::Node& node) {
        const Properties properties(node, {"kind", "zone", "cell", "weight", "address", "events", "replay"},
                                    1, problems_);
        ServerConfig server;
        server.name = name_of(node);
        server.kind = properties.text("kind");
        server.zone = properties.text("zone");
        properties.integer("cell", server.cell, 0, 1'000'000);
        properties.real("weight", server.weight, 0, 1e6);
        const auto address = parse_address(properties.text("address"));
        if (!address || address->port == 0)
            problems_.add(node.position, "server '" + server.name + "' needs address=\"IP:PORT\"");
        else server.address = *address;
        for (const auto& [name, position] :
             {std::pair{"events", &server.events}, std::pair{"replay", &server.replay}}) {
            const auto text = properties.text(name);
            if (text.empty()) continue;
            *position = parse_address(text);
            if (!*position || (*position)->port == 0)
                problems_.add(node.position,
                              "server '" + server.name + "': " + name + "= must be \"IP:PORT\"");
        }
        unique_name("server", node, server_names_);
        if (!node.children.empty()) problems_.add(node.position, "'server' must not have children");
        kinds_used_.emplace_back(node.position, server.kind);
        out_.servers.push_back(std::move(server));
    }

    // Checks rules that involve several settings.
    void check() {
        Settings& router = out_.router;
        if (router.classes.empty()) problems_.add({}, "the settings need a 'class'");
        if (router.kinds.empty()) problems_.add({}, "the settings need a 'kind'");
        for (const auto& [position, kind] : kinds_used_)
            if (!kind_names_.contains(kind))
                problems_.add(position, "unknown kind '" + kind + "'" + did_you_mean(kind, kind_names_));
        const CacheEvents& events = out_.cache_events;
        if (events.vocabulary == Vocabulary::tokenizer &&
            (events.tokenizer.empty() || events.prompt_message.find("{content}") == std::string::npos))
            problems_.add({},
                          "vocabulary \"tokenizer\" needs the file 'tokenizer' and a 'prompt-message' that "
                          "contains {content}");
        if (router.tick <= Duration::zero()) problems_.add({}, "'tick' must be above 0");
        if (router.release_within < 4 * router.tick)
            problems_.add({}, "'release-within' must be at least four times 'tick'");
        if (out_.require_key && keys_.empty())
            problems_.add({}, "'require-key' needs at least one tenant with a key");
        if (out_.load_source != LoadSource::none)
            router.report_fields = {ReportField::active, ReportField::memory_share};
    }

    const kdl::Document& document_;
    Problems& problems_;
    EdgeSettings out_;
    std::set<std::string> class_names_, kind_names_, tenant_names_, server_names_, keys_;
    std::vector<std::pair<kdl::SourcePosition, std::string>> kinds_used_;  // kinds of the servers
};

}  // namespace

SettingsResult parse_settings(std::string_view text, const std::string& file) {
    Problems problems(file);
    const auto document = kdl::parse(text);
    if (!document) {
        problems.add(document.error().position, document.error().text);
        return tl::unexpected(problems.all());
    }
    auto settings = SettingsReader(*document, problems).read();
    if (!problems.all().empty()) return tl::unexpected(problems.all());
    return settings;
}

}  // namespace chalksail::config
