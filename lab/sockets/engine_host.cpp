#include "sockets/engine_host.hpp"

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
    out.idle_connections.connections = 8192;
    out.idle_connections.idle = std::chrono::seconds(300);
    return out;
}

}  // namespace

EngineHost::EngineHost(uv_loop_t& loop, EngineFleet& fleet, EngineSpec spec)
    : loop_(loop), fleet_(fleet), model_(std::move(spec)) {
    start();
}
EngineHost::~EngineHost() = default;

void EngineHost::start() {
    server_ = std::make_unique<net::HttpServer>(loop_, static_cast<net::HttpServer::Handler&>(*this),
                                                engine_limits());
    address_ = server_->listen(address_);
    if (spec().publishes && caches_ == nullptr)
        caches_ = std::make_unique<CachePublisher>(
            fleet_.caches().past, [this] { return fleet_.draw_loss() < fleet_.caches().lost; });
    else if (caches_ != nullptr) caches_->start();
    if (fleet_.tls() == nullptr) return;
    server_->set_tls(fleet_.tls()->start(spec().name));
    tls_address_ = server_->listen(tls_address_, net::HttpServer::Transport::tls);
}

void EngineHost::show(std::shared_ptr<net::tls::Context> context) {
    if (server_ != nullptr) server_->set_tls(std::move(context));
}

void EngineHost::record_attempt(RecordKind what, const EngineRequest& engine_request,
                                const std::string& termination) {
    Record r;
    r.at = net::uv_now_time();
    r.kind = what;
    r.request = engine_request.client_request;
    r.gateway = engine_request.gateway;
    r.server = spec().name;
    r.zone = spec().zone;
    r.cell = spec().cell;
    r.attempt = engine_request.attempt;
    r.read = engine_request.read;
    r.termination = termination;
    fleet_.recorder().add(std::move(r));
}

// What becomes of a state that waits, or waited, here.
void EngineHost::record_state(RecordKind what, const std::string& edge_request) {
    Record r;
    r.at = net::uv_now_time();
    r.kind = what;
    r.request = fleet_.client_number[edge_request];
    r.server = spec().name;
    fleet_.recorder().add(std::move(r));
}

void EngineHost::crash() {
    if (server_ == nullptr) return;
    vanished_ = false;
    for (auto& [peer, e] : exchanges_) {
        record_attempt(RecordKind::ended, e.engine_request, "cut");
        server_->abort(peer, true);
    }
    exchanges_.clear();
    by_job_.clear();
    for (const auto& s : model_.expire_states(Time::max() - std::chrono::hours(24)))
        record_state(RecordKind::lost, s.request);
    model_.stop();
    if (caches_ != nullptr) caches_->stop();
    server_.reset();
}

void EngineHost::restart(Time now) {
    crash();
    model_.start_in_slow_start(now);
    start();
}

void EngineHost::vanish(bool on) {
    vanished_ = on;
    model_.set_paused(net::uv_now_time(), on);
}

void EngineHost::add_load(http::Headers& headers) const {
    headers.add(std::string(engine::kLoadHeader),
                "TEXT num_requests_running=" + std::to_string(model_.running()) +
                    ", num_requests_waiting=" + std::to_string(model_.waiting()) +
                    ", kv_cache_usage_perc=" + std::to_string(model_.memory_share()));
}

void EngineHost::error(net::HttpServer::Peer peer, int status, const std::string& text,
                       const std::string& not_run) {
    http::Headers headers;
    headers.add("Content-Type", "application/json");
    if (!not_run.empty()) headers.add(std::string(engine::kNotRunHeader), not_run);
    add_load(headers);
    server_->reply(peer, status, std::move(headers),
                   chat::format_error({status, text, "server_error", "", ""}));
}

void EngineHost::on_request(net::HttpServer::Peer peer, http::Request request, Time) {
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
                           "\nvllm:num_requests_waiting{model_name=\"m\"} " +
                           std::to_string(model_.waiting()) +
                           "\nvllm:kv_cache_usage_perc{model_name=\"m\"} " +
                           std::to_string(model_.memory_share()) + "\n");
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
    if (had) record_state(RecordKind::released, id);
    if (vanished_) return;  // it reached the socket: the gateway has done its part
    server_->reply(peer, 200, {}, had ? R"({"released":true})" : R"({"released":false})");
}

