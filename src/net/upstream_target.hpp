// The target of a call: the server's address, and how the server is verified.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "base/units.hpp"
#include "net/tls/filter.hpp"
#include "net/tls/session_cache.hpp"

namespace chalksail::net {

// Identifies interchangeable connections: the address, and with TLS the name that the server was verified
// for.
using UpstreamKey = std::pair<Address, std::string>;

// Without a TLS context calls are sent in plaintext. With one they are never sent in plaintext, whatever
// fails.
struct Target {
    Target(Address to) : address(std::move(to)) {}  // NOLINT: an address alone is a target
    Address address;
    std::shared_ptr<tls::Context> tls;
    std::string tls_name;                   // The name that the server's certificate must match
    tls::SessionCache* sessions = nullptr;  // Must outlive the pool
    [[nodiscard]] UpstreamKey key() const { return {address, tls ? tls_name : std::string()}; }
};

}  // namespace chalksail::net
