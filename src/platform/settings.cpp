#include "platform/settings.hpp"

#include <set>
#include <string>

#include "platform/fields.hpp"

namespace chalksail::platform {
namespace {

// Rejects duplicate names, which would make a request's settings depend on the order of the entries.
template <class Entries>
void reject_duplicate_names(const char* field, const Entries& entries) {
    std::set<std::string> names;
    for (const auto& entry : entries)
        if (!names.insert(entry.name).second) reject(field, "a name stands there twice");
}

RequestClassSettings read_class(const Json& item) {
    if (!item.IsObject()) reject("classes", "must contain only objects");
    RequestClassSettings settings;
    settings.name = required<std::string>(item, "name");
    settings.first_token_objective = required<Duration>(item, "aim_ns");
    settings.deadline = required<Duration>(item, "deadline_ns");
    settings.idempotency = word<Idempotency>(item, "effect",
                                             {{"repeatable", Idempotency::idempotent},
                                              {"by_key", Idempotency::idempotent_by_key},
                                              {"once", Idempotency::non_idempotent}});
    if (find(item, "group"))
        settings.deduplication_scope = word<DeduplicationScope>(item, "group",
                                                                {{"all", DeduplicationScope::all},
                                                                 {"zone", DeduplicationScope::zone},
                                                                 {"cell", DeduplicationScope::cell}});
    settings.deduplication_window = optional<Duration>(item, "window_ns");
    settings.priority_weight = required<double>(item, "gain");
    settings.late_weight_factor = optional<double>(item, "late_worth");
    return settings;
}

// Reads the classes. Their token objectives are in separate arrays, in the order of the classes.
void read_classes(const Json& options, const Json& extra, Settings& settings) {
    const auto per_1000_tokens_us = row<double>(extra, "aim_us_per_1000_prompt_tokens");
    const auto inter_token_ns = row<double>(extra, "token_aim_ns");
    for (const auto& item : array(options, "classes").GetArray()) {
        RequestClassSettings request_class = read_class(item);
        const std::size_t i = settings.classes.size();
        if (i < per_1000_tokens_us.size())
            request_class.first_token_objective_per_1000_tokens =
                Duration(static_cast<std::int64_t>(per_1000_tokens_us[i] * 1000));
        if (i < inter_token_ns.size())
            request_class.inter_token_objective = Duration(static_cast<std::int64_t>(inter_token_ns[i]));
        settings.classes.push_back(std::move(request_class));
    }
}

Role read_role(const std::string& duty) {
    if (duty == "read") return Role::prefill;
    if (duty == "write") return Role::decode;
    if (duty != "both") reject("duty_by_kind", "unknown value");
    return Role::mixed;
}

void read_kinds(const Json& options, const Json& extra, Settings& settings) {
    const auto names = row<std::string>(options, "skus");
    const auto duties = row<std::string>(extra, "duty_by_kind");
    const auto memory_tokens = row<double>(extra, "tokens_by_kind");
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (i >= duties.size()) reject("duty_by_kind", "must have one entry for each kind in 'skus'");
        const double memory = i < memory_tokens.size() ? memory_tokens[i] : 0;
        settings.kinds.push_back({names[i], read_role(duties[i]), memory});
    }
}

void read_tenants(const Json& options, Settings& settings) {
    const Json* tenants = find(options, "tenants");
    if (tenants == nullptr) return;
    if (!tenants->IsArray()) reject("tenants", "must be an array");
    for (const auto& item : tenants->GetArray()) {
        if (!item.IsObject()) reject("tenants", "must contain only objects");
        settings.tenants.push_back(
            {required<std::string>(item, "name"), optional<double>(item, "quota_per_s")});
    }
}

// Maps a field's name to its meaning. The fields "x0" and "x1" are identified by their descriptions.
ReportField read_report_field(const std::string& name, const std::string& x0, const std::string& x1) {
    const auto meaning = name == "x0" ? x0 : name == "x1" ? x1 : name;
    if (meaning == "active") return ReportField::active;
    if (meaning.find("share of memory") != std::string::npos) return ReportField::memory_share;
    if (meaning.find("prompt tokens waiting") != std::string::npos) return ReportField::prompt_backlog;
    return ReportField::other;
}

void read_report_fields(const Json& extra, const Json& report, Settings& settings) {
    const auto x0 = optional<std::string>(extra, "report_x0");
    const auto x1 = optional<std::string>(extra, "report_x1");
    for (const auto& name : row<std::string>(report, "fields"))
        settings.report_fields.push_back(read_report_field(name, x0, x1));
}

void read_gateway(const Json& options, Settings& settings) {
    settings.zone = optional<std::string>(options, "az");
    settings.gateway = required<int>(options, "me");
    settings.gateways = required<int>(options, "fleet_size");
    settings.tick = required<Duration>(options, "tick_ns");
}

void read_rules(const Json& rules, Settings& settings) {
    settings.slow_start_duration = optional<Duration>(rules, "cold_ns");
    settings.slow_start_initial_capacity = required<double>(rules, "cold_from");
    settings.slow_start_overload_factor = required<double>(rules, "fall_multiple");
    settings.slow_start_overload_window = required<Duration>(rules, "fall_ns");
    settings.poll_within = optional<Duration>(rules, "ask_within_ns");
}

void read_limits(const Json& limits, Settings& settings) {
    settings.dial_timeout = optional<Duration>(limits, "dial_timeout_ns");
    settings.max_retry_after = optional<Duration>(limits, "max_retry_after_ns");
    if (!optional<bool>(limits, "retry_after")) settings.max_retry_after = Duration::zero();
    settings.max_attempts = required<int>(limits, "send_cap");
    settings.cancellation_enabled = optional<bool>(limits, "cancel");
    settings.health_checks_enabled = optional<bool>(limits, "probes");
    settings.hedging_enabled = optional<bool>(limits, "second_copies");
}

void read_costs(const Json& options, const Json& extra, Settings& settings) {
    settings.over_quota_weight_factor = optional<double>(options, "over_share_worth");
    settings.cross_cell_cost = optional<double>(extra, "far_price");
    if (const Json* costs = find(options, "costs"); costs && costs->IsObject())
        settings.cross_zone_cost = optional<double>(*costs, "cross_zone");
    settings.weigh_by_work = optional<std::string>(options, "value_by") == "work";
}

}  // namespace

Settings read_settings(const Json& options) {
    // The order of the calls decides which of several errors is reported.
    Settings settings;
    const Json& extra = object(options, "extra");
    const Json& limits = object(options, "limits");
    const Json& rules = object(options, "rules");
    const Json& report = object(options, "report");
    read_classes(options, extra, settings);
    read_kinds(options, extra, settings);
    read_tenants(options, settings);
    reject_duplicate_names("classes", settings.classes);
    reject_duplicate_names("skus", settings.kinds);
    reject_duplicate_names("tenants", settings.tenants);
    read_report_fields(extra, report, settings);
    read_gateway(options, settings);
    settings.answer_slack = optional<Duration>(rules, "answer_slack_ns");
    settings.release_within = optional<Duration>(extra, "release_within_ns");
    read_rules(rules, settings);
    read_limits(limits, settings);
    read_costs(options, extra, settings);
    settings.endpoint_watch_required = required<std::string>(options, "discovery") == "ask";
    settings.early_reservation_enabled = optional<bool>(extra, "early_pairing");
    settings.prefill_on_decode_enabled = optional<bool>(extra, "read_in_place");
    settings.stream_resumption_enabled = optional<bool>(extra, "resume");
    return settings;
}

}  // namespace chalksail::platform
