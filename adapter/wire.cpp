#include "wire.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <map>

#include "platform/fields.hpp"
#include "platform/settings.hpp"

namespace chalksail::wire {
namespace {

using platform::array;
using platform::find;
using platform::Json;
using platform::object;
using platform::optional;
using platform::reject;
using platform::required;
using platform::row;
using platform::word;

RequestId request_id(const Json& line) { return {required<std::uint64_t>(line, "ticket")}; }
ServerId server_id(const Json& line) { return {required<std::string>(line, "server")}; }
AttemptId attempt_id(const Json& line) { return {required<std::int64_t>(line, "shot")}; }

AttemptOutcome outcome(const Json& line) {
    static const std::map<std::int64_t, AttemptOutcome> codes = {
        {0, AttemptOutcome::ok},        {1, AttemptOutcome::error},    {2, AttemptOutcome::at_capacity},
        {3, AttemptOutcome::timeout},   {5, AttemptOutcome::reset},    {4, AttemptOutcome::connect_failed},
        {6, AttemptOutcome::cancelled}, {7, AttemptOutcome::not_sent}, {102, AttemptOutcome::prefilled}};
    const auto it = codes.find(required<std::int64_t>(line, "how"));
    if (it == codes.end()) reject("how", "unknown outcome code");
    return it->second;
}

EndpointUpdate endpoint_update(const Json& line) {
    EndpointUpdate out;
    out.kind = word<EndpointUpdateKind>(line, "scope",
                                        {{"incr", EndpointUpdateKind::delta},
                                         {"total", EndpointUpdateKind::snapshot},
                                         {"warm_copy", EndpointUpdateKind::cached_snapshot},
                                         {"lost", EndpointUpdateKind::watch_lost}});
    const Json* entries = find(line, "nodes_list");
    if (entries == nullptr) return out;
    if (!entries->IsArray()) reject("nodes_list", "array wanted");
    for (const auto& item : entries->GetArray()) {
        if (!item.IsObject()) reject("nodes_list", "objects wanted");
        Endpoint e;
        e.id = server_id(item);
        e.state = word<EndpointState>(item, "state",
                                      {{"up", EndpointState::up},
                                       {"draining", EndpointState::draining},
                                       {"removed", EndpointState::removed}});
        e.zone = optional<std::string>(item, "zone");
        e.kind = optional<std::string>(item, "sku");
        e.cell = optional<std::int64_t>(item, "cell");
        if (find(item, "capacity_hint")) e.weight = required<double>(item, "capacity_hint");
        e.started_at = Time(optional<Duration>(item, "born_ns"));
        out.endpoints.push_back(e);
    }
    return out;
}

RequestArrived request_arrived(const Json& line) {
    RequestArrived a;
    a.id = request_id(line);
    a.class_name = required<std::string>(line, "type");
    if (const Json* tenant = find(line, "client_group"); tenant && tenant->IsString())
        a.tenant = tenant->GetString();
    a.session = optional<std::string>(line, "conversation");
    if (const Json* prefix = find(line, "prefix"); prefix && prefix->IsString())
        a.prefix = prefix->GetString();
    a.time_remaining = required<Duration>(line, "time_left_ns");
    a.output_duration_hint = optional<Duration>(line, "estimate_ns");
    a.prompt_tokens = required<double>(line, "prompt_len");
    a.shared_tokens = optional<double>(line, "shared_len");
    a.max_output = optional<double>(line, "max_out");
    a.retry = optional<bool>(line, "retry");
    a.resumes_stream = optional<bool>(line, "again");
    return a;
}

AttemptEnded attempt_ended(const Json& line) {
    AttemptEnded ended;
    ended.id = request_id(line);
    ended.attempt = attempt_id(line);
    ended.server = server_id(line);
    ended.outcome = outcome(line);
    ended.elapsed = optional<Duration>(line, "time_taken_ns");
    ended.request_finished = optional<bool>(line, "no_more");
    // The meaning of the wire's "remark" depends on the outcome.
    const auto remark = optional<double>(line, "remark");
    if (ended.outcome == AttemptOutcome::at_capacity) ended.kv_state_missing = remark == 1;
    else ended.cached_prompt_tokens = remark;
    ended.load_report = row<double>(line, "report");
    return ended;
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
    const auto instance = required<std::string>(line, "who");
    if (verb == "start")
        return Started{instance, required<std::uint64_t>(line, "init_seed"),
                       platform::read_settings(object(line, "options"))};
    if (verb == "killed") return Killed{instance};
    if (verb == "backends_changed") return EventReceived{instance, endpoint_update(line)};
    if (verb == "incoming") return EventReceived{instance, request_arrived(line)};
    if (verb == "headers")
        return EventReceived{instance, StreamStarted{request_id(line), attempt_id(line), server_id(line),
                                                     optional<Duration>(line, "time_taken_ns")}};
    if (verb == "reply") return EventReceived{instance, attempt_ended(line)};
    if (verb == "note")
        return EventReceived{instance, ReservationResult{request_id(line), server_id(line),
                                                         required<std::int64_t>(line, "kind") == 1}};
    if (verb == "hangup") return EventReceived{instance, ClientDisconnected{request_id(line)}};
    if (verb == "due") return EventReceived{instance, TimerFired{{required<std::uint64_t>(line, "name")}}};
    if (verb == "probe_done")
        return EventReceived{instance, HealthCheckEnded{server_id(line), outcome(line),
                                                        optional<Duration>(line, "time_taken_ns"),
                                                        row<double>(line, "report")}};
    if (verb == "heard")
        return EventReceived{instance, PeerMessage{required<std::int64_t>(line, "from"),
                                                   required<std::string>(line, "bytes")}};
    reject("verb", "unknown verb");
}

namespace {

// Writes one action as a line of JSON. A visitor of `Action`.
class ActionWriter {
public:
    explicit ActionWriter(const std::string& instance) : instance_(instance) {}

