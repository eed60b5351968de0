#include "shell/engine_host.hpp"

#include <algorithm>
#include <utility>

#include "base/json.hpp"
#include "chat/request.hpp"
#include "chat/sse.hpp"
#include "engine/outcome.hpp"
#include "engine/protocol.hpp"

namespace chalksail::lab {
namespace {

net::ServerLimits engine_limits() {
    net::ServerLimits out;
    out.message = {64 * 1024, 32 * 1024 * 1024};
    out.connections = 8192;
    out.idle_timeout = std::chrono::seconds(300);
    return out;
}

// A gateway numbers its requests "name-seed-count".
std::string gateway_of(const std::string& request) {
    auto end = request.rfind('-');
    if (end == std::string::npos || end == 0) return request;
    end = request.rfind('-', end - 1);
    return end == std::string::npos ? request : request.substr(0, end);
}

std::string chunk_json(const std::string& id, const std::string& model, const std::string& delta, bool last) {
    const std::string choice = R"({"index":0,"delta":)" + delta + R"(,"logprobs":null,"finish_reason":)" + (last ? "\"stop\"" : "null") + "}";
    return json::ObjectWriter()
        .text("id", "chatcmpl-" + id)
        .text("object", "chat.completion.chunk")
        .whole("created", 1'700'000'000)
        .text("model", model)
        .raw("choices", "[" + choice + "]")
        .done();
}

std::string usage_json(double prompt, double completion, double cached) {
    return json::ObjectWriter()
        .whole("prompt_tokens", static_cast<std::int64_t>(prompt))
        .whole("completion_tokens", static_cast<std::int64_t>(completion))
        .whole("total_tokens", static_cast<std::int64_t>(prompt + completion))
        .raw("prompt_tokens_details", json::ObjectWriter().whole("cached_tokens", static_cast<std::int64_t>(cached)).done())
        .done();
}

}  // namespace

EngineHost::EngineHost(uv_loop_t& loop, EngineFleet& fleet, EngineSpec spec)
    : loop_(loop), fleet_(fleet), model_(std::move(spec)) {
    start();
}
EngineHost::~EngineHost() = default;

void EngineHost::start() {
    server_ = std::make_unique<net::HttpServer>(loop_, static_cast<net::HttpServer::Handler&>(*this), engine_limits());
    address_ = server_->listen(address_);
}

void EngineHost::note(What what, const Exchange& e, const std::string& fate) {
    Record r;
    r.at = net::uv_now_time();
    r.what = what;
    r.request = e.request;
    r.gateway = e.gateway;
    r.server = spec().name;
    r.zone = spec().zone;
    r.cell = spec().cell;
    r.attempt = e.attempt;
    r.read = e.read;
    r.fate = fate;
    fleet_.recorder().add(std::move(r));
}

void EngineHost::crash() {
    if (server_ == nullptr) return;
    vanished_ = false;
    for (auto& [peer, e] : exchanges_) {
        note(What::ended, e, "cut");
        server_->abort(peer, true);
    }
    exchanges_.clear();
    by_job_.clear();
    for (const auto& s : model_.expire_states(Time::max() - std::chrono::hours(24))) {
        Exchange e;
        e.request = fleet_.client_number[s.request];
        note(What::lost, e, "");
    }
    model_.stop();
    server_.reset();
}

void EngineHost::restart(Time now) {
    crash();
    model_.start_cold(now);
    start();
}

void EngineHost::vanish(bool on) {
    vanished_ = on;
    model_.set_paused(net::uv_now_time(), on);
}

void EngineHost::add_load(http::Headers& headers) const {
    headers.add(std::string(engine::kLoadHeader),
                "TEXT num_requests_running=" + std::to_string(model_.running()) + ", num_requests_waiting=" +
                    std::to_string(model_.waiting()) + ", kv_cache_usage_perc=" + std::to_string(model_.memory_share()));
}

void EngineHost::error(net::HttpServer::Peer peer, int status, const std::string& text, const std::string& not_run) {
    http::Headers headers;
    headers.add("Content-Type", "application/json");
    if (!not_run.empty()) headers.add(std::string(engine::kNotRunHeader), not_run);
    add_load(headers);
    server_->reply(peer, status, std::move(headers), chat::format_error({status, text, "server_error", "", ""}));
}

void EngineHost::on_request(net::HttpServer::Peer peer, http::Request request) {
    const auto path = request.path();
    if (path == engine::kChatPath && request.method == "POST") {
        chat(peer, request);
    } else if (path == engine::kReleasePath && request.method == "POST") {
        release(peer, request);
    } else if (vanished_) {
        return;
    } else if (path == "/health") {
        server_->reply(peer, 200, {}, "");
    } else if (path == "/metrics") {
        http::Headers headers;
        headers.add("Content-Type", "text/plain");
        server_->reply(peer, 200, std::move(headers),
                       "vllm:num_requests_running{model_name=\"m\"} " + std::to_string(model_.running()) +
                           "\nvllm:num_requests_waiting{model_name=\"m\"} " + std::to_string(model_.waiting()) +
                           "\nvllm:kv_cache_usage_perc{model_name=\"m\"} " + std::to_string(model_.memory_share()) + "\n");
    } else {
        error(peer, 404, "no such path");
    }
    flush();
}

void EngineHost::release(net::HttpServer::Peer peer, const http::Request& request) {
    json::Document doc;
    std::string id;
    if (json::parse(request.body, doc)) id = json::text(json::find(doc, "request_id"));
    const bool had = model_.drop_state(id);
    if (had) {
        Exchange e;
        e.request = fleet_.client_number[id];
        note(What::released, e, "");
    }
    if (vanished_) return;  // it reached the socket: the gateway has done its part
    server_->reply(peer, 200, {}, had ? R"({"released":true})" : R"({"released":false})");
}

void EngineHost::chat(net::HttpServer::Peer peer, const http::Request& request) {
    Exchange e;
    e.peer = peer;
    e.edge_request = request.headers.get(engine::kRequestIdHeader);
    e.request = request.headers.get("x-client-request-id");
    if (e.request.empty()) e.request = e.edge_request;
    e.gateway = gateway_of(e.edge_request);
    e.attempt = std::atoll(std::string(request.headers.get(engine::kAttemptHeader)).c_str());
    fleet_.client_number[e.edge_request] = e.request;

    const auto parsed = chat::parse_request(request.body);
    json::Document doc;
    if (!parsed || !json::parse(request.body, doc)) return error(peer, 400, "bad request");
    e.model = parsed->model;
    std::vector<std::string> messages;
    for (const auto& m : doc["messages"].GetArray()) messages.push_back(json::dump(m));
    for (const auto& m : parsed->members) {
        if (m.name != "messages") continue;
        const std::string_view raw = std::string_view(request.body).substr(m.value, m.end - m.value);
        e.key = prompt_key(raw);
        e.prompt_tokens = count_tokens(raw.size());
    }
    const auto* params = json::find(doc, "kv_transfer_params");
    const auto truth = [&](const char* name) {
        const auto* v = params == nullptr ? nullptr : json::find(*params, name);
        return v != nullptr && v->IsBool() && v->GetBool();
    };
    e.read = truth("do_remote_decode");
    e.streaming = parsed->stream;
    e.usage = parsed->include_usage;
    e.output = answer_length(e.key, static_cast<std::size_t>(parsed->max_output > 0 ? parsed->max_output : 64));
    note(What::taken, e, "");

    const Time now = net::uv_now_time();
    Job job;
    job.id = e.job = fleet_.next_job();
    job.read = e.read;
    job.request = e.edge_request;
    job.gateway = e.gateway;
    job.told_cold = fleet_.told_cold.contains({e.gateway, spec().name});
    job.prompt_tokens = e.prompt_tokens;
    job.blocks = prefix_blocks(messages);
    job.output_tokens = e.output;
    EngineHost* from = nullptr;
    if (!e.read && truth("do_remote_prefill")) {
        from = fleet_.find(std::string(json::text(json::find(*params, "remote_engine_id"))));
        const bool there = from != nullptr && from->up() && !from->vanished_ && from->model_.state(e.edge_request) != nullptr;
        job.has_state = there;
        if (!there) from = nullptr;
    }
    const auto refuse = [&](int status, const char* text, const char* not_run) {
        if (vanished_) {  // it says nothing, whatever it would say
            exchanges_[peer] = std::move(e);
            return;
        }
        note(What::ended, e, *not_run != 0 ? "not_run" : "error");
        error(peer, status, text, not_run);
    };
    if (params != nullptr && truth("do_remote_prefill") && from == nullptr && !vanished_) return refuse(503, "the state is gone", "no-state");
    if (from != nullptr) job.transfer = fleet_.links().transfer(now, from->spec(), spec(), e.prompt_tokens);
    const auto verdict = model_.submit(now, job, fleet_.draw());
    if (const auto told = model_.take_fall()) {
        Record r;
        r.at = now;
        r.what = What::fell;
        r.server = spec().name;
        r.value = *told;
        fleet_.recorder().add(std::move(r));
        note(What::ended, e, "cut");
        server_->abort(peer, true);
        if (fleet_.on_fall) fleet_.on_fall(*this);
        return;
    }
    switch (verdict) {
        case Verdict::full: return refuse(503, "slots and queue are full", "full");
        case Verdict::draining: return refuse(503, "draining", "draining");
        case Verdict::no_state: return refuse(503, "no state to fetch", "no-state");
        case Verdict::error: return refuse(500, "internal error", "");
        case Verdict::lost:
        case Verdict::taken: break;
    }
    if (from != nullptr && verdict == Verdict::taken) {
        from->model_.drop_state(e.edge_request);
        Exchange source = e;
        Record r;
        r.at = now;
        r.what = What::fetched;
        r.request = e.request;
        r.server = from->spec().name;
        fleet_.recorder().add(std::move(r));
    }
    by_job_[e.job] = peer;
    exchanges_[peer] = std::move(e);
}

void EngineHost::on_closed(net::HttpServer::Peer peer) {
    const auto it = exchanges_.find(peer);
    if (it == exchanges_.end()) return;
    note(What::ended, it->second, "left");
    model_.cancel(net::uv_now_time(), it->second.job);
    by_job_.erase(it->second.job);
    exchanges_.erase(it);
}

void EngineHost::answer_read(Exchange& e, double kept) {
    Exchange state = e;
    note(What::state, state, "");
    note(What::ended, e, "done");
    http::Headers headers;
    headers.add("Content-Type", "application/json");
    add_load(headers);
    const std::string params = json::ObjectWriter()
                                   .flag("do_remote_prefill", true)
                                   .flag("do_remote_decode", false)
                                   .text("remote_engine_id", spec().name)
                                   .raw("remote_block_ids", "[" + std::to_string(e.job) + "]")
                                   .text("remote_host", address_.host)
                                   .whole("remote_port", address_.port)
                                   .done();
    const std::string choice = R"({"index":0,"message":{"role":"assistant","content":"."},"finish_reason":"length"})";
    server_->reply(e.peer, 200, std::move(headers),
                   json::ObjectWriter()
                       .text("id", "chatcmpl-" + e.edge_request)
                       .text("object", "chat.completion")
                       .whole("created", 1'700'000'000)
                       .text("model", e.model)
                       .raw("choices", "[" + choice + "]")
                       .raw("usage", usage_json(e.prompt_tokens, 1, kept))
                       .raw("kv_transfer_params", params)
                       .done());
}

void EngineHost::write_tokens(Exchange& e, std::size_t first, std::size_t count) {
    if (!e.streaming) return;
    if (first == 0) {
        http::Headers headers;
        headers.add("Content-Type", "text/event-stream; charset=utf-8");
        add_load(headers);
        server_->begin_stream(e.peer, std::move(headers));
        server_->stream(e.peer, chat::format_event(chunk_json(e.edge_request, e.model, R"({"role":"assistant","content":""})", false)));
    }
    for (std::size_t i = first; i < first + count; ++i) {
        const auto delta = json::ObjectWriter().text("content", answer_token(e.key, i)).done();
        server_->stream(e.peer, chat::format_event(chunk_json(e.edge_request, e.model, delta, i + 1 == e.output)));
    }
}

void EngineHost::end_stream(Exchange& e) {
    note(What::ended, e, "done");
    if (!e.streaming) {
        http::Headers headers;
        headers.add("Content-Type", "application/json");
        const std::string message = json::ObjectWriter().text("role", "assistant").text("content", answer_text(e.key, e.output)).done();
        server_->reply(e.peer, 200, std::move(headers),
                       json::ObjectWriter().text("id", "chatcmpl-" + e.edge_request).text("object", "chat.completion").text("model", e.model)
                           .raw("choices", R"([{"index":0,"finish_reason":"stop","message":)" + message + "}]").done());
        return;
    }
    if (e.usage) {
        const auto usage = json::ObjectWriter()
                               .text("id", "chatcmpl-" + e.edge_request)
                               .text("object", "chat.completion.chunk")
                               .whole("created", 1'700'000'000)
                               .text("model", e.model)
                               .raw("choices", "[]")
                               .raw("usage", usage_json(e.prompt_tokens, static_cast<double>(e.output), 0))
                               .done();
        server_->stream(e.peer, chat::format_event(usage));
    }
    server_->stream(e.peer, chat::format_event(chat::kDone));
    server_->end_stream(e.peer);
}

void EngineHost::tick(Time now) {
    if (server_ == nullptr || vanished_) return;
    for (const auto& p : model_.advance(now)) {
        const auto job = by_job_.find(p.job);
        if (job == by_job_.end()) continue;
        Exchange& e = exchanges_.at(job->second);
        if (p.what == Progress::What::tokens) {
            write_tokens(e, p.first, p.count);
            continue;
        }
        if (p.what == Progress::What::read_done) answer_read(e, p.kept);
        else end_stream(e);
        exchanges_.erase(job->second);
        by_job_.erase(job);
    }
    for (const auto& s : model_.expire_states(now)) {
        Exchange e;
        e.request = fleet_.client_number[s.request];
        note(What::expired, e, "");
    }
    flush();
}

void EngineHost::flush() {
    if (server_ != nullptr) server_->flush();
}

EngineFleet::EngineFleet(uv_loop_t& loop, const std::vector<EngineSpec>& specs, Links::Rates rates, std::uint64_t seed, Recorder& recorder)
    : recorder_(recorder), links_(rates), random_(seed) {
    for (const auto& spec : specs) hosts_.push_back(std::make_unique<EngineHost>(loop, *this, spec));
}
void EngineFleet::tick(Time now) {
    for (auto& h : hosts_) h->tick(now);
}
EngineHost* EngineFleet::find(const std::string& name) {
    const auto it = std::find_if(hosts_.begin(), hosts_.end(), [&](const auto& h) { return h->spec().name == name; });
    return it == hosts_.end() ? nullptr : it->get();
}

}  // namespace chalksail::lab
