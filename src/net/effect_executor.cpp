#include "net/effect_executor.hpp"

#include <stdexcept>
#include <utility>
#include <variant>

#include "net/loop_clock.hpp"

namespace chalksail::net {

void EffectExecutor::execute(core::Output& effect) {
    std::visit([this](auto& alternative) { apply(alternative); }, effect);
}

// ---- responses to clients ----

void EffectExecutor::apply(core::SendResponse& effect) {
    resources_.http_server.reply(effect.client.value, effect.status, std::move(effect.headers), effect.body);
}
void EffectExecutor::apply(core::BeginStream& effect) {
    resources_.http_server.begin_stream(effect.client.value, std::move(effect.headers));
}
void EffectExecutor::apply(core::SendStreamBytes& effect) {
    resources_.http_server.stream(effect.client.value, effect.bytes);
}
void EffectExecutor::apply(core::EndStream& effect) {
    resources_.http_server.end_stream(effect.client.value);
}
void EffectExecutor::apply(core::AbortStream& effect) {
    resources_.http_server.abort_stream(effect.client.value);
}

// ---- calls to servers ----

void EffectExecutor::apply(core::Call& effect) {
    const Target target =
        resources_.certificates.target_of(effect.address, effect.server_kind, effect.server);
    if (effect.kind == core::CallKind::verify)
        return resources_.upstream_pool.connect(effect.call.value, target);
    UpstreamRequest request{std::move(effect.method), std::move(effect.target), std::move(effect.headers),
                            std::move(effect.body)};
    const bool exempt_from_limit = effect.kind == core::CallKind::release;
    resources_.upstream_pool.start(effect.call.value, target, std::move(request),
                                   {effect.priority, exempt_from_limit});
}
void EffectExecutor::apply(core::AbortCall& effect) { resources_.upstream_pool.cancel(effect.call.value); }
void EffectExecutor::apply(core::HalfCloseCall& effect) {
    resources_.upstream_pool.half_close(effect.call.value);
}
void EffectExecutor::apply(core::CompleteCall& effect) {
    resources_.upstream_pool.complete(effect.call.value);
}
void EffectExecutor::apply(core::SetCallPaused& effect) {
    resources_.upstream_pool.set_paused(effect.call.value, effect.paused);
}

// ---- cache events ----

void EffectExecutor::apply(core::SubscribeCacheEvents& effect) {
    try {
        resources_.cache_feed->subscribe(effect.server, effect.events, effect.replay);
    } catch (const std::runtime_error& error) {
        // The server's cache is then estimated, as for a server that publishes no events.
        resources_.log.error("cache_events", error.what());
    }
}
void EffectExecutor::apply(core::UnsubscribeCacheEvents& effect) {
    resources_.cache_feed->unsubscribe(effect.server);
}
void EffectExecutor::apply(core::ReplayCacheEvents& effect) {
    resources_.cache_feed->replay(effect.server, effect.from);
}
void EffectExecutor::apply(core::StoreCacheSnapshot& effect) {
    resources_.cache_snapshots->put(effect.server, effect.snapshot);
}
void EffectExecutor::apply(core::DropCacheSnapshot& effect) {
    resources_.cache_snapshots->erase(effect.server);
}

// ---- records ----

void EffectExecutor::apply(core::ForgetEndpoint& effect) { resources_.metrics.forget(effect.server); }
void EffectExecutor::apply(core::EmitRecord& effect) {
    if (resources_.metrics_exposed) resources_.metrics.count(effect.record);
    const Time now = uv_now_time();
    if (rejection_log_limit_.allows(effect.record, now)) resources_.log.write(effect.record);
    if (const auto counts = rejection_log_limit_.take_suppressed(now))
        resources_.log.info("request_lines_suppressed", *counts);
}

}  // namespace chalksail::net
