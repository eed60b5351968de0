// TLS sessions to resume, by the name of the server that gave them. Bounded and aged. A session of TLS 1.3 is
// used once (RFC 8446, C.4); one of 1.2 stays until it is old. No I/O; the time of day is an argument.
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
        std::size_t names = 4096;
        std::size_t each = 16;  // of one name: some handshakes may run side by side
        std::int64_t seconds = 3600;
    };
    SessionCache() : SessionCache(Limits{}) {}
    explicit SessionCache(Limits limits) : limits_(limits) {}

    // `until`: seconds since 1970 at which what was proved by it ends, the server's certificate mostly.
    void put(const std::string& name, Session session, std::int64_t unix_now, std::int64_t until);
    // The newest for that name; nothing if there is none young enough.
    [[nodiscard]] Session take(const std::string& name, std::int64_t unix_now);
    // All go: after a change of what is trusted nothing may be resumed that was verified by the old.
    void clear();
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry {
        Session session;
        std::int64_t until = 0;
    };
    struct Name {
        std::list<Entry> entries;  // oldest first
        std::list<std::string>::iterator position;
    };
    void drop(const std::string& name);

    Limits limits_;
    std::map<std::string, Name> names_;
    std::list<std::string> order_;  // least recently used first
};

}  // namespace chalksail::net::tls
