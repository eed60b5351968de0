#include "net/gateway_gauges.hpp"

#include <cctype>

namespace chalksail::net {
namespace {

// Sets gauges of one metrics registry from numbers of any type.
class GaugeWriter {
public:
    explicit GaugeWriter(observe::Metrics& metrics) : metrics_(metrics) {}
    template <typename Number>
    void set(const std::string& name, Number value) {
        metrics_.set(name, static_cast<double>(value));
    }

private:
    observe::Metrics& metrics_;
};

// Returns the name with '_' in place of each character that is not alphanumeric, for use in a metric's name.
std::string sanitize_for_metric_name(std::string name) {
    for (auto& character : name)
        if (std::isalnum(static_cast<unsigned char>(character)) == 0) character = '_';
    return name;
}

void write_requests(const core::Gauges& core, GaugeWriter& out) {
    out.set("open_requests", core.open_requests);
    out.set("started_streams", core.started_streams);
    out.set("calls_out", core.calls);
    out.set("states_held", core.kv_states_held);
    out.set("request_bytes", core.request_bytes);
    out.set("response_bytes", core.response_bytes);
}

void write_clients(const GatewayGauges& gauges, GaugeWriter& out) {
    out.set("client_connections", gauges.clients.connections);
    out.set("client_connections_over_limit", gauges.clients.over_limit);
    out.set("client_accept_errors", gauges.accept_errors);
    out.set("client_bad_requests", gauges.clients.bad_requests);
    out.set("client_stalled", gauges.clients.stalled);
    out.set("client_timed_out", gauges.clients.timed_out);
    out.set("client_input_bytes", gauges.clients.input_bytes);
    out.set("client_output_bytes", gauges.clients.output_bytes);
    out.set("resident_bytes", gauges.resident_bytes);
}

void write_servers(const GatewayGauges& gauges, GaugeWriter& out) {
    const auto& servers = gauges.servers;
    out.set("server_connections", servers.connections);
    out.set("server_dials", servers.dialled);
    out.set("server_dials_failed", servers.dial_failed);
    out.set("server_connections_reused", servers.reused);
    out.set("server_connections_unrequested_bytes", servers.unrequested);
    out.set("servers_not_verified", gauges.core.unverified_servers);
    out.set("tls_handshakes_under_way", servers.handshakes_under_way);
    out.set("tls_handshakes_waiting", servers.handshakes_waiting);
    out.set("tls_files_replaced", gauges.certificates.replaced);
    out.set("tls_handshakes_waiting_most", servers.handshakes_waiting_most);
    out.set("tls_files_refused", gauges.certificates.refused);
    out.set("tls_handshakes", servers.handshakes);
    out.set("tls_handshakes_resumed", servers.handshakes_resumed);
    out.set("tls_handshakes_failed", servers.handshakes_failed);
}

void write_certificates(const GatewayGauges& gauges, GaugeWriter& out) {
    if (gauges.listener_valid_seconds) {
        out.set("listener_tls_valid_seconds", *gauges.listener_valid_seconds);
        out.set("listener_tls_handshakes", gauges.clients.handshakes);
        out.set("listener_tls_handshakes_resumed", gauges.clients.handshakes_resumed);
        out.set("listener_tls_handshakes_failed", gauges.clients.handshakes_failed);
    }
    for (const auto& [kind, seconds] : gauges.servers_valid_seconds)
        out.set("tls_valid_seconds_" + sanitize_for_metric_name(kind), seconds);
}

void write_caches(const GatewayGauges& gauges, GaugeWriter& out) {
    if (!gauges.cache_feed) return;
    const auto& prefixes = gauges.core.prefixes;
    out.set("prefix_servers_followed", gauges.cache_feed->subscriptions);
    out.set("prefix_servers_told", prefixes.trusted);
    out.set("prefix_blocks", prefixes.blocks);
    out.set("prefix_messages", prefixes.messages);
    out.set("prefix_messages_bad", prefixes.malformed_messages + gauges.cache_feed->malformed);
    out.set("prefix_gaps", prefixes.gaps);
    out.set("prefix_gaps_unfilled", prefixes.unfilled_gaps);
    out.set("prefix_restarts", prefixes.restarts);
    out.set("prefix_snapshots_written", gauges.snapshots_written);
    out.set("prefix_snapshots_proved", prefixes.snapshots_verified);
    out.set("prefix_snapshots_unproved", prefixes.snapshots_discarded);
}

}  // namespace

// Sets the gauges in a fixed order: the page lists them in the order in which they were first set.
void publish(const GatewayGauges& gauges, observe::Metrics& metrics) {
    GaugeWriter out(metrics);
    write_requests(gauges.core, out);
    write_clients(gauges, out);
    write_servers(gauges, out);
    write_certificates(gauges, out);
    write_caches(gauges, out);
    out.set("server_queue", gauges.servers.waiting);
}

}  // namespace chalksail::net