void EngineHost::chat(net::HttpServer::Peer peer, const http::Request& request) {
    auto engine_request = read_request(request.headers, request.body);
    if (!engine_request) return error(peer, 400, "bad request");
    Exchange e{peer, fleet_.next_job(), std::move(*engine_request)};
    fleet_.client_number[e.engine_request.request] = e.engine_request.client_request;
    record_attempt(RecordKind::taken, e.engine_request, "");

    const Time now = net::uv_now_time();
    Job job = job_of(e.engine_request, e.job);
    job.start_known = fleet_.start_known.contains({e.engine_request.gateway, spec().name});
    const auto refuse = [&](int status, const char* text, const char* not_run) {
        if (vanished_) {  // it says nothing, whatever it would say
            exchanges_[peer] = std::move(e);
            return;
        }
        record_attempt(RecordKind::ended, e.engine_request, *not_run != 0 ? "not_run" : "error");
        error(peer, status, text, not_run);
    };
    EngineHost* from = e.engine_request.fetches ? fleet_.find(e.engine_request.fetch_from) : nullptr;
    if (from != nullptr &&
        (!from->up() || from->vanished_ || from->model_.state(e.engine_request.request) == nullptr))
        from = nullptr;
    if (e.engine_request.fetches && from == nullptr) return refuse(503, "the state is gone", "no-state");
    if (from != nullptr) {
        job.has_state = true;
        job.transfer = fleet_.links().transfer(now, from->spec(), spec(), e.engine_request.prompt_tokens);
    }
    const auto result = model_.submit(now, job, fleet_.draw());
    if (const auto from_notified = model_.take_overload()) {
        Record r;
        r.at = now;
        r.kind = RecordKind::overloaded;
        r.server = spec().name;
        r.value = *from_notified;
        fleet_.recorder().add(std::move(r));
        record_attempt(RecordKind::ended, e.engine_request, "cut");
        server_->abort(peer, true);
        if (fleet_.on_overload) fleet_.on_overload(*this);
        return;
    }
    switch (result) {
        case SubmitResult::full: return refuse(503, "slots and queue are full", "full");
        case SubmitResult::draining: return refuse(503, "draining", "draining");
        case SubmitResult::no_state: return refuse(503, "no state to fetch", "no-state");
        case SubmitResult::error: return refuse(500, "internal error", "");
        case SubmitResult::lost:
        case SubmitResult::accepted: break;
    }
    if (from != nullptr && result == SubmitResult::accepted) {
        from->model_.drop_state(e.engine_request.request);
        from->record_state(RecordKind::fetched, e.engine_request.request);
    }
    by_job_[e.job] = peer;
    exchanges_[peer] = std::move(e);
}

void EngineHost::on_closed(net::HttpServer::Peer peer, const net::ConnectionEnd&) {
    const auto it = exchanges_.find(peer);
    if (it == exchanges_.end()) return;
    record_attempt(RecordKind::ended, it->second.engine_request, "left");
    model_.cancel(net::uv_now_time(), it->second.job);
    by_job_.erase(it->second.job);
    exchanges_.erase(it);
}

void EngineHost::answer_read(Exchange& e, double cached_tokens) {
    record_state(RecordKind::state, e.engine_request.request);
    record_attempt(RecordKind::ended, e.engine_request, "done");
    http::Headers headers;
    headers.add("Content-Type", "application/json");
    add_load(headers);
    server_->reply(
        e.peer, 200, std::move(headers),
        prefill_answer(e.engine_request, e.job, cached_tokens, {spec().name, address_.host, address_.port}));
}

void EngineHost::write_tokens(Exchange& e, std::size_t first, std::size_t count) {
    if (!e.engine_request.streaming) return;
    if (first == 0) {
        http::Headers headers;
        headers.add("Content-Type", "text/event-stream; charset=utf-8");
        add_load(headers);
        server_->begin_stream(e.peer, std::move(headers));
        server_->stream(e.peer, chat::format_event(opening_chunk(e.engine_request)));
    }
    for (std::size_t i = first; i < first + count; ++i)
        server_->stream(e.peer, chat::format_event(token_chunk(e.engine_request, i)));
}

void EngineHost::end_stream(Exchange& e) {
    record_attempt(RecordKind::ended, e.engine_request, "done");
    if (!e.engine_request.streaming) {
        http::Headers headers;
        headers.add("Content-Type", "application/json");
        server_->reply(e.peer, 200, std::move(headers), whole_answer(e.engine_request));
        return;
    }
    if (e.engine_request.usage) server_->stream(e.peer, chat::format_event(usage_chunk(e.engine_request)));
    server_->stream(e.peer, chat::format_event(chat::kDone));
    server_->end_stream(e.peer);
}

void EngineHost::tick(Time now) {
    if (server_ == nullptr || vanished_) return;
    for (const auto& p : model_.advance(now)) {
        const auto job = by_job_.find(p.job);
        if (job == by_job_.end()) continue;
        Exchange& e = exchanges_.at(job->second);
        if (p.kind == Progress::Kind::tokens) {
            write_tokens(e, p.first, p.count);
            continue;
        }
        if (p.kind == Progress::Kind::read_done) answer_read(e, p.cached_tokens);
        else end_stream(e);
        exchanges_.erase(job->second);
        by_job_.erase(job);
    }
    for (const auto& s : model_.expire_states(now)) record_state(RecordKind::expired, s.request);
    if (caches_ != nullptr) {
        caches_->publish(model_.take_cache_events());
        caches_->tick();
    }
    flush();
}

void EngineHost::flush() {
    if (server_ != nullptr) server_->flush();
}

EngineFleet::EngineFleet(uv_loop_t& loop, const std::vector<EngineSpec>& specs, Links::Rates rates,
                         std::uint64_t seed, Recorder& recorder, FleetTls* tls, CachePart caches)
    : recorder_(recorder), caches_(caches), tls_(tls), losses_(seed + 1), links_(rates), random_(seed) {
    for (const auto& spec : specs) hosts_.push_back(std::make_unique<EngineHost>(loop, *this, spec));
}
void EngineFleet::tick(Time now) {
    for (auto& h : hosts_) h->tick(now);
}
EngineHost* EngineFleet::find(const std::string& name) {
    const auto it =
        std::find_if(hosts_.begin(), hosts_.end(), [&](const auto& h) { return h->spec().name == name; });
    return it == hosts_.end() ? nullptr : it->get();
}

}  // namespace chalksail::lab
