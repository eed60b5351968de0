// The admin listener: serves /servers, /metrics and /health over HTTP (formats: net/admin.hpp). Not
// thread-safe: belongs to one loop. The constructor's arguments must outlive it. listen() throws
// std::runtime_error if the address can't be listened on.
#pragma once

#include <uv.h>

#include <string>
#include <vector>

#include "base/units.hpp"
#include "membership/endpoint_source.hpp"
#include "net/admin.hpp"
#include "net/http_server.hpp"
#include "observe/log.hpp"

namespace chalksail::net {

class AdminEndpoint : HttpServer::Handler {
public:
    // The parts of the gateway that the pages show.
    struct Gateway {
        virtual ~Gateway() = default;
        [[nodiscard]] virtual std::vector<membership::EndpointConfig> endpoints() const = 0;
        [[nodiscard]] virtual std::string metrics_page() = 0;
        [[nodiscard]] virtual bool draining() const = 0;
    };

    // `source` receives posted lists; nullptr if another source delivers the endpoint list.
    AdminEndpoint(uv_loop_t& loop, const ServerLimits& limits, Gateway& gateway, AdminSource* source,
                  observe::Log& log);

    // Returns the bound address; port 0 requests a free port.
    Address listen(const Address& address) { return server_.listen(address); }
    // Sends the responses that are buffered.
    void flush() { server_.flush(); }

private:
    void on_request(HttpServer::Peer peer, http::Request request, Time) override;
    void on_closed(HttpServer::Peer, const ConnectionEnd&) override {}
    void post_servers(HttpServer::Peer peer, const http::Request& request);
    void get_servers(HttpServer::Peer peer);
    void get_metrics(HttpServer::Peer peer);
    void get_health(HttpServer::Peer peer);
    void reply_json(HttpServer::Peer peer, int status, const std::string& body);
    void reply_not_found(HttpServer::Peer peer, const std::string& reason);

    Gateway& gateway_;
    AdminSource* source_;
    observe::Log& log_;
    HttpServer server_;
};

}  // namespace chalksail::net
