// The TLS files of a gateway: the trust stores for each kind of server, and the certificate of its client
// listener. Loaded at startup and again after their files change. Has no timer or thread of its own: the
// owner calls reload(). The constructor throws std::runtime_error for files that can't be used; later errors
// are logged, and the last valid files stay in use.
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
        bool server_trust = false;  // of a kind of server: earlier verification results are no longer valid
        bool listener = false;      // listener_context() returns a new context
    };
    // Checks the files for changes; valid new files apply to new connections.
    Changes reload();

    // Returns true if neither a kind of server nor the listener uses TLS.
    [[nodiscard]] bool empty() const { return by_kind_.empty() && !listener_; }
    // Returns nullptr if clients connect without TLS.
    [[nodiscard]] std::shared_ptr<tls::Context> listener_context() const;
    // Returns the connection target of a server of this kind, with its TLS parameters.
    [[nodiscard]] Target target_of(const Address& address, const std::string& server_kind,
                                   const std::string& server);
    // Returns the number of seconds until the files of each kind expire.
    [[nodiscard]] std::map<std::string, std::int64_t> valid_seconds(std::int64_t unix_now) const;

    struct Counts {
        std::uint64_t replaced = 0;
        std::uint64_t refused = 0;
    };
    [[nodiscard]] const Counts& counts() const { return counts_; }

private:
    // Returns whether the files were replaced.
    bool reload(tls::CertificateReloader& reloader, const std::string& owner);

    observe::Log& log_;
    std::map<std::string, tls::CertificateReloader> by_kind_;
    std::optional<tls::CertificateReloader> listener_;
    Counts counts_;
};

}  // namespace chalksail::net
