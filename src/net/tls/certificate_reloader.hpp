// Loads TLS material from an operator's files and replaces it while in service. Reads files; starts no
// thread. Errors are texts that name the file.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

#include "config/settings.hpp"
#include "net/tls/filter.hpp"

namespace chalksail::net::tls {

// Reads the listener's files whole, one Material for each certificate. Errors name the file.
[[nodiscard]] tl::expected<std::vector<Material>, std::string> read_files(const config::ListenerTls& config);
// Checks the listener's materials and creates its context. Errors name the file at fault.
[[nodiscard]] Context::Result load_server(const config::ListenerTls& config,
                                          const std::vector<Material>& materials, std::int64_t unix_now);
// Reads the files for connections to servers whole. Errors name the file.
[[nodiscard]] tl::expected<Material, std::string> read_files(const config::TlsConfig& config);
// Checks the material and creates the context for connections to servers. Errors name the file at fault.
[[nodiscard]] Context::Result load_client(const config::TlsConfig& config, const Material& material,
                                          std::int64_t unix_now);

// Holds the TLS material in use. The owner calls poll() periodically to pick up changed files.
class CertificateReloader {
public:
    explicit CertificateReloader(config::TlsConfig config) : config_(std::move(config)) {}
    explicit CertificateReloader(config::ListenerTls config) : config_(std::move(config)) {}
    enum class PollResult { unchanged, replaced, refused };
    // Reads the files. If they have changed and are valid, new connections use them from now on. Invalid
    // files leave the last valid material in use and are reported as `refused` once for each change, see
    // error(). This also happens while only one of key and certificate has been replaced.
    PollResult poll(std::int64_t unix_now);
    // Returns nullptr until valid files were read.
    [[nodiscard]] const std::shared_ptr<Context>& context() const { return context_; }
    // Returns the last poll's error, or an empty text.
    [[nodiscard]] const std::string& error() const { return error_; }
    // Returns the configured pattern of the names that servers must match. Not for listeners.
    [[nodiscard]] const std::string& pattern() const { return std::get<config::TlsConfig>(config_).name; }
    [[nodiscard]] SessionCache& sessions() { return sessions_; }

private:
    std::variant<config::TlsConfig, config::ListenerTls> config_;
    std::shared_ptr<Context> context_;
    SessionCache sessions_;
    std::string last_read_;     // All files' contents at the last poll(), or the read error
    Material material_in_use_;  // First material, to detect CAs and revocation that have changed
    std::string error_;
};

// Returns the name that a server must match: the pattern with {name} replaced by the server's name.
[[nodiscard]] std::string expected_name(const std::string& pattern, const std::string& server);

}  // namespace chalksail::net::tls
