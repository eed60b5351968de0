// TLS material from an operator's files, and its replacement in service. Reads files; no thread of its own.
// Errors are texts that name the file.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "config/settings.hpp"
#include "net/tls/filter.hpp"

namespace chalksail::net::tls {

// The same for the listener.
[[nodiscard]] tl::expected<std::vector<Material>, std::string> read_files(const config::ListenerTls& config);
[[nodiscard]] Context::Result load_server(const config::ListenerTls& config,
                                          const std::vector<Material>& materials, std::int64_t unix_now);
// The files' texts, read whole. Errors name the file.
[[nodiscard]] tl::expected<Material, std::string> read_files(const config::TlsConfig& config);
// Checks them. Errors name the file at fault.
[[nodiscard]] Context::Result load_client(const config::TlsConfig& config, const Material& material,
                                          std::int64_t unix_now);

// The material in use. poll() is called now and then.
class CertificateReloader {
public:
    explicit CertificateReloader(config::TlsConfig config) : config_(std::move(config)) {}
    explicit CertificateReloader(config::ListenerTls config) : config_(std::move(config)) {}
    enum class PollResult { unchanged, replaced, refused };
    // Reads the files; where they have changed and are good, new connections use them from now on. A bad set
    // keeps the last good one, and is refused once for each change (error()); key and certificate replaced
    // one after the other are such a set until both are there.
    PollResult poll(std::int64_t unix_now);
    [[nodiscard]] const std::shared_ptr<Context>& context() const {
        return context_;
    }  // nullptr: never a good one
    [[nodiscard]] const std::string& error() const { return error_; }
    // Of servers: the name that they must prove, as the settings give it.
    [[nodiscard]] const std::string& pattern() const { return std::get<config::TlsConfig>(config_).name; }
    [[nodiscard]] SessionCache& sessions() { return sessions_; }

private:
    std::variant<config::TlsConfig, config::ListenerTls> config_;
    std::shared_ptr<Context> context_;
    SessionCache sessions_;
    std::string last_read_;   // all texts of the last poll()
    Material used_material_;  // of servers' trust
    std::string error_;
};

// The name that a server must prove: the pattern with {name} replaced.
[[nodiscard]] std::string expected_name(const std::string& pattern, const std::string& server);

}  // namespace chalksail::net::tls
