// The TLS certificates of a gateway: those that it trusts for each kind of server, and those of its own
// listener. Read at the start, and again whenever their files change. Not a thread of its own; the owner
// calls reload(). Errors: the constructor throws std::runtime_error for files that can't be used; later ones
// are logged, and the last good files stay in use.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/settings.hpp"
#include "net/tls/certificate_reloader.hpp"
#include "net/upstream_pool.hpp"
#include "observe/log.hpp"

namespace chalksail::net {

class TlsCertificates {
public:
    TlsCertificates(const config::EdgeSettings& settings, observe::Log& log);

    struct Changes {
        bool trust = false;     // of some kind of server: what was verified before is not any more
        bool listener = false;  // listener_context() is a new one
    };
    // Checks the files, and uses those that have changed and are good for connections from now on.
    Changes reload();

    // Neither servers nor the listener use TLS.
    [[nodiscard]] bool empty() const { return by_kind_.empty() && !listener_; }
    // nullptr: clients connect without TLS.
    [[nodiscard]] std::shared_ptr<tls::Context> listener_context() const;
    // How a server of this kind is connected to.
    [[nodiscard]] Target target_of(const Address& address, const std::string& server_kind,
                                   const std::string& server);
    // Seconds until each kind's files expire.
    [[nodiscard]] std::map<std::string, std::int64_t> valid_seconds(std::int64_t unix_now) const;

    struct Counts {
        std::uint64_t replaced = 0;
        std::uint64_t refused = 0;
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }

private:
    // Whether its files were replaced.
    bool reload(tls::CertificateReloader& reloader, const std::string& owner);

    observe::Log& log_;
    std::map<std::string, tls::CertificateReloader> by_kind_;
    std::optional<tls::CertificateReloader> listener_;
    Counts counts_;
};

}  // namespace chalksail::net
