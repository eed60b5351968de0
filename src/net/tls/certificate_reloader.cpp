#include "net/tls/certificate_reloader.hpp"

#include <fstream>
#include <iterator>

namespace chalksail::net::tls {
namespace {

std::string in_file(const std::string& file, const std::string& text) { return file + ": " + text; }

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
    if (!read(config.trusted_cas, m.trust, error) || !read(config.revocation, m.revocation, error) ||
        !read(config.certificate, m.certificate, error) || !read(config.key, m.key, error))
        return tl::unexpected(error);
    return m;
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
        Material m;
        std::string error;
        if (!read(config.client_cas, m.trust, error) || !read(pair.certificate, m.certificate, error) ||
            !read(pair.key, m.key, error))
            return tl::unexpected(error);
        out.push_back(std::move(m));
    }
    return out;
}

Context::Result load_server(const config::ListenerTls& config, const std::vector<Material>& materials,
                            std::int64_t unix_now) {
    for (std::size_t i = 0; i < materials.size(); ++i) {
        const auto one = Context::server(materials[i], unix_now);
        if (one) continue;
        const std::string& text = one.error();
        const auto& pair = config.certificates[i];
        const std::string& file = text.starts_with("trust") ? config.client_cas
                                  : text.starts_with("key") ? pair.key
                                                            : pair.certificate;
        return tl::unexpected(in_file(file, text));
    }
    return Context::server(materials, unix_now);
}

namespace {

// Sessions verified under `old` would be verified under `next` too: nothing was taken from what is
// trusted.
bool trusts_all_of(const Material& next, const Material& old) {
    if (next.revocation != old.revocation || next.certificate != old.certificate) return false;
    static const std::string end = "-----END CERTIFICATE-----";
    for (std::size_t at = 0;;) {
        const auto begin = old.trust.find("-----BEGIN CERTIFICATE-----", at);
        const auto until = begin == std::string::npos ? begin : old.trust.find(end, begin);
        if (until == std::string::npos) return true;
        if (next.trust.find(old.trust.substr(begin, until + end.size() - begin)) == std::string::npos)
            return false;
        at = until;
    }
}

std::string joined(const std::vector<Material>& all) {
    std::string out;
    for (const auto& material : all)
        for (const auto* text :
             {&material.trust, &material.revocation, &material.certificate, &material.key}) {
            out += *text;
            out += '\0';
        }
    return out;
}

}  // namespace

CertificateReloader::PollResult CertificateReloader::poll(std::int64_t unix_now) {
    std::vector<Material> materials;
    std::string unread;
    if (const auto* client = std::get_if<config::TlsConfig>(&config_)) {
        if (auto m = read_files(*client)) materials.push_back(std::move(*m));
        else unread = m.error();
    } else {
        if (auto m = read_files(std::get<config::ListenerTls>(config_))) materials = std::move(*m);
        else unread = m.error();
    }
    const std::string now = unread.empty() ? joined(materials) : unread;
    if (now == last_read_) return PollResult::unchanged;
    last_read_ = now;
    Context::Result next = tl::unexpected(unread);
    if (unread.empty()) {
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
    // What was verified by a trust that is narrower now, or under another name of ours, is not resumed.
    if (!trusts_all_of(materials.front(), used_material_)) sessions_.clear();
    used_material_ = std::move(materials.front());
    return PollResult::replaced;
}

std::string expected_name(const std::string& pattern, const std::string& server) {
    std::string out = pattern;
    const auto at = out.find("{name}");
    if (at != std::string::npos) out.replace(at, 6, server);
    return out;
}

}  // namespace chalksail::net::tls
