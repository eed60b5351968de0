// The settings of one gateway, from a KDL file: parsed, validated and typed. docs/operators/gateway.md lists
// the file's keys; the fields' names are those of the code.
//
// The package holds the KDL reader (kdl/kdl.hpp), the typed reading of nodes (schema.hpp) and the settings'
// schema. It does no I/O and starts no threads; what it returns owns its data. Errors are a list of Problems
// with file, line and column, of all that is wrong with the file. Every setting has a default but those that
// the reader marks as required.
#pragma once

#include <algorithm>
#include <chalksail/chalksail.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "base/units.hpp"
#include "config/schema.hpp"

namespace chalksail::config {

// Assigns requests to a class: all parts that are given must match. A '*' at the end of a text matches any
// further text.
struct ClassRule {
    std::string model;
    std::string path;
    std::string header;
    std::string is;  // the header's value; empty: it only has to be there
};
// What this gateway needs of a request class beside RequestClassSettings.
struct ClassConfig {
    std::string name;
    std::vector<ClassRule> rules;  // none: every request
    bool deadline_header = false;  // clients may shorten their deadline by "X-Request-Timeout-Ms"
};
// Verified TLS to the servers of a kind. Files are PEM.
struct TlsConfig {
    std::string name;         // expected in the server's certificate; {name} stands for its name in the list
    std::string trust;        // CAs of the servers' certificates
    std::string revocation;   // a CRL; empty: none
    std::string certificate;  // this gateway's own, if servers request one
    std::string key;
};
// What this gateway needs of a server kind beside ServerKindSettings.
struct KindConfig {
    std::string name;
    std::vector<int> not_run_statuses;  // engines of this kind answer so only what they did not process
    bool release = true;                // its engines release KV state on request
    std::optional<TlsConfig> tls;       // none: plaintext
    bool cache_events = false;          // its engines publish cache events
};
// TLS from clients. The first certificate is for clients that request none of the names (SNI).
struct ListenerTls {
    struct Pair {
        std::string certificate;
        std::string key;
    };
    std::vector<Pair> certificates;
    std::string clients;  // CAs of the certificates that clients must present; empty: none is requested
};
// What this gateway needs of a tenant beside TenantSettings.
struct TenantConfig {
    std::string name;
    std::vector<std::string> keys;  // API keys
};
// How the token ids in engines' cache events are converted to text.
enum class Vocabulary {
    four_bytes,  // an id is four bytes of text, big-endian; a prompt is the JSON of its messages
    tokenizer,   // by the model's tokenizer.json; a prompt is what its template renders
};
// The subscription to engines' cache events.
struct CacheEvents {
    Vocabulary vocabulary = Vocabulary::four_bytes;
    std::string tokenizer;       // file
    std::string prompt_begin;    // what the template puts before the first message
    std::string prompt_message;  // one message, with {role} and {content}
    std::int64_t blocks_per_server = 20'000;
    std::int64_t held_batches = 1'024;  // of one server, while a replay is under way
    std::int64_t queue = 1'000;         // messages of one server not read yet; more are lost
    std::size_t message_bytes = 4 * 1024 * 1024;
    // Read in one turn of the event loop, at most, so that other work is not delayed.
    std::int64_t turn_messages = 64;
    std::size_t turn_bytes = 128 * 1024;
    Duration reconnect_least = std::chrono::milliseconds(100);
    Duration reconnect_most = std::chrono::seconds(2);
    Duration replay_timeout = std::chrono::seconds(1);
    std::string snapshots;  // folder of the snapshots that outlive a restart; empty: none are stored
    Duration snapshot_every = std::chrono::seconds(60);             // of one server
    std::size_t snapshots_bytes = std::size_t{1024} * 1024 * 1024;  // of the folder, at most
};
// The protocol between this gateway, its clients and its servers.
enum class ProtocolKind {
    vllm,      // OpenAI-style clients, vLLM's disaggregated prefill
    platform,  // the users' platform
};
// Where servers' load reports come from.
enum class LoadSource {
    none,
    headers,  // of their responses
    metrics,  // polled
};

// A server that the settings list, if the list comes from nowhere else.
struct ServerConfig {
    std::string name;
    std::string kind;
    std::string zone;
    std::int64_t cell = 0;
    double weight = 1;
    Address address;
    std::optional<Address> events;  // publishes its cache events here
    std::optional<Address> replay;  // replays past cache events here
};

// For durations without a limit.
inline constexpr Duration kNoLimit = Duration::max();

// Limits of a gateway's memory, connections and times.
struct EdgeLimits {
    // --- Bytes ---
    std::size_t head_bytes = 32 * 1024;                    // of a request's or response's head
    std::size_t body_bytes = 8 * 1024 * 1024;              // of a request's body
    std::size_t request_bytes = std::size_t{1} << 30U;     // bodies of all open requests that are retained
    std::size_t unfinished_bytes = std::size_t{1} << 30U;  // all requests that are still being received
    std::size_t stream_buffer = 64 * 1024;  // queued for a client, above which its engine is not read
    std::size_t event_bytes = 1024 * 1024;  // one event of an engine's stream
    std::uint64_t chunk_bytes = std::uint64_t{1} << 30U;  // one chunk of an engine's response
    std::size_t answer_bytes = 16 * 1024 * 1024;          // a buffered response, and a prefill's response
    std::size_t pipelined_bytes = 16 * 1024 * 1024;  // received from a client ahead of its current request
    std::size_t discarded_bytes = 4 * 1024 * 1024;   // beyond that, discarded before its connection is closed

