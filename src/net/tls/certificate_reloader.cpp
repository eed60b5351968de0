#include "net/tls/certificate_reloader.hpp"

#include <fstream>
#include <iterator>

namespace chalksail::net::tls {
namespace {

std::string in_file(const std::string& file, const std::string& text) { return file + ": " + text; }

bool read_file(const std::string& file, std::string& out, std::string& error) {
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
    Material material;
    std::string error;
    if (!read_file(config.trusted_cas, material.trusted_cas, error) ||
        !read_file(config.revocation, material.revocation, error) ||
        !read_file(config.certificate, material.certificate, error) ||
        !read_file(config.key, material.key, error))
        return tl::unexpected(error);
    return material;
}

Context::Result load_client(const config::TlsConfig& config, const Material& material,
                            std::int64_t unix_now) {
    auto out = Context::client(material, unix_now);
    if (out) return out;
    const std::string& text = out.error();
    const std::string& file = text.starts_with("trust")        ? config.trusted_cas
                              : text.starts_with("revocation") ? config.revocation
                              : text.starts_with("key")        ? config.key
                                                               : config.certificate;
    return tl::unexpected(in_file(file, text));
}

tl::expected<std::vector<Material>, std::string> read_files(const config::ListenerTls& config) {
    std::vector<Material> out;
    for (const auto& pair : config.certificates) {
        Material material;
        std::string error;
        if (!read_file(config.client_cas, material.trusted_cas, error) ||
            !read_file(pair.certificate, material.certificate, error) ||
            !read_file(pair.key, material.key, error))
            return tl::unexpected(error);
        out.push_back(std::move(material));
    }
    return out;
}

Context::Result load_server(const config::ListenerTls& config, const std::vector<Material>& materials,
                            std::int64_t unix_now) {
    for (std::size_t i = 0; i < materials.size(); ++i) {
        const auto context = Context::server(materials[i], unix_now);
        if (context) continue;
        const std::string& text = context.error();
        const auto& pair = config.certificates[i];
        const std::string& file = text.starts_with("trust") ? config.client_cas
                                  : text.starts_with("key") ? pair.key
                                                            : pair.certificate;
        return tl::unexpected(in_file(file, text));
    }
    return Context::server(materials, unix_now);
}

namespace {

// Whether every session that was verified under `old` would also be verified under `next`: no CA was removed,
// and the revocation list and the own certificate are unchanged.
bool trusts_all_of(const Material& next, const Material& old) {
    if (next.revocation != old.revocation || next.certificate != old.certificate) return false;
    static const std::string end = "-----END CERTIFICATE-----";
    for (std::size_t at = 0;;) {
        const auto begin = old.trusted_cas.find("-----BEGIN CERTIFICATE-----", at);
        const auto until = begin == std::string::npos ? begin : old.trusted_cas.find(end, begin);
        if (until == std::string::npos) return true;
        if (next.trusted_cas.find(old.trusted_cas.substr(begin, until + end.size() - begin)) ==
            std::string::npos)
            return false;
        at = until;
    }
}

std::string concatenate(const std::vector<Material>& all) {
    std::string out;
    for (const auto& material : all)
        for (const auto* text :
             {&material.trusted_cas, &material.revocation, &material.certificate, &material.key}) {
            out += *text;
            out += '\0';
        }
    return out;
}

}  // namespace

CertificateReloader::PollResult CertificateReloader::poll(std::int64_t unix_now) {
    std::vector<Material> materials;
    std::string read_error;
    if (const auto* client = std::get_if<config::TlsConfig>(&config_)) {
        if (auto read = read_files(*client)) materials.push_back(std::move(*read));
        else read_error = read.error();
    } else {
        if (auto read = read_files(std::get<config::ListenerTls>(config_))) materials = std::move(*read);
        else read_error = read.error();
    }
    const std::string current = read_error.empty() ? concatenate(materials) : read_error;
    if (current == last_read_) return PollResult::unchanged;
    last_read_ = current;
    Context::Result next = tl::unexpected(read_error);
    if (read_error.empty()) {
        if (const auto* client = std::get_if<config::TlsConfig>(&config_))
            next = load_client(*client, materials.front(), unix_now);
        else next = load_server(std::get<config::ListenerTls>(config_), materials, unix_now);
    }
    if (!next) {
        error_ = next.error();
        return PollResult::refused;
    }
    context_ = std::move(*next);
    error_.clear();
    // Sessions verified under wider trust, or under a different own certificate, must not be resumed.
    if (!trusts_all_of(materials.front(), material_in_use_)) sessions_.clear();
    material_in_use_ = std::move(materials.front());
    return PollResult::replaced;
}

std::string expected_name(const std::string& pattern, const std::string& server) {
    std::string out = pattern;
    const auto at = out.find("{name}");
    if (at != std::string::npos) out.replace(at, 6, server);
    return out;
}

}  // namespace chalksail::net::tls
