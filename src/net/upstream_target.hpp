// Where a call goes: an address, and how the server there is verified.
#pragma once

#include <memory>
#include <string>
#include <utility>

#include "base/units.hpp"
#include "net/tls/filter.hpp"
#include "net/tls/session_cache.hpp"

namespace chalksail::net {

// Connections to the same address serve each other's calls only where the same name was proved on them.
using UpstreamKey = std::pair<Address, std::string>;

// Without a context the bytes go in plaintext; with one they never do, whatever fails.
struct Target {
    Target(Address to) : address(std::move(to)) {}  // NOLINT: an address alone is a target
    Address address;
    std::shared_ptr<tls::Context> tls;
    std::string tls_name;                   // that the server must prove
    tls::SessionCache* sessions = nullptr;  // outlives the pool
    [[nodiscard]] UpstreamKey key() const { return {address, tls ? tls_name : std::string()}; }
};

}  // namespace chalksail::net
