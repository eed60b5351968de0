#include "observe/metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <set>
#include <utility>

namespace chalksail::observe {
namespace {

const prometheus::Histogram::BucketBoundaries kSeconds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                                          0.5,   1,      2.5,   5,    10,    30,   60};

}  // namespace

struct Metrics::Families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Counter>& attempts;
    prometheus::Family<prometheus::Counter>& servers;
    prometheus::Family<prometheus::Counter>& endpoint_lists;
    prometheus::Family<prometheus::Counter>& held;
    prometheus::Family<prometheus::Counter>& guards;
    prometheus::Family<prometheus::Histogram>& first_token;
    prometheus::Family<prometheus::Histogram>& attempt_seconds;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
    // What is counted by server, to be dropped with it: new servers come without end.
    std::map<std::string, std::set<std::pair<prometheus::Family<prometheus::Counter>*, prometheus::Counter*>>>
        by_server;
    std::string gateway;

    void count(const RequestRecord& record);
    void count(const AttemptRecord& record);
    void count(const ServerRecord& record);
    void count(const EndpointListRecord& record);
    void count(const KvReservationRecord& record);
    void count(const GuardRecord& record);

    explicit Families(const std::string& name)
        : requests(prometheus::BuildCounter()
                       .Name("chalksail_requests_total")
                       .Help("Requests that ended, by class, fate (served, refused, failed, client_gone, "
                             "rejected) and reason")
                       .Labels({{"gateway", name}})
                       .Register(registry)),
          attempts(prometheus::BuildCounter()
                       .Name("chalksail_attempts_total")
                       .Help("Attempts that ended, by server, stage (read, write) and outcome")
                       .Labels({{"gateway", name}})
                       .Register(registry)),
          servers(prometheus::BuildCounter()
                      .Name("chalksail_server_events_total")
                      .Help("List changes, probes and let-go calls, by server; release/none: the engine lets "
                            "go of nothing")
                      .Labels({{"gateway", name}})
                      .Register(registry)),
          endpoint_lists(prometheus::BuildCounter()
                             .Name("chalksail_endpoint_lists_total")
                             .Help("Updates of the endpoint list, by kind (delta, snapshot, cached_snapshot)")
                             .Labels({{"gateway", name}})
                             .Register(registry)),
          held(prometheus::BuildCounter()
                   .Name("chalksail_held_total")
                   .Help("Steps in the life of read states and places held at servers, by step and reason")
                   .Labels({{"gateway", name}})
                   .Register(registry)),
          guards(prometheus::BuildCounter()
                     .Name("chalksail_guards_total")
                     .Help("Actions that a rule forbids, stopped at the edge. Above 0: report it")
                     .Labels({{"gateway", name}})
                     .Register(registry)),
          first_token(prometheus::BuildHistogram()
                          .Name("chalksail_first_token_seconds")
                          .Help("From a request's arrival to its first chunk, by class")
                          .Labels({{"gateway", name}})
                          .Register(registry)),
          attempt_seconds(prometheus::BuildHistogram()
                              .Name("chalksail_attempt_seconds")
                              .Help("Length of attempts, by stage")
                              .Labels({{"gateway", name}})
                              .Register(registry)),
          gateway(name) {}
};

Metrics::Metrics(const std::string& gateway) : families_(std::make_unique<Families>(gateway)) {}
Metrics::~Metrics() = default;

void Metrics::count(const Record& record) {
    std::visit([this](const auto& typed) { families_->count(typed); }, record);
}

void Metrics::Families::count(const RequestRecord& record) {
    requests
        .Add({{"class", record.class_name},
              {"fate", std::string(name(record.termination))},
              {"reason", std::string(name(record.reason))}})
        .Increment();
    if (record.first_token > Duration::zero())
        first_token.Add({{"class", record.class_name}}, kSeconds).Observe(seconds(record.first_token));
}

void Metrics::Families::count(const AttemptRecord& record) {
    const std::string stage = record.prefill ? "read" : "write";
    auto& counter =
        attempts.Add({{"server", record.server}, {"stage", stage}, {"outcome", std::string(record.outcome)}});
    counter.Increment();
    by_server[record.server].emplace(&attempts, &counter);
    attempt_seconds.Add({{"stage", stage}}, kSeconds).Observe(seconds(record.duration));
}

void Metrics::Families::count(const ServerRecord& record) {
    // Only these have few results: others carry addresses and errors, one time series for each.
    const bool has_result =
        record.action == ServerAction::health_check || record.action == ServerAction::release;
    auto& counter = servers.Add({{"server", record.server},
                                 {"what", std::string(name(record.action))},
                                 {"result", has_result ? record.detail : ""}});
    counter.Increment();
    by_server[record.server].emplace(&servers, &counter);
}

void Metrics::Families::count(const EndpointListRecord& record) {
    endpoint_lists.Add({{"kind", std::string(name(record.kind))}}).Increment();
}

void Metrics::Families::count(const KvReservationRecord& record) {
    held.Add({{"what", std::string(name(record.action))}, {"reason", std::string(name(record.reason))}})
        .Increment();
}

void Metrics::Families::count(const GuardRecord& record) {
    guards.Add({{"what", std::string(name(record.reason))}}).Increment();
}

void Metrics::forget(const std::string& server) {
    const auto it = families_->by_server.find(server);
    if (it == families_->by_server.end()) return;
    for (const auto& [family, counter] : it->second) family->Remove(counter);
    families_->by_server.erase(it);
}

void Metrics::set(const std::string& gauge, double value) {
    auto& family = families_->gauges[gauge];
    if (family == nullptr)
        family = &prometheus::BuildGauge()
                      .Name("chalksail_" + gauge)
                      .Help("See docs/operators/gateway.md")
                      .Register(families_->registry);
    family->Add({{"gateway", families_->gateway}}).Set(value);
}

std::string Metrics::page() const {
    return prometheus::TextSerializer().Serialize(families_->registry.Collect());
}

}  // namespace chalksail::observe
