#include "net/admin_endpoint.hpp"

#include <utility>

#include "chat/request.hpp"

namespace chalksail::net {

AdminEndpoint::AdminEndpoint(uv_loop_t& loop, const ServerLimits& limits, Gateway& gateway,
                             AdminSource* source, observe::Log& log)
    : gateway_(gateway),
      source_(source),
      log_(log),
      server_(loop, static_cast<HttpServer::Handler&>(*this), limits) {}

void AdminEndpoint::on_request(HttpServer::Peer peer, http::Request request, Time) {
    const auto path = request.path();
    const bool get = request.method == "GET";
    if (path == "/servers" && source_ == nullptr)
        return reply_not_found(peer, "the endpoint list is not managed by this listener");
    if (path == "/servers" && request.method == "POST") return post_servers(peer, request);
    if (path == "/servers" && get) return get_servers(peer);
    if (path == "/metrics" && get) return get_metrics(peer);
    if (path == "/health" && get) return get_health(peer);
    reply_not_found(peer, "no such path");
}

void AdminEndpoint::post_servers(HttpServer::Peer peer, const http::Request& request) {
    if (const auto error = source_->post(request.body)) {
        log_.warn("list_refused", *error);
        return reply_json(peer, 400,
                          chat::format_error({400, *error, "invalid_request_error", "servers", ""}));
    }
    // The gateway has received the list before its sender gets this response.
    reply_json(peer, 200, R"({"taken":true})");
}

void AdminEndpoint::get_servers(HttpServer::Peer peer) {
    reply_json(peer, 200, format_server_list(gateway_.endpoints(), source_->offset()));
}

void AdminEndpoint::get_metrics(HttpServer::Peer peer) {
    http::Headers headers;
    headers.add("Content-Type", "text/plain; version=0.0.4");
    server_.reply(peer, 200, std::move(headers), gateway_.metrics_page());
}

void AdminEndpoint::get_health(HttpServer::Peer peer) {
    if (gateway_.draining()) reply_json(peer, 503, R"({"status":"draining"})");
    else reply_json(peer, 200, R"({"status":"ok"})");
}

void AdminEndpoint::reply_not_found(HttpServer::Peer peer, const std::string& reason) {
    reply_json(peer, 404, chat::format_error({404, reason, "invalid_request_error", "", "not_found"}));
}

void AdminEndpoint::reply_json(HttpServer::Peer peer, int status, const std::string& body) {
    http::Headers headers;
    headers.add("Content-Type", "application/json");
    server_.reply(peer, status, std::move(headers), body);
}

}  // namespace chalksail::net