    // --- Counts ---
    std::int64_t connections = 12'000;  // from clients
    std::int64_t open_requests = 11'000;
    std::int64_t per_server = 1'024;      // connections to one server
    std::int64_t server_connections = 0;  // to all servers together; 0: no limit of its own
    std::int64_t dial_queue = 4'096;      // attempts waiting for a connection to one server
    std::int64_t handshakes = 64;         // TLS handshakes to all servers in progress
    std::int64_t handshakes_per_server = 8;
    std::int64_t admin_connections = 64;

    // --- Client connections ---
    Duration head_timeout = std::chrono::seconds(10);  // from a request's first byte to the end of its head
    Duration body_timeout = std::chrono::seconds(30);
    Duration request_idle{};                           // within a request, without a byte; 0: no limit
    Duration idle_timeout = std::chrono::seconds(75);  // between requests
    Duration first_timeout{};                          // before the first request; 0: idle_timeout
    Duration idle_pressed = std::chrono::seconds(2);   // idle_timeout while few connections are available
    Duration linger =
        std::chrono::milliseconds(1500);  // after an error response while the client still sends
    Duration stall_timeout = std::chrono::seconds(30);  // a client that accepts none of its queued bytes

    // --- Streams and servers ---
    Duration stream_idle = std::chrono::seconds(30);  // a started stream without a byte from its engine
    Duration stream_longest = std::chrono::minutes(30);
    // For the response to a cancelled prefill that may still be on its way.
    Duration cancel_wait = std::chrono::milliseconds(20);
    Duration server_idle = std::chrono::seconds(30);  // an unused connection to a server
    // A connection idle for at least this long is reused before one that has just responded.
    Duration server_preferred_idle{};
    Duration release_timeout = std::chrono::seconds(2);  // of a release call and of a health check
    std::int64_t release_attempts = 1;                   // of a release call that any server accepts
    Duration release_retry{};  // until another server is sent such a call; 0: release_timeout
    Duration unverified_backoff = std::chrono::seconds(1);  // before a server's next trial handshake
    Duration unverified_backoff_max = std::chrono::minutes(5);
    Duration tls_poll_interval = std::chrono::seconds(5);  // between checks of the TLS files for changes

    // --- Shutdown ---
    Duration drain = std::chrono::seconds(30);  // from SIGTERM to the exit; or kNoLimit
    Duration drain_grace{};                     // from SIGTERM: new requests are still accepted ...
    Duration drain_answers{};                   // ... and answered within this
};

struct EdgeSettings {
    Settings module;  // of the router
    ProtocolKind protocol = ProtocolKind::vllm;
    std::string name = "edge-0";
    std::uint64_t seed = 0;  // of all randomness; 0: a random one
    Address listen{"127.0.0.1", 0};
    std::optional<Address> admin = Address{"127.0.0.1", 0};  // none: no admin listener
    CacheEvents cache_events;
    std::optional<ListenerTls> listener_tls;  // none: plaintext
    EdgeLimits limits;
    std::vector<ClassConfig> classes;   // in the order of module.classes
    std::vector<KindConfig> kinds;      // in the order of module.kinds
    std::vector<TenantConfig> tenants;  // in the order of module.tenants
    std::vector<std::string> models;    // empty: every model is accepted
    bool require_key = false;           // requests without a tenant's key are rejected
    std::string session_header = "X-Session-Id";
    double tokens_per_byte = 0.25;  // initial estimate; corrected by what engines report
    LoadSource load = LoadSource::none;
    std::vector<ServerConfig> servers;
    std::string log_level = "info";

    // nullptr if there is no such kind.
    [[nodiscard]] const KindConfig* kind(const std::string& kind_name) const {
        const auto it =
            std::find_if(kinds.begin(), kinds.end(), [&](const auto& k) { return k.name == kind_name; });
        return it == kinds.end() ? nullptr : &*it;
    }
};

using SettingsResult = tl::expected<EdgeSettings, std::vector<Problem>>;
// Parses and validates a settings file. `file` is its name in the problems.
[[nodiscard]] SettingsResult parse_settings(std::string_view text, const std::string& file);

}  // namespace chalksail::config
