#include "platform/settings.hpp"

#include <set>
#include <string>

#include "platform/fields.hpp"

namespace chalksail::platform {
namespace {

ReportField report_field(const std::string& name, const std::string& x0, const std::string& x1) {
    const auto meaning = name == "x0" ? x0 : name == "x1" ? x1 : name;
    if (meaning == "active") return ReportField::active;
    if (meaning.find("share of memory") != std::string::npos) return ReportField::memory_share;
    if (meaning.find("prompt tokens waiting") != std::string::npos) return ReportField::prompt_backlog;
    return ReportField::other;
}

// Guards against two entries of one name: whose settings a request gets would hang on their order.
template <class Entries>
void reject_same_names(const char* field, const Entries& entries) {
    std::set<std::string> names;
    for (const auto& entry : entries)
        if (!names.insert(entry.name).second) reject(field, "a name stands there twice");
}

}  // namespace

Settings read_settings(const Json& o) {
    Settings s;
    const Json& extra = object(o, "extra");
    const Json& limits = object(o, "limits");
    const Json& rules = object(o, "rules");
    const Json& report = object(o, "report");
    const auto aim_per_k = row<double>(extra, "aim_us_per_1000_prompt_tokens");
    const auto token_aim = row<double>(extra, "token_aim_ns");
    std::size_t i = 0;
    for (const auto& item : array(o, "classes").GetArray()) {
        if (!item.IsObject()) reject("classes", "objects wanted");
        RequestClassSettings c;
        c.name = required<std::string>(item, "name");
        c.first_token_objective = required<Duration>(item, "aim_ns");
        c.deadline = required<Duration>(item, "deadline_ns");
        c.idempotency = word<Idempotency>(item, "effect",
                                          {{"repeatable", Idempotency::idempotent},
                                           {"by_key", Idempotency::idempotent_by_key},
                                           {"once", Idempotency::non_idempotent}});
        if (find(item, "group"))
            c.deduplication_scope = word<DeduplicationScope>(item, "group",
                                                             {{"all", DeduplicationScope::all},
                                                              {"zone", DeduplicationScope::zone},
                                                              {"cell", DeduplicationScope::cell}});
        c.deduplication_window = optional<Duration>(item, "window_ns");
        c.priority_weight = required<double>(item, "gain");
        c.late_weight_factor = optional<double>(item, "late_worth");
        if (i < aim_per_k.size())
            c.first_token_objective_per_1000_tokens =
                Duration(static_cast<std::int64_t>(aim_per_k[i] * 1000));
        if (i < token_aim.size()) c.inter_token_objective = Duration(static_cast<std::int64_t>(token_aim[i]));
        s.classes.push_back(c);
        ++i;
    }
    const auto names = row<std::string>(o, "skus");
    const auto duties = row<std::string>(extra, "duty_by_kind");
    const auto memory = row<double>(extra, "tokens_by_kind");
    for (i = 0; i < names.size(); ++i) {
        ServerKindSettings kind{names[i], Role::mixed, i < memory.size() ? memory[i] : 0};
        if (i >= duties.size()) reject("duty_by_kind", "one entry for each kind wanted");
        if (duties[i] == "read") kind.role = Role::prefill;
        else if (duties[i] == "write") kind.role = Role::decode;
        else if (duties[i] != "both") reject("duty_by_kind", "unknown word");
        s.kinds.push_back(kind);
    }
    if (const Json* tenants = find(o, "tenants")) {
        if (!tenants->IsArray()) reject("tenants", "array wanted");
        for (const auto& item : tenants->GetArray()) {
            if (!item.IsObject()) reject("tenants", "objects wanted");
            s.tenants.push_back({required<std::string>(item, "name"), optional<double>(item, "quota_per_s")});
        }
    }
    reject_same_names("classes", s.classes);
    reject_same_names("skus", s.kinds);
    reject_same_names("tenants", s.tenants);
    const auto x0 = optional<std::string>(extra, "report_x0");
    const auto x1 = optional<std::string>(extra, "report_x1");
    for (const auto& name : row<std::string>(report, "fields"))
        s.report_fields.push_back(report_field(name, x0, x1));
    s.zone = optional<std::string>(o, "az");
    s.gateway = required<int>(o, "me");
    s.gateways = required<int>(o, "fleet_size");
    s.tick = required<Duration>(o, "tick_ns");
    s.answer_slack = optional<Duration>(rules, "answer_slack_ns");
    s.release_within = optional<Duration>(extra, "release_within_ns");
    s.slow_start_duration = optional<Duration>(rules, "cold_ns");
    s.slow_start_initial_capacity = required<double>(rules, "cold_from");
    s.slow_start_overload_factor = required<double>(rules, "fall_multiple");
    s.slow_start_overload_window = required<Duration>(rules, "fall_ns");
    s.poll_within = optional<Duration>(rules, "ask_within_ns");
    s.dial_timeout = optional<Duration>(limits, "dial_timeout_ns");
    s.max_retry_after = optional<Duration>(limits, "max_retry_after_ns");
    if (!optional<bool>(limits, "retry_after")) s.max_retry_after = Duration::zero();
    s.max_attempts = required<int>(limits, "send_cap");
    s.cancellation_enabled = optional<bool>(limits, "cancel");
    s.health_checks_enabled = optional<bool>(limits, "probes");
    s.hedging_enabled = optional<bool>(limits, "second_copies");
    s.over_quota_weight_factor = optional<double>(o, "over_share_worth");
    s.cross_cell_cost = optional<double>(extra, "far_price");
    if (const Json* costs = find(o, "costs"); costs && costs->IsObject())
        s.cross_zone_cost = optional<double>(*costs, "cross_zone");
    s.weigh_by_work = optional<std::string>(o, "value_by") == "work";
    s.endpoint_watch_required = required<std::string>(o, "discovery") == "ask";
    s.early_reservation_enabled = optional<bool>(extra, "early_pairing");
    s.prefill_on_decode_enabled = optional<bool>(extra, "read_in_place");
    s.stream_resumption_enabled = optional<bool>(extra, "resume");
    return s;
}

}  // namespace chalksail::platform
