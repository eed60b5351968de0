#include "sockets/fleet_tls.hpp"

#include <openssl/rand.h>

#include <ctime>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace chalksail::lab {
namespace {
constexpr std::int64_t kBefore = 3600;
constexpr std::int64_t kLasts = 7 * 86'400;
}  // namespace

FleetTls::FleetTls(std::string bundle, bool keeps_tickets)
    : bundle_(std::move(bundle)),
      keeps_tickets_(keeps_tickets),
      authority_("fleet", std::time(nullptr) - kBefore, std::time(nullptr) + kLasts),
      trust_(authority_.certificate()),
      ticket_keys_(net::tls::Context::kTicketKeyBytes, '\0') {
    if (RAND_bytes(reinterpret_cast<unsigned char*>(ticket_keys_.data()),
                   static_cast<int>(ticket_keys_.size())) != 1)
        throw std::runtime_error("no random bytes");
    write_bundle();
}

std::shared_ptr<net::tls::Context> FleetTls::start(const std::string& engine) {
    const std::int64_t now = std::time(nullptr);
    auto it = leaves_.find(engine);
    if (it == leaves_.end()) {
        const auto other = misnamed_.find(engine);
        const std::string name = other != misnamed_.end() ? other->second : engine + ".engines.example.org";
        it = leaves_.emplace(engine, authority_.issue({{name}, {}, now - kBefore, now + kLasts, true, 0, 0}))
                 .first;
    }
    auto context = net::tls::Context::server({"", "", it->second.certificate, it->second.key}, now);
    if (!context) throw std::runtime_error(engine + ": " + context.error());
    // A box of another name is another box: it has no ticket keys of this fleet, or it could pass by them.
    if (keeps_tickets_ && !misnamed_.contains(engine) && !(*context)->set_ticket_keys(ticket_keys_))
        throw std::runtime_error("ticket keys were not taken");
    return *context;
}

void FleetTls::renew() {
    const std::int64_t now = std::time(nullptr);
    leaves_.clear();
    trust_ += Authority("next-" + std::to_string(++renewals_), now - kBefore, now + kLasts).certificate();
    write_bundle();
}

void FleetTls::misname(const std::string& engine, const std::string& name) {
    if (name.empty()) misnamed_.erase(engine);
    else misnamed_[engine] = name;
    leaves_.erase(engine);
}

void FleetTls::write_bundle() {
    // Whole or not at all: whoever looks meanwhile sees the one before.
    const std::string beside = bundle_ + ".new";
    std::ofstream out(beside, std::ios::binary);
    out << trust_;
    out.close();
    if (!out) throw std::runtime_error(beside + ": can't be written");
    std::filesystem::rename(beside, bundle_);
}

}  // namespace chalksail::lab
