// Executes the effects that the core returns, on the gateway's sockets, stores, logs and metrics. Makes no
// decisions. Not thread-safe. The resources must outlive the executor. Errors are logged.
#pragma once

#include "core/edge.hpp"
#include "net/cache_feed.hpp"
#include "net/cache_snapshot_store.hpp"
#include "net/http_server.hpp"
#include "net/tls_certificates.hpp"
#include "net/upstream_pool.hpp"
#include "observe/log.hpp"
#include "observe/metrics.hpp"
#include "observe/rejection_log_limit.hpp"

namespace chalksail::net {

class EffectExecutor {
public:
    struct Resources {
        HttpServer& http_server;
        UpstreamPool& upstream_pool;
        TlsCertificates& certificates;
        observe::Log& log;
        observe::Metrics& metrics;
        CacheFeed* cache_feed = nullptr;                // nullptr if no kind of server publishes cache events
        CacheSnapshotStore* cache_snapshots = nullptr;  // nullptr if no snapshots are stored
        bool metrics_exposed = false;                   // if false, records are logged only
    };
    explicit EffectExecutor(Resources resources) : resources_(resources) {}

    void execute(core::Output& effect);

private:
    void apply(core::SendResponse& effect);
    void apply(core::BeginStream& effect);
    void apply(core::SendStreamBytes& effect);
    void apply(core::EndStream& effect);
    void apply(core::AbortStream& effect);
    void apply(core::Call& effect);
    void apply(core::AbortCall& effect);
    void apply(core::HalfCloseCall& effect);
    void apply(core::CompleteCall& effect);
    void apply(core::SetCallPaused& effect);
    void apply(core::SubscribeCacheEvents& effect);
    void apply(core::UnsubscribeCacheEvents& effect);
    void apply(core::ReplayCacheEvents& effect);
    void apply(core::StoreCacheSnapshot& effect);
    void apply(core::DropCacheSnapshot& effect);
    void apply(core::ForgetEndpoint& effect);
    void apply(core::EmitRecord& effect);

    Resources resources_;
    observe::RejectionLogLimit rejection_log_limit_;
};

}  // namespace chalksail::net
