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

// Bucket boundaries in seconds.
const prometheus::Histogram::BucketBoundaries kDurationBuckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60};

}  // namespace

struct Metrics::Families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests;
    prometheus::Family<prometheus::Counter>& attempts;
    prometheus::Family<prometheus::Counter>& servers;
    prometheus::Family<prometheus::Counter>& endpoint_lists;
    prometheus::Family<prometheus::Counter>& kv_reservations;
    prometheus::Family<prometheus::Counter>& deferred_attempts;
    prometheus::Family<prometheus::Counter>& guards;
    prometheus::Family<prometheus::Histogram>& first_token;
    prometheus::Family<prometheus::Histogram>& attempt_seconds;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
    // The counters labelled with each server, which are removed with it: as servers are replaced all the
    // time, their number would grow without bound.
    std::map<std::string, std::set<std::pair<prometheus::Family<prometheus::Counter>*, prometheus::Counter*>>>
        counters_by_server;
    std::string gateway;

    void count(const RequestRecord& record);
    void count(const AttemptRecord& record);
    void count(const ServerRecord& record);
    void count(const EndpointListRecord& record);
    void count(const KvReservationRecord& record);
    void count(const DeferralRecord& record);
    void count(const GuardRecord& record);

    explicit Families(const std::string& name)
        : requests(prometheus::BuildCounter()
                       .Name("chalksail_requests_total")
                       .Help("Completed requests, by class, fate (served, refused, failed, client_gone, "
                             "rejected) and reason")
                       .Labels({{"gateway", name}})
                       .Register(registry)),
          attempts(
              prometheus::BuildCounter()
                  .Name("chalksail_attempts_total")
                  .Help("Completed attempts, by server, stage (read: prefill, write: decode) and outcome")
                  .Labels({{"gateway", name}})
                  .Register(registry)),
          servers(prometheus::BuildCounter()
                      .Name("chalksail_server_events_total")
                      .Help("Endpoint changes, health checks and release calls, by server; release with "
                            "result none: the engine has no release call")
                      .Labels({{"gateway", name}})
                      .Register(registry)),
          endpoint_lists(prometheus::BuildCounter()
                             .Name("chalksail_endpoint_lists_total")
                             .Help("Updates of the endpoint list, by kind (delta, snapshot, cached_snapshot)")
                             .Labels({{"gateway", name}})
                             .Register(registry)),
          kv_reservations(
              prometheus::BuildCounter()
                  .Name("chalksail_held_total")
                  .Help("Changes of KV states and capacity reservations at servers, by change and reason")
                  .Labels({{"gateway", name}})
                  .Register(registry)),
          deferred_attempts(prometheus::BuildCounter()
                                .Name("chalksail_deferred_attempts_total")
                                .Help("Attempts that waited for a release call of their request, by change "
                                      "(deferred, resumed, dropped)")
                                .Labels({{"gateway", name}})
                                .Register(registry)),
          guards(
              prometheus::BuildCounter()
                  .Name("chalksail_guards_total")
                  .Help("Router actions that violate a rule and were blocked. Above 0: please report a bug")
                  .Labels({{"gateway", name}})
                  .Register(registry)),
          first_token(prometheus::BuildHistogram()
                          .Name("chalksail_first_token_seconds")
                          .Help("Time from the arrival of a request to its first chunk, by class")
                          .Labels({{"gateway", name}})
                          .Register(registry)),
          attempt_seconds(prometheus::BuildHistogram()
                              .Name("chalksail_attempt_seconds")
                              .Help("Duration of attempts, by stage")
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
        first_token.Add({{"class", record.class_name}}, kDurationBuckets)
            .Observe(seconds(record.first_token));
}

void Metrics::Families::count(const AttemptRecord& record) {
    const std::string stage = record.prefill ? "read" : "write";
    auto& counter =
        attempts.Add({{"server", record.server}, {"stage", stage}, {"outcome", std::string(record.outcome)}});
    counter.Increment();
    counters_by_server[record.server].emplace(&attempts, &counter);
    attempt_seconds.Add({{"stage", stage}}, kDurationBuckets).Observe(seconds(record.duration));
}

void Metrics::Families::count(const ServerRecord& record) {
    // Only these have a small set of results. The details of other actions are addresses and errors, each of
    // which would create a time series.
    const bool has_result =
        record.action == ServerAction::health_check || record.action == ServerAction::release;
    auto& counter = servers.Add({{"server", record.server},
                                 {"what", std::string(name(record.action))},
                                 {"result", has_result ? record.detail : ""}});
    counter.Increment();
    counters_by_server[record.server].emplace(&servers, &counter);
}

void Metrics::Families::count(const EndpointListRecord& record) {
    endpoint_lists.Add({{"kind", std::string(name(record.kind))}}).Increment();
}

void Metrics::Families::count(const KvReservationRecord& record) {
    kv_reservations
        .Add({{"what", std::string(name(record.action))}, {"reason", std::string(name(record.reason))}})
        .Increment();
}

void Metrics::Families::count(const DeferralRecord& record) {
    deferred_attempts.Add({{"what", std::string(name(record.action))}}).Increment();
}

void Metrics::Families::count(const GuardRecord& record) {
    guards.Add({{"what", std::string(name(record.reason))}}).Increment();
}

void Metrics::forget(const std::string& server) {
    const auto it = families_->counters_by_server.find(server);
    if (it == families_->counters_by_server.end()) return;
    for (const auto& [family, counter] : it->second) family->Remove(counter);
    families_->counters_by_server.erase(it);
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
