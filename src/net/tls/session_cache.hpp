// A bounded cache of resumable TLS sessions, by server name. Sessions expire. A TLS 1.3 session is used once
// (RFC 8446, C.4); a TLS 1.2 session is reused until it expires. No I/O; the time of day is an argument.
#pragma once

#include <openssl/ssl.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace chalksail::net::tls {

struct SessionDeleter {
    void operator()(SSL_SESSION* session) const;
};
using Session = std::unique_ptr<SSL_SESSION, SessionDeleter>;

class SessionCache {
public:
    struct Limits {
        std::size_t max_names = 4096;
        std::size_t max_per_name = 16;  // More than one, as several handshakes may run concurrently
        std::int64_t lifetime_seconds = 3600;
    };
    SessionCache() : SessionCache(Limits{}) {}
    explicit SessionCache(Limits limits) : limits_(limits) {}

    // Adds a session. `expires_at` is the Unix time at which the verified server certificate expires.
    void put(const std::string& name, Session session, std::int64_t unix_now, std::int64_t expires_at);
    // Returns the name's newest session that has not expired, or nullptr.
    [[nodiscard]] Session take(const std::string& name, std::int64_t unix_now);
    // Removes all sessions. Needed when trust changes: a resumed session is not verified again.
    void clear();
    // Returns the number of sessions of all names.
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        Session session;
        std::int64_t expires_at = 0;
    };
    struct Name {
        std::list<Entry> entries;  // Oldest first
        std::list<std::string>::iterator position;
    };
    void remove_name(const std::string& name);

    Limits limits_;
    std::map<std::string, Name> names_;
    std::list<std::string> order_;  // Least recently used first
};

}  // namespace chalksail::net::tls