    void operator()(const Send& a) {
        begin("relay");
        id(a.id);
        if (a.timeout != Duration::zero()) number("max_wait_ns", a.timeout.count());
        text("server", a.server.value);
    }
    void operator()(const Reject& a) {
        begin("say_no");
        id(a.id);
        if (a.retry_after != Duration::zero()) number("retry_in_ns", a.retry_after.count());
    }
    void operator()(const Fail& a) {
        begin("abort");
        id(a.id);
    }
    void operator()(const CancelAttempt& a) {
        begin("abort_attempt");
        id(a.id);
        number("shot", a.attempt.value);
    }
    void operator()(const ReleaseKvState& a) {
        begin("unhold");
        id(a.id);
    }
    void operator()(const MigrateStream& a) {
        begin("relocate");
        id(a.id);
    }
    void operator()(const Reserve& a) {
        begin("book_seat");
        id(a.id);
        text("server", a.server.value);
    }
    void operator()(const HealthCheck& a) {
        begin("health_check");
        text("server", a.server.value);
    }
    void operator()(const SetTimer& a) {
        begin("wake_me");
        number("time_ns", a.at.time_since_epoch().count());
        number("name", static_cast<std::int64_t>(a.id.value));
    }
    void operator()(const WatchEndpoints& a) {
        begin("follow");
        writer_.Key("on");
        writer_.Bool(a.enabled);
    }

    // Returns the line, after the action has been written.
    [[nodiscard]] std::string finish() {
        writer_.EndObject();
        return buffer_.GetString();
    }

private:
    void begin(const char* verb) {
        writer_.StartObject();
        text("verb", verb);
        text("who", instance_);
    }
    void text(const char* key, const std::string& value) {
        writer_.Key(key);
        writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    }
    void number(const char* key, std::int64_t value) {
        writer_.Key(key);
        writer_.Int64(value);
    }
    void id(RequestId request) { number("ticket", static_cast<std::int64_t>(request.value)); }

    const std::string& instance_;
    rapidjson::StringBuffer buffer_;
    rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
};

}  // namespace

std::string format(const std::string& instance, const Action& action) {
    ActionWriter writer(instance);
    std::visit(writer, action);
    return writer.finish();
}

}  // namespace chalksail::wire
