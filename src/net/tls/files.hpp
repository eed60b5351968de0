// TLS material from an operator's files.
#pragma once

#include <string>
#include <tl/expected.hpp>

#include "config/settings.hpp"
#include "net/tls/filter.hpp"

namespace chalksail::net::tls {

// Reads the files whole and checks what they hold. Errors name the file.
[[nodiscard]] Context::Result load_client(const config::TlsConfig& config, std::int64_t unix_now);

// The name that a server must prove: the pattern with {name} replaced.
[[nodiscard]] std::string expected_name(const std::string& pattern, const std::string& server);

}  // namespace chalksail::net::tls
