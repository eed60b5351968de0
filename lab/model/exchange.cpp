#include "model/exchange.hpp"

#include <cstdlib>

#include "base/json.hpp"
#include "chat/request.hpp"
#include "engine/protocol.hpp"

namespace chalksail::lab {
namespace {

constexpr std::int64_t kCreated = 1'700'000'000;

// A gateway numbers its requests "name-seed-count".
std::string gateway_of(const std::string& request) {
    auto end = request.rfind('-');
    if (end == std::string::npos || end == 0) return request;
    end = request.rfind('-', end - 1);
    return end == std::string::npos ? request : request.substr(0, end);
}

std::string usage_json(double prompt, double completion, double cached) {
    return json::ObjectWriter()
        .integer("prompt_tokens", static_cast<std::int64_t>(prompt))
        .integer("completion_tokens", static_cast<std::int64_t>(completion))
        .integer("total_tokens", static_cast<std::int64_t>(prompt + completion))
        .raw("prompt_tokens_details",
             json::ObjectWriter().integer("cached_tokens", static_cast<std::int64_t>(cached)).done())
        .done();
}

json::ObjectWriter& begin(json::ObjectWriter& out, const EngineRequest& engine_request, const char* kind) {
    return out.text("id", "chatcmpl-" + engine_request.request)
        .text("object", kind)
        .integer("created", kCreated)
        .text("model", engine_request.model);
}

std::string chunk(const EngineRequest& engine_request, const std::string& delta, bool last) {
    const std::string choice = R"({"index":0,"delta":)" + delta + R"(,"logprobs":null,"finish_reason":)" +
                               (last ? "\"stop\"" : "null") + "}";
    json::ObjectWriter out;
    return begin(out, engine_request, "chat.completion.chunk").raw("choices", "[" + choice + "]").done();
}

}  // namespace

std::optional<EngineRequest> read_request(const http::Headers& headers, std::string_view body) {
    EngineRequest out;
    out.request = headers.get(engine::kRequestIdHeader);
    out.client_request = headers.get("x-client-request-id");
    if (out.client_request.empty()) out.client_request = out.request;
    out.gateway = gateway_of(out.request);
    out.attempt = std::atoll(std::string(headers.get(engine::kAttemptHeader)).c_str());
    const auto parsed = chat::parse_request(body);
    if (!parsed) return std::nullopt;
    out.model = parsed->model;
    out.streaming = parsed->stream;
    out.usage = parsed->include_usage;
    std::string_view messages;
    json::Document params;
    for (const auto& m : parsed->members) {
        const std::string_view raw = body.substr(m.value, m.end - m.value);
        if (m.name == "messages") messages = raw;
        if (m.name == "kv_transfer_params" && !json::parse(raw, params)) return std::nullopt;
    }
    out.key = prompt_key(messages);
    out.prompt_tokens = count_tokens(messages.size());
    out.output =
        answer_length(out.key, static_cast<std::size_t>(parsed->max_output > 0 ? parsed->max_output : 64));
    if (params.IsObject()) {
        const auto truth = [&](const char* name) {
            const auto* v = json::find(params, name);
            return v != nullptr && v->IsBool() && v->GetBool();
        };
        out.read = truth("do_remote_decode");
        out.fetches = truth("do_remote_prefill");
        out.fetch_from = json::text(json::find(params, "remote_engine_id"));
    }
    if (out.fetches) return out;  // nothing is read here
    json::Document doc;
    if (!json::parse(messages, doc) || !doc.IsArray()) return std::nullopt;
    for (const auto& m : doc.GetArray()) out.text += json::dump(m);
    out.blocks = prefix_blocks(out.text);
    return out;
}

Job job_of(const EngineRequest& engine_request, JobId id) {
    Job job;
    job.id = id;
    job.read = engine_request.read;
    job.request = engine_request.request;
    job.gateway = engine_request.gateway;
    job.prompt_tokens = engine_request.prompt_tokens;
    job.blocks = engine_request.blocks;
    job.text = engine_request.text;
    job.output_tokens = engine_request.output;
    return job;
}

std::string prefill_answer(const EngineRequest& engine_request, JobId job, double cached_tokens,
                           const EngineAddress& engine) {
    const std::string params = json::ObjectWriter()
                                   .boolean("do_remote_prefill", true)
                                   .boolean("do_remote_decode", false)
                                   .text("remote_engine_id", engine.name)
                                   .raw("remote_block_ids", "[" + std::to_string(job) + "]")
                                   .text("remote_host", engine.host)
                                   .integer("remote_port", engine.port)
                                   .done();
    json::ObjectWriter out;
    return begin(out, engine_request, "chat.completion")
        .raw("choices",
             R"([{"index":0,"message":{"role":"assistant","content":"."},"finish_reason":"length"}])")
        .raw("usage", usage_json(engine_request.prompt_tokens, 1, cached_tokens))
        .raw("kv_transfer_params", params)
        .done();
}

std::string opening_chunk(const EngineRequest& engine_request) {
    return chunk(engine_request, R"({"role":"assistant","content":""})", false);
}
std::string token_chunk(const EngineRequest& engine_request, std::size_t i) {
    return chunk(engine_request,
                 json::ObjectWriter().text("content", answer_token(engine_request.key, i)).done(),
                 i + 1 == engine_request.output);
}
std::string usage_chunk(const EngineRequest& engine_request) {
    json::ObjectWriter out;
    return begin(out, engine_request, "chat.completion.chunk")
        .raw("choices", "[]")
        .raw("usage", usage_json(engine_request.prompt_tokens, static_cast<double>(engine_request.output), 0))
        .done();
}
std::string whole_answer(const EngineRequest& engine_request) {
    const std::string message = json::ObjectWriter()
                                    .text("role", "assistant")
                                    .text("content", answer_text(engine_request.key, engine_request.output))
                                    .done();
    json::ObjectWriter out;
    return begin(out, engine_request, "chat.completion")
        .raw("choices", R"([{"index":0,"finish_reason":"stop","message":)" + message + "}]")
        .raw("usage", usage_json(engine_request.prompt_tokens, static_cast<double>(engine_request.output), 0))
        .done();
}

}  // namespace chalksail::lab
