// The settings of one gateway, parsed from a KDL file and validated. docs/operators/gateway.md lists the
// file's keys, which differ from the names of the fields.
//
// The package holds the KDL reader (kdl/kdl.hpp), the typed reading of nodes (schema.hpp) and the settings'
// schema. It does no I/O and starts no threads; the returned settings own their data. All errors of a
// file are returned as a list of Problems with file, line and column. Every setting has a default, except
// those that the reader marks as required.
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

// Assigns requests to a class. All non-empty fields must match; a '*' at the end of a field matches any
// suffix.
struct ClassRule {
    std::string model;
    std::string path;
    std::string header;
    std::string header_value;  // required value of the header; if empty, any value matches
};
// Settings of a request class that are not in RequestClassSettings.
struct ClassConfig {
    std::string name;
    std::vector<ClassRule> rules;  // if empty, every request matches
    bool deadline_header = false;  // clients may shorten their deadline with "X-Request-Timeout-Ms"
};
// Verified TLS to the servers of a kind. Files are PEM.
struct TlsConfig {
    std::string name;  // name expected in the server's certificate; {name} is replaced by the server's name
    std::string trusted_cas;  // CAs of the servers' certificates
    std::string revocation;   // file with a CRL; if empty, no CRL is used
    std::string certificate;  // this gateway's certificate, if servers request one
    std::string key;
};
// Settings of a server kind that are not in ServerKindSettings.
struct KindConfig {
    std::string name;
    std::vector<int> not_run_statuses;  // HTTP statuses of engines for requests that they did not run
    bool release = true;                // engines of this kind support release calls
    std::optional<TlsConfig> tls;       // if absent, connections are plaintext
    bool cache_events = false;          // engines of this kind publish cache events
};
// TLS for client connections. The first certificate is used if the client's SNI name matches none.
struct ListenerTls {
    struct CertificateFiles {
        std::string certificate;
        std::string key;
    };
    std::vector<CertificateFiles> certificates;
    std::string client_cas;  // CAs for required client certificates; if empty, none are requested
};
// Settings of a tenant that are not in TenantSettings.
struct TenantConfig {
    std::string name;
    std::vector<std::string> keys;  // API keys
};
// How the token ids in engines' cache events are converted to text.
enum class Vocabulary {
    four_bytes,  // a token id is four bytes of text, big-endian; a prompt is its messages as JSON
    tokenizer,   // ids of the model's tokenizer.json; a prompt is the output of its chat template
};
// The subscription to engines' cache events.
struct CacheEvents {
    Vocabulary vocabulary = Vocabulary::four_bytes;
    std::string tokenizer;       // path of the tokenizer.json
    std::string prompt_begin;    // text that the chat template puts before the first message
    std::string prompt_message;  // template of one message, with {role} and {content}
    std::int64_t blocks_per_server = 20'000;
    std::int64_t max_buffered_batches = 1'024;  // event batches per server, buffered during a replay
    std::int64_t max_queued_messages = 1'000;   // unread messages per server; further ones are lost
    std::size_t message_bytes = 4 * 1024 * 1024;
    // The maximum read in one iteration of the event loop, so that other work is not delayed.
    std::int64_t turn_messages = 64;
    std::size_t turn_bytes = 128 * 1024;
    Duration reconnect_min = std::chrono::milliseconds(100);
    Duration reconnect_max = std::chrono::seconds(2);
    Duration replay_timeout = std::chrono::seconds(1);
    std::string snapshot_folder;  // folder for snapshots that survive a restart; if empty, none are stored
    Duration snapshot_interval = std::chrono::seconds(60);  // interval between two snapshots of one server
    std::size_t snapshot_folder_bytes = std::size_t{1024} * 1024 * 1024;  // maximum size of the folder
};
// The protocol between this gateway, its clients and its servers.
enum class ProtocolKind {
    vllm,      // OpenAI-style clients, vLLM's disaggregated prefill
    platform,  // the users' own platform
};
// The source of servers' load reports.
enum class LoadSource {
    none,
    headers,  // headers of the servers' responses
    metrics,  // the servers' metrics, polled
};

// A server of a static endpoint list, for gateways without service discovery.
struct ServerConfig {
    std::string name;
    std::string kind;
    std::string zone;
    std::int64_t cell = 0;
    double weight = 1;
    Address address;
    std::optional<Address> events;  // address at which it publishes cache events
    std::optional<Address> replay;  // address at which it replays past cache events
};

// The value of an unlimited duration.
inline constexpr Duration kNoLimit = Duration::max();

// Limits of a gateway's memory, connections and durations.
struct EdgeLimits {
    // --- Bytes ---
    std::size_t memory_bytes = 0;                          // of the whole process; 0: not known
    std::size_t head_bytes = 32 * 1024;                    // head of a request or response
    std::size_t body_bytes = 8 * 1024 * 1024;              // body of a request
    std::size_t request_bytes = std::size_t{1} << 30U;     // retained bodies of all open requests in total
    std::size_t unfinished_bytes = std::size_t{1} << 30U;  // requests still being received, in total
    // Queued for a client. Above this limit, reading from the engine pauses.
    std::size_t stream_buffer_bytes = 64 * 1024;
    // Read at most of a server's connection in one turn of the event loop.
    std::size_t response_read_bytes = 64 * 1024;
    std::size_t event_bytes = 1024 * 1024;                    // one event of an engine's stream
    std::uint64_t chunk_bytes = std::uint64_t{1} << 30U;      // one chunk of an engine's response
    std::size_t response_bytes = 16 * 1024 * 1024;            // a buffered response, and a prefill's response
    std::size_t all_responses_bytes = std::size_t{1} << 30U;  // buffered of all responses in total
    std::size_t max_stream_bytes = std::size_t{1} << 30U;     // the whole body of an engine's stream
    std::size_t pipelined_bytes = 16 * 1024 * 1024;  // received from a client ahead of its current request
    // Discarded beyond pipelined_bytes before the connection is closed.
    std::size_t discarded_bytes = 4 * 1024 * 1024;

