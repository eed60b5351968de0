#include "sockets/load.hpp"

#include <cstdlib>
#include <utility>

#include "net/http_server.hpp"

namespace chalksail::lab {
namespace {

net::PoolLimits load_limits() {
    net::PoolLimits out;
    out.message = {64 * 1024, 0};
    out.connections_per_server = 20'000;
    out.max_queued_calls = 0;
    out.dial_timeout = std::chrono::seconds(3);
    return out;
}

}  // namespace

Load::Load(uv_loop_t& loop, const Scenario& scenario, Recorder& recorder)
    : recorder_(recorder),
      pool_(loop, static_cast<net::UpstreamPool::Handler&>(*this), load_limits()),
      client_workload_(scenario) {}
Load::~Load() = default;

void Load::tick(Time now) {
    for (auto& client_call : client_workload_.due(now)) start(std::move(client_call));
    std::vector<net::UpstreamPool::Call> leave;
    for (const auto& [call, p] : calls_)
        if (p->client_call.disconnect_at != Time{} && p->client_call.disconnect_at <= now)
            leave.push_back(call);
    for (const auto call : leave) disconnect(call, now);
}

void Load::start(ClientCall client_call) {
    const auto& [name, address] = gateways_[client_call.gateway % gateways_.size()];
    recorder_.add(request_record(client_call, name));
    const net::UpstreamPool::Call call = ++last_call_;
    auto p = std::make_unique<Pending>();
    p->gateway = name;
    p->client_call = std::move(client_call);
    Pending& pending = *calls_.emplace(call, std::move(p)).first->second;
    pool_.start(call, address,
                {"POST", "/v1/chat/completions", pending.client_call.headers, pending.client_call.body});
}

void Load::on_head(net::UpstreamPool::Call call, int status, http::Headers headers) {
    const auto it = calls_.find(call);
    if (it == calls_.end()) return;
    it->second->got.head(status, std::atoll(std::string(headers.get("retry-after-ms")).c_str()));
}

void Load::on_body(net::UpstreamPool::Call call, std::string bytes) {
    const auto it = calls_.find(call);
    if (it == calls_.end()) return;
    Pending& p = *it->second;
    if (!p.got.body(p.client_call, bytes)) return;
    const Time now = net::uv_now_time();
    Record r;
    r.at = now;
    r.kind = RecordKind::first;
    r.request = p.client_call.number;
    r.gateway = p.gateway;
    recorder_.add(std::move(r));
    figures_.first_token_ms.push_back(
        std::chrono::duration<double, std::milli>(now - p.client_call.sent_at).count());
}

void Load::on_done(net::UpstreamPool::Call call) {
    const auto it = calls_.find(call);
    if (it == calls_.end()) return;
    Pending& p = *it->second;
    const auto ended = p.got.end(p.client_call);
    if (!p.client_call.stream && ended.termination == "served")
        figures_.first_token_ms.push_back(
            std::chrono::duration<double, std::milli>(net::uv_now_time() - p.client_call.sent_at).count());
    end(call, ended);
}

void Load::on_failed(net::UpstreamPool::Call call, engine::ExchangeEnd, std::string) {
    // The gateway was unreachable, or cut the connection: no answer of its own.
    const auto it = calls_.find(call);
    if (it == calls_.end()) return;
    it->second->got.head(0, 0);
    end(call, {"failed", true});
}

void Load::end(net::UpstreamPool::Call call, const Transcript::End& end) {
    const auto it = calls_.find(call);
    const std::unique_ptr<Pending> p = std::move(it->second);
    calls_.erase(it);
    const Time now = net::uv_now_time();
    Record r;
    r.at = now;
    r.kind = RecordKind::answered;
    r.request = p->client_call.number;
    r.gateway = p->gateway;
    r.termination = end.termination;
    r.status = p->got.status();
    r.intact = end.intact;
    recorder_.add(std::move(r));
    if (client_workload_.ended(p->client_call.client, now, end.termination, p->got.text(),
                               p->got.retry_after_ms()))
        figures_.retries += 1;
}

void Load::disconnect(net::UpstreamPool::Call call, Time now) {
    const auto it = calls_.find(call);
    Record r;
    r.at = now;
    r.kind = RecordKind::client_disconnected;
    r.request = it->second->client_call.number;
    r.gateway = it->second->gateway;
    recorder_.add(std::move(r));
    const std::size_t client = it->second->client_call.client;
    calls_.erase(it);
    pool_.cancel(call);
    client_workload_.hung_up(client, now);
}

void Load::disconnect_all(Time now) {
    while (!calls_.empty()) disconnect(calls_.begin()->first, now);
}

}  // namespace chalksail::lab
