#include "net/tls_certificates.hpp"

#include <ctime>
#include <stdexcept>

namespace chalksail::net {

using PollResult = tls::CertificateReloader::PollResult;

namespace {

void load_or_throw(tls::CertificateReloader& reloader, const std::string& owner) {
    if (reloader.poll(std::time(nullptr)) != PollResult::replaced)
        throw std::runtime_error(owner + ": " + reloader.error());
}

}  // namespace

TlsCertificates::TlsCertificates(const config::EdgeSettings& settings, observe::Log& log) : log_(log) {
    for (const auto& kind : settings.kinds) {
        if (!kind.tls) continue;
        load_or_throw(by_kind_.try_emplace(kind.name, *kind.tls).first->second, "kind '" + kind.name + "'");
    }
    if (!settings.listener_tls) return;
    listener_.emplace(*settings.listener_tls);
    load_or_throw(*listener_, "listener");
}

TlsCertificates::Changes TlsCertificates::reload() {
    Changes changes;
    for (auto& [kind, reloader] : by_kind_)
        if (reload(reloader, "kind '" + kind + "'")) changes.server_trust = true;
    if (listener_) changes.listener = reload(*listener_, "listener");
    return changes;
}

bool TlsCertificates::reload(tls::CertificateReloader& reloader, const std::string& owner) {
    switch (reloader.poll(std::time(nullptr))) {
        case PollResult::unchanged: return false;
        case PollResult::replaced:
            counts_.replaced += 1;
            log_.info("tls_replaced", owner + ": new files are in use");
            return true;
        case PollResult::refused:
            counts_.refused += 1;
            log_.error("tls_refused", owner + ": " + reloader.error() + "; the last good files stay in use");
            return false;
    }
    return false;
}

std::shared_ptr<tls::Context> TlsCertificates::listener_context() const {
    return listener_ ? listener_->context() : nullptr;
}

Target TlsCertificates::target_of(const Address& address, const std::string& server_kind,
                                  const std::string& server) {
    Target out(address);
    const auto it = by_kind_.find(server_kind);
    if (it == by_kind_.end()) return out;
    out.tls = it->second.context();
    out.tls_name = tls::expected_name(it->second.pattern(), server);
    out.sessions = &it->second.sessions();
    return out;
}

std::map<std::string, std::int64_t> TlsCertificates::valid_seconds(std::int64_t unix_now) const {
    std::map<std::string, std::int64_t> out;
    for (const auto& [kind, reloader] : by_kind_) out[kind] = reloader.context()->valid_until() - unix_now;
    return out;
}

}  // namespace chalksail::net