    // --- Counts ---
    std::int64_t client_connections = 12'000;
    std::int64_t open_requests = 11'000;
    std::int64_t connections_per_server = 1'024;
    std::int64_t server_connections = 0;  // connections to all servers in total; 0: no separate limit
    std::int64_t dial_queue = 4'096;      // attempts waiting for a connection, per server
    std::int64_t handshakes = 64;         // TLS handshakes in progress with all servers in total
    std::int64_t handshakes_per_server = 8;
    std::int64_t admin_connections = 64;

    // --- Client connections ---
    Duration head_timeout = std::chrono::seconds(10);  // from a request's first byte to the end of its head
    Duration body_timeout = std::chrono::seconds(30);
    Duration request_idle_timeout{};                   // between bytes of an incomplete request; 0: no limit
    Duration idle_timeout = std::chrono::seconds(75);  // between two requests
    Duration first_timeout{};                          // before the first request; 0: idle_timeout
    // Replaces idle_timeout while few client connections are available.
    Duration idle_timeout_under_pressure = std::chrono::seconds(2);
    // How long a connection stays open after an error response while the client still sends.
    Duration linger = std::chrono::milliseconds(1500);
    Duration stall_timeout = std::chrono::seconds(30);  // for a client that accepts none of its queued bytes

    // --- Streams and servers ---
    Duration stream_idle_timeout = std::chrono::seconds(30);  // between bytes of a stream from an engine
    Duration max_event_duration = std::chrono::seconds(60);   // from one event to the end of the next
    Duration max_stream_duration = std::chrono::minutes(30);
    // How long to wait for the response to a cancelled prefill, which may already be on its way.
    Duration cancel_wait = std::chrono::milliseconds(20);
    Duration server_idle_timeout = std::chrono::seconds(30);  // for an unused connection to a server
    // From the end of a response to the next request on its connection. Unrequested bytes that follow the
    // response within this time close the connection, and are not taken for the next response.
    Duration server_reuse_delay = std::chrono::milliseconds(25);
    // The same for a server that has sent unrequested bytes, for a while after the last of them.
    Duration server_reuse_delay_increased = std::chrono::milliseconds(250);
    Duration server_reuse_delay_increased_for = std::chrono::seconds(10);
    Duration release_timeout = std::chrono::seconds(2);  // for a release call or a health check
    std::int64_t release_attempts = 1;  // rounds of release calls, if any server accepts them
    Duration release_retry{};           // delay before the next round; 0: release_timeout
    // Delay before the next handshake with a server that failed verification.
    Duration unverified_backoff = std::chrono::seconds(1);
    Duration unverified_backoff_max = std::chrono::minutes(5);
    Duration tls_poll_interval = std::chrono::seconds(5);  // between checks of the TLS files for changes

    // --- Shutdown ---
    Duration drain_timeout = std::chrono::seconds(30);  // from SIGTERM to the exit; may be kNoLimit
    Duration drain_grace{};           // how long new requests are still accepted after SIGTERM
    Duration drain_answer_timeout{};  // time from SIGTERM within which these must be answered
};

struct EdgeSettings {
    Settings router;
    ProtocolKind protocol = ProtocolKind::vllm;
    std::string name = "edge-0";
    std::uint64_t seed = 0;  // seed of all random numbers; 0: chosen at random
    Address listen{"127.0.0.1", 0};
    std::optional<Address> admin = Address{"127.0.0.1", 0};  // if absent, there is no admin listener
    CacheEvents cache_events;
    std::optional<ListenerTls> listener_tls;  // if absent, client connections are plaintext
    EdgeLimits limits;
    std::vector<ClassConfig> classes;   // in the order of router.classes
    std::vector<KindConfig> kinds;      // in the order of router.kinds
    std::vector<TenantConfig> tenants;  // in the order of router.tenants
    std::vector<std::string> models;    // if empty, every model is accepted
    bool require_key = false;           // reject requests without a tenant's API key
    std::string session_header = "X-Session-Id";
    double tokens_per_byte = 0.25;  // initial estimate; corrected by the token counts that engines report
    LoadSource load_source = LoadSource::none;
    std::vector<ServerConfig> servers;
    std::string log_level = "info";

    // Returns the kind with this name, or nullptr if there is none.
    [[nodiscard]] const KindConfig* kind(const std::string& kind_name) const {
        const auto it =
            std::find_if(kinds.begin(), kinds.end(), [&](const auto& k) { return k.name == kind_name; });
        return it == kinds.end() ? nullptr : &*it;
    }
};

using SettingsResult = tl::expected<EdgeSettings, std::vector<Problem>>;
// Parses and validates the text of a settings file. `file` is the name used in the problems.
[[nodiscard]] SettingsResult parse_settings(std::string_view text, const std::string& file);

}  // namespace chalksail::config
