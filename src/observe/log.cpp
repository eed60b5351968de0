#include "observe/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include "base/json.hpp"

namespace chalksail::observe {
namespace {

double ms(Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

struct Formatter {
    std::string operator()(const AttemptRecord& r) const {
        return json::ObjectWriter()
            .text("event", "attempt")
            .text("request", r.request)
            .integer("attempt", r.attempt)
            .text("server", r.server)
            .text("stage", r.prefill ? "read" : "write")
            .text("outcome", r.outcome)
            .integer("status", r.status)
            .boolean("sent", r.sent)
            .boolean("written", r.written)
            .boolean("started", r.started)
            .number("ms", ms(r.duration))
            .text("detail", r.detail)
            .done();
    }
    std::string operator()(const RequestRecord& r) const {
        return json::ObjectWriter()
            .text("event", "request")
            .text("request", r.request)
            .text("client_request", r.client_request)
            .text("class", r.class_name)
            .text("tenant", r.tenant)
            .text("termination", name(r.termination))
            .integer("status", r.status)
            .text("reason", name(r.reason))
            .number("ms", ms(r.total))
            .number("first_token_ms", ms(r.first_token))
            .number("prompt_tokens", r.prompt_tokens)
            .number("prompt_tokens_told", r.reported_prompt_tokens)
            .number("completion_tokens", r.completion_tokens)
            .integer("chunks", r.chunks)
            .boolean("stream", r.streamed)
            .text("trail", r.attempt_history)
            .done();
    }
    std::string operator()(const ServerRecord& r) const {
        return json::ObjectWriter()
            .text("event", "server")
            .text("server", r.server)
            .text("action", name(r.action))
            .text("detail", r.detail)
            .done();
    }
    std::string operator()(const EndpointListRecord& r) const {
        return json::ObjectWriter()
            .text("event", "endpoint_list")
            .text("kind", name(r.kind))
            .integer("generation", r.generation)
            .integer("up", r.up)
            .integer("draining", r.draining)
            .integer("removed", r.removed)
            .done();
    }
    std::string operator()(const KvReservationRecord& r) const {
        return json::ObjectWriter()
            .text("event", "held")
            .text("request", r.request)
            .text("action", name(r.action))
            .text("server", r.server)
            .text("reason", name(r.reason))
            .number("age_ms", ms(r.age))
            .done();
    }
    std::string operator()(const DeferralRecord& r) const {
        return json::ObjectWriter()
            .text("event", "deferred_attempt")
            .text("request", r.request)
            .text("action", name(r.action))
            .text("server", r.server)
            .number("ms", ms(r.waited))
            .done();
    }
    std::string operator()(const GuardRecord& r) const {
        return json::ObjectWriter()
            .text("event", "guard")
            .text("request", r.request)
            .text("action", name(r.reason))
            .done();
    }
};

bool is_release(KvReservationAction action) {
    return action != KvReservationAction::reserved && action != KvReservationAction::fetched;
}

// Returns true for calls that are made to each server repeatedly.
bool is_periodic(ServerAction action) {
    return action == ServerAction::health_check || action == ServerAction::release;
}

spdlog::level::level_enum level_of(const Record& record) {
    if (std::holds_alternative<GuardRecord>(record)) return spdlog::level::err;
    if (std::holds_alternative<AttemptRecord>(record)) return spdlog::level::debug;
    if (const auto* held = std::get_if<KvReservationRecord>(&record))
        return is_release(held->action) ? spdlog::level::info : spdlog::level::debug;
    if (const auto* server = std::get_if<ServerRecord>(&record))
        return is_periodic(server->action) ? spdlog::level::debug : spdlog::level::info;
    return spdlog::level::info;
}

}  // namespace

std::string format_json(const Record& record) { return std::visit(Formatter{}, record); }

Log::Log(const std::string& gateway, const std::string& level)
    : logger_(std::make_shared<spdlog::logger>(gateway, std::make_shared<spdlog::sinks::stderr_sink_mt>())) {
    logger_->set_level(spdlog::level::from_str(level));
    logger_->flush_on(spdlog::level::warn);
    logger_->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","gateway":"%n","fields":%v})");
}
Log::~Log() { logger_->flush(); }
void Log::flush() { logger_->flush(); }

void Log::write(const Record& record) {
    const auto level = level_of(record);
    if (!logger_->should_log(level)) return;
    logger_->log(level, format_json(record));
}

void Log::debug(const std::string& event, const std::string& text) {
    line(spdlog::level::debug, event, text);
}
void Log::info(const std::string& event, const std::string& text) { line(spdlog::level::info, event, text); }
void Log::warn(const std::string& event, const std::string& text) { line(spdlog::level::warn, event, text); }
void Log::error(const std::string& event, const std::string& text) { line(spdlog::level::err, event, text); }

void Log::line(int level, const std::string& event, const std::string& text) {
    const auto at = static_cast<spdlog::level::level_enum>(level);
    if (!logger_->should_log(at)) return;
    logger_->log(at, json::ObjectWriter().text("event", event).text("text", text).done());
}

}  // namespace chalksail::observe
