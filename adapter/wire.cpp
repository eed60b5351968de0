#include "wire.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <limits>
#include <map>

namespace chalksail::wire {
namespace {

using Json = rapidjson::Value;

[[noreturn]] void reject(const char* field, const char* wanted) {
    throw BadLine(std::string("field '") + field + "': " + wanted);
}

const Json* find(const Json& object, const char* field) {
    const auto it = object.FindMember(field);
    return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
const Json& need(const Json& object, const char* field) {
    const Json* value = find(object, field);
    if (value == nullptr) reject(field, "missing");
    return *value;
}

template <class T>
T convert(const Json& value, const char* field);
template <>
std::string convert(const Json& value, const char* field) {
    if (!value.IsString()) reject(field, "text wanted");
    return {value.GetString(), value.GetStringLength()};
}
template <>
double convert(const Json& value, const char* field) {
    if (!value.IsNumber() || !std::isfinite(value.GetDouble())) reject(field, "number wanted");
    return value.GetDouble();
}
template <>
bool convert(const Json& value, const char* field) {
    if (!value.IsBool()) reject(field, "true or false wanted");
    return value.GetBool();
}
template <>
std::int64_t convert(const Json& value, const char* field) {
    if (value.IsInt64()) return value.GetInt64();
    // Settings may carry whole numbers with a decimal point.
    if (!value.IsDouble() || std::abs(value.GetDouble()) > 9e18) reject(field, "whole number wanted");
    const double number = value.GetDouble();
    if (number != std::floor(number)) reject(field, "whole number wanted");
    return static_cast<std::int64_t>(number);
}
template <>
std::uint64_t convert(const Json& value, const char* field) {
    if (!value.IsUint64()) reject(field, "whole number of 0 or more wanted");
    return value.GetUint64();
}
template <>
int convert(const Json& value, const char* field) {
    const auto number = convert<std::int64_t>(value, field);
    if (number < std::numeric_limits<int>::min() || number > std::numeric_limits<int>::max())
        reject(field, "number out of range");
    return static_cast<int>(number);
}
template <>
Duration convert(const Json& value, const char* field) {
    return Duration(convert<std::int64_t>(value, field));
}

template <class T>
T required(const Json& object, const char* field) {
    return convert<T>(need(object, field), field);
}
// An absent field takes the type's own empty value, as the wire says: absent is none, 0 or false.
template <class T>
T optional(const Json& object, const char* field) {
    const Json* value = find(object, field);
    return value == nullptr ? T{} : convert<T>(*value, field);
}
RequestId ticket(const Json& line) { return {required<std::uint64_t>(line, "ticket")}; }
ServerId server(const Json& line) { return {required<std::string>(line, "server")}; }
AttemptId shot(const Json& line) { return {required<std::int64_t>(line, "shot")}; }

const Json& array(const Json& object, const char* field) {
    const Json& value = need(object, field);
    if (!value.IsArray()) reject(field, "array wanted");
    return value;
}
const Json& object(const Json& parent, const char* field) {
    const Json& value = need(parent, field);
    if (!value.IsObject()) reject(field, "object wanted");
    return value;
}
template <class T>
std::vector<T> row(const Json& parent, const char* field) {
    std::vector<T> out;
    const Json* value = find(parent, field);
    if (value == nullptr) return out;
    if (!value->IsArray()) reject(field, "array wanted");
    for (const auto& item : value->GetArray()) out.push_back(convert<T>(item, field));
    return out;
}

template <class T>
T word(const Json& line, const char* field, const std::map<std::string, T>& words) {
    const auto it = words.find(required<std::string>(line, field));
    if (it == words.end()) reject(field, "unknown word");
    return it->second;
}
Outcome outcome(const Json& line) {
    static const std::map<std::int64_t, Outcome> codes = {
        {0, Outcome::ok},        {1, Outcome::error}, {2, Outcome::full},
        {3, Outcome::timeout},   {5, Outcome::reset}, {4, Outcome::connect_failed},
        {6, Outcome::cancelled}, {7, Outcome::moot},  {102, Outcome::read}};
    const auto it = codes.find(required<std::int64_t>(line, "how"));
    if (it == codes.end()) reject("how", "unknown outcome code");
    return it->second;
}

ReportField report_field(const std::string& name, const std::string& x0, const std::string& x1) {
    const auto meaning = name == "x0" ? x0 : name == "x1" ? x1 : name;
    if (meaning == "active") return ReportField::active;
    if (meaning.find("share of memory") != std::string::npos) return ReportField::memory_share;
    if (meaning.find("prompt tokens waiting") != std::string::npos) return ReportField::prompt_backlog;
    return ReportField::other;
}

Settings settings(const Json& o) {
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
        ClassSettings c;
        c.name = required<std::string>(item, "name");
        c.aim = required<Duration>(item, "aim_ns");
        c.deadline = required<Duration>(item, "deadline_ns");
        c.effect = word<Effect>(
            item, "effect",
            {{"repeatable", Effect::repeatable}, {"by_key", Effect::by_key}, {"once", Effect::once}});
        if (find(item, "group"))
            c.group = word<Group>(item, "group",
                                  {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});
        c.window = optional<Duration>(item, "window_ns");
        c.worth = required<double>(item, "gain");
        c.late_worth = optional<double>(item, "late_worth");
        if (i < aim_per_k.size())
            c.aim_per_1000_tokens = Duration(static_cast<std::int64_t>(aim_per_k[i] * 1000));
        if (i < token_aim.size()) c.token_aim = Duration(static_cast<std::int64_t>(token_aim[i]));
        s.classes.push_back(c);
        ++i;
    }
    const auto names = row<std::string>(o, "skus");
    const auto duties = row<std::string>(extra, "duty_by_kind");
    const auto memory = row<double>(extra, "tokens_by_kind");
    for (i = 0; i < names.size(); ++i) {
        KindSettings kind{names[i], Role::mixed, i < memory.size() ? memory[i] : 0};
        if (i >= duties.size()) reject("duty_by_kind", "one entry for each kind wanted");
        if (duties[i] == "read")
            kind.role = Role::prefill;
        else if (duties[i] == "write")
            kind.role = Role::decode;
        else if (duties[i] != "both")
            reject("duty_by_kind", "unknown word");
        s.kinds.push_back(kind);
    }
    if (const Json* tenants = find(o, "tenants")) {
        if (!tenants->IsArray()) reject("tenants", "array wanted");
        for (const auto& item : tenants->GetArray()) {
            if (!item.IsObject()) reject("tenants", "objects wanted");
            s.tenants.push_back({required<std::string>(item, "name"), optional<double>(item, "quota_per_s")});
        }
    }
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
    s.cold_for = optional<Duration>(rules, "cold_ns");
    s.cold_from = required<double>(rules, "cold_from");
    s.fall_multiple = required<double>(rules, "fall_multiple");
    s.fall_window = required<Duration>(rules, "fall_ns");
    s.ask_within = optional<Duration>(rules, "ask_within_ns");
    s.dial_timeout = optional<Duration>(limits, "dial_timeout_ns");
    s.max_retry_after = optional<Duration>(limits, "max_retry_after_ns");
    if (!optional<bool>(limits, "retry_after")) s.max_retry_after = Duration::zero();
    s.max_attempts = required<int>(limits, "send_cap");
    s.may_cancel = optional<bool>(limits, "cancel");
    s.may_probe = optional<bool>(limits, "probes");
    s.second_copies = optional<bool>(limits, "second_copies");
    s.over_share_worth = optional<double>(o, "over_share_worth");
    s.far_price = optional<double>(extra, "far_price");
    if (const Json* costs = find(o, "costs"); costs && costs->IsObject())
        s.cross_zone_price = optional<double>(*costs, "cross_zone");
    s.worth_by_work = optional<std::string>(o, "value_by") == "work";
    s.must_ask_for_list = required<std::string>(o, "discovery") == "ask";
    s.early_pairing = optional<bool>(extra, "early_pairing");
    s.read_in_place = optional<bool>(extra, "read_in_place");
    s.resume = optional<bool>(extra, "resume");
    return s;
}

ListChanged list(const Json& line) {
    ListChanged out;
    out.scope = word<ListScope>(line, "scope",
                                {{"incr", ListScope::changes},
                                 {"total", ListScope::complete},
                                 {"warm_copy", ListScope::recalled},
                                 {"lost", ListScope::lost}});
    const Json* entries = find(line, "nodes_list");
    if (entries == nullptr) return out;
    if (!entries->IsArray()) reject("nodes_list", "array wanted");
    for (const auto& item : entries->GetArray()) {
        if (!item.IsObject()) reject("nodes_list", "objects wanted");
        ServerEntry e;
        e.id = server(item);
        e.state = word<ServerState>(item, "state",
                                    {{"up", ServerState::up},
                                     {"draining", ServerState::draining},
                                     {"removed", ServerState::removed}});
        e.zone = optional<std::string>(item, "zone");
        e.kind = optional<std::string>(item, "sku");
        e.cell = optional<std::int64_t>(item, "cell");
        if (find(item, "capacity_hint")) e.weight = required<double>(item, "capacity_hint");
        e.born = Time(optional<Duration>(item, "born_ns"));
        out.entries.push_back(e);
    }
    return out;
}

Arrived arrived(const Json& line) {
    Arrived a;
    a.id = ticket(line);
    a.class_name = required<std::string>(line, "type");
    if (const Json* tenant = find(line, "client_group"); tenant && tenant->IsString())
        a.tenant = tenant->GetString();
    a.session = optional<std::string>(line, "conversation");
    if (const Json* prefix = find(line, "prefix"); prefix && prefix->IsString())
        a.prefix = prefix->GetString();
    a.time_left = required<Duration>(line, "time_left_ns");
    a.length_hint = optional<Duration>(line, "estimate_ns");
    a.prompt_tokens = required<double>(line, "prompt_len");
    a.shared_tokens = optional<double>(line, "shared_len");
    a.max_output = optional<double>(line, "max_out");
    a.retry = optional<bool>(line, "retry");
    a.again = optional<bool>(line, "again");
    return a;
}

AttemptEnded attempt_ended(const Json& line) {
    return {ticket(line),
            shot(line),
            server(line),
            outcome(line),
            optional<Duration>(line, "time_taken_ns"),
            optional<bool>(line, "no_more"),
            optional<double>(line, "remark"),
            row<double>(line, "report")};
}

}  // namespace

Line parse(const std::string& text) {
    rapidjson::Document line;
    line.Parse(text.c_str(), text.size());
    if (line.HasParseError()) throw BadLine("not JSON");
    if (!line.IsObject()) throw BadLine("an object wanted");
    const auto verb = required<std::string>(line, "verb");
    if (verb == "begin_batch") return BatchBegins{Time(required<Duration>(line, "now_ns"))};
    if (verb == "over_to_you") return BatchEnds{};
    const auto who = required<std::string>(line, "who");
    if (verb == "start")
        return Started{who, required<std::uint64_t>(line, "init_seed"), settings(object(line, "options"))};
    if (verb == "killed") return Killed{who};
    if (verb == "backends_changed") return Seen{who, list(line)};
    if (verb == "incoming") return Seen{who, arrived(line)};
    if (verb == "headers")
        return Seen{who, StreamStarted{ticket(line), shot(line), server(line),
                                       optional<Duration>(line, "time_taken_ns")}};
    if (verb == "reply") return Seen{who, attempt_ended(line)};
    if (verb == "note")
        return Seen{who, SeatAnswer{ticket(line), server(line), required<std::int64_t>(line, "kind") == 1}};
    if (verb == "hangup") return Seen{who, ClientGone{ticket(line)}};
    if (verb == "due") return Seen{who, TimerFired{{required<std::uint64_t>(line, "name")}}};
    if (verb == "probe_done")
        return Seen{who, ProbeEnded{server(line), outcome(line), optional<Duration>(line, "time_taken_ns"),
                                    row<double>(line, "report")}};
    if (verb == "heard")
        return Seen{who,
                    PeerMessage{required<std::int64_t>(line, "from"), required<std::string>(line, "bytes")}};
    reject("verb", "unknown verb");
}

std::string format(const std::string& instance, const Action& action) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> out(buffer);
    const auto text = [&](const char* key, const std::string& value) {
        out.Key(key);
        out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    const auto begin = [&](const char* verb) {
        out.StartObject();
        text("verb", verb);
        text("who", instance);
    };
    const auto number = [&](const char* key, std::int64_t value) {
        out.Key(key);
        out.Int64(value);
    };
    const auto id = [&](RequestId request) { number("ticket", static_cast<std::int64_t>(request.value)); };
    struct Visitor {
        decltype(begin)& begin_;
        decltype(text)& text_;
        decltype(number)& number_;
        decltype(id)& id_;
        rapidjson::Writer<rapidjson::StringBuffer>& out_;
        void operator()(const Send& a) const {
            begin_("relay");
            id_(a.id);
            if (a.timeout != Duration::zero()) number_("max_wait_ns", a.timeout.count());
            text_("server", a.server.value);
        }
        void operator()(const Refuse& a) const {
            begin_("say_no");
            id_(a.id);
            if (a.retry_after != Duration::zero()) number_("retry_in_ns", a.retry_after.count());
        }
        void operator()(const Fail& a) const {
            begin_("abort");
            id_(a.id);
        }
        void operator()(const CancelAttempt& a) const {
            begin_("abort_attempt");
            id_(a.id);
            number_("shot", a.attempt.value);
        }
        void operator()(const Release& a) const {
            begin_("unhold");
            id_(a.id);
        }
        void operator()(const MoveStream& a) const {
            begin_("relocate");
            id_(a.id);
        }
        void operator()(const BookSeat& a) const {
            begin_("book_seat");
            id_(a.id);
            text_("server", a.server.value);
        }
        void operator()(const Probe& a) const {
            begin_("health_check");
            text_("server", a.server.value);
        }
        void operator()(const Wake& a) const {
            begin_("wake_me");
            number_("time_ns", a.at.time_since_epoch().count());
            number_("name", static_cast<std::int64_t>(a.id.value));
        }
        void operator()(const FollowList& a) const {
            begin_("follow");
            out_.Key("on");
            out_.Bool(a.on);
        }
    };
    std::visit(Visitor{begin, text, number, id, out}, action);
    out.EndObject();
    return buffer.GetString();
}

}  // namespace chalksail::wire
