#include "net/tls/files.hpp"

#include <fstream>
#include <iterator>

namespace chalksail::net::tls {
namespace {

bool read(const std::string& file, std::string& out, std::string& error) {
    if (file.empty()) return true;
    std::ifstream in(file, std::ios::binary);
    if (!in) {
        error = file + ": can't be read";
        return false;
    }
    out.assign(std::istreambuf_iterator<char>(in), {});
    return true;
}

}  // namespace

tl::expected<Material, std::string> read_files(const config::TlsConfig& config) {
    Material m;
    std::string error;
    if (!read(config.trust, m.trust, error) || !read(config.revocation, m.revocation, error) ||
        !read(config.certificate, m.certificate, error) || !read(config.key, m.key, error))
        return tl::unexpected(error);
    return m;
}

Context::Result load_client(const config::TlsConfig& config, const Material& material,
                            std::int64_t unix_now) {
    auto out = Context::client(material, unix_now);
    if (out) return out;
    const std::string& text = out.error();
    const std::string& file = text.starts_with("trust")        ? config.trust
                              : text.starts_with("revocation") ? config.revocation
                              : text.starts_with("key")        ? config.key
                                                               : config.certificate;
    return tl::unexpected(file + ": " + text);
}

Rotation::Look Rotation::look(std::int64_t unix_now) {
    const auto material = read_files(config_);
    const std::string now = material ? material->trust + '\0' + material->revocation + '\0' +
                                           material->certificate + '\0' + material->key
                                     : material.error();
    if (now == seen_) return Look::unchanged;
    seen_ = now;
    auto next = material ? load_client(config_, *material, unix_now)
                         : Context::Result(tl::unexpected(material.error()));
    if (!next) {
        error_ = next.error();
        return Look::refused;
    }
    context_ = std::move(*next);
    error_.clear();
    // What was verified by the old trust is not resumed under the new.
    sessions_.clear();
    return Look::replaced;
}

std::string expected_name(const std::string& pattern, const std::string& server) {
    std::string out = pattern;
    const auto at = out.find("{name}");
    if (at != std::string::npos) out.replace(at, 6, server);
    return out;
}

}  // namespace chalksail::net::tls
