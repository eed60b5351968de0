// The settings of one edge: what the KDL file says, checked and typed. Reading them decides nothing: values
// go on to the rooms that use them. All have safe defaults but those marked "needed".
// docs/operators/gateway.md lists them.
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

// A rule that puts requests into a class: all parts that are given must match. A '*' at the end of a text
// stands for any rest.
struct ClassRule {
    std::string model;
    std::string path;
    std::string header;
    std::string is;  // the header's value; empty: it only has to be there
};
struct ClassConfig {
    std::string name;
    std::vector<ClassRule> rules;  // none: every request
    bool deadline_header = false;  // clients may shorten their deadline by the header "X-Request-Timeout-Ms"
};
// Verified TLS to the servers of a kind. Files are PEM.
struct TlsConfig {
    std::string name;         // that a server must prove; {name} stands for its name in the list
    std::string trust;        // the CAs that may sign for it
    std::string revocation;   // a CRL; empty: none
    std::string certificate;  // this gateway's own, if servers want one
    std::string key;
};
struct KindConfig {
    std::string name;
    std::vector<int> not_run_statuses;  // an engine of this kind answers so only what it has not run
    bool release = true;                // it lets go of states when asked
    std::optional<TlsConfig> tls;       // none: in the clear
    bool cache_events = false;          // its engines publish what they keep
};
// TLS from clients. The first certificate is shown to a client that names none of them.
struct ListenerTls {
    struct Pair {
        std::string certificate;
        std::string key;
    };
    std::vector<Pair> certificates;
    std::string clients;  // CAs of the certificates that clients must show; empty: none is asked for
};
struct TenantConfig {
    std::string name;
    std::vector<std::string> keys;
};
// How token ids in engines' cache events become text.
enum class Vocabulary {
    four_bytes,  // an id is four bytes of text, the first the highest; prompts are their messages' JSON
    tokenizer,   // by the model's tokenizer.json; prompts as its template renders them
};
struct CacheEvents {
    Vocabulary vocabulary = Vocabulary::four_bytes;
    std::string tokenizer;       // file
    std::string prompt_begin;    // what the template puts before the first message
    std::string prompt_message;  // one message, with {role} and {content}
    std::int64_t blocks_per_server = 20'000;
    std::int64_t held_batches = 1'024;  // of one server, while a replay is under way
    std::int64_t queue = 1'000;         // messages of one server that wait to be read; more are lost
    std::size_t message_bytes = 4 * 1024 * 1024;
    std::int64_t turn_messages = 64;      // taken before other work of the edge has its turn; or once ...
    std::size_t turn_bytes = 128 * 1024;  // ... so much has come
    Duration reconnect_least = std::chrono::milliseconds(100);
    Duration reconnect_most = std::chrono::seconds(2);
    Duration replay_timeout = std::chrono::seconds(1);
    std::string snapshots;  // folder in which what each edge knows outlives it; empty: nothing does
    Duration snapshot_every = std::chrono::seconds(60);             // of one server
    std::size_t snapshots_bytes = std::size_t{1024} * 1024 * 1024;  // of the folder, at most
};
// The convention spoken with clients and servers.
enum class ProtocolKind {
    vllm,      // OpenAI-style clients, vLLM's disaggregated prefill
    platform,  // the users' platform
};
enum class LoadSource { none, headers, metrics };

struct ServerConfig {
    std::string name;
    std::string kind;
    std::string zone;
    std::int64_t cell = 0;
    double weight = 1;
    Address address;
    std::optional<Address> events;  // where it publishes its cache events, and replays past ones
    std::optional<Address> replay;
};

// Of a time that is not limited as a whole.
inline constexpr Duration kNoLimit = Duration::max();

struct EdgeLimits {
    std::size_t head_bytes = 32 * 1024;
    std::size_t body_bytes = 8 * 1024 * 1024;
    std::size_t request_bytes = std::size_t{1}
                                << 30U;  // of all open requests' bodies, as long as they are kept
    std::size_t unfinished_bytes = std::size_t{1} << 30U;  // of all requests that are still coming
    std::int64_t connections = 12'000;                     // from clients
    std::int64_t open_requests = 11'000;
    std::int64_t per_server = 1'024;        // connections to one server
    std::int64_t dial_queue = 4'096;        // attempts waiting for a connection to one server
    std::size_t stream_buffer = 64 * 1024;  // bytes waiting for a client above which its engine is not read
    std::size_t event_bytes = 1024 * 1024;  // one event of an engine
    std::uint64_t chunk_bytes = std::uint64_t{1} << 30U;  // one chunk of an engine's answer
    std::size_t answer_bytes = 16 * 1024 * 1024;  // of an answer that is put together, and of a read's answer
    // Taken from a client ahead of the request in hand; and more than that, thrown away before it is closed.
    std::size_t pipelined_bytes = 16 * 1024 * 1024;
    std::size_t discarded_bytes = 4 * 1024 * 1024;
    // For the answer to a read that was called off, where that can be on its way still.
    Duration cancel_wait = std::chrono::milliseconds(20);
    Duration head_timeout =
        std::chrono::seconds(10);  // from the first byte of a request to the end of its head
    Duration body_timeout = std::chrono::seconds(30);
    Duration request_idle{};  // without a byte of a request that has begun; 0: no limit of its own
    Duration idle_timeout = std::chrono::seconds(75);   // a client's connection with nothing asked
    Duration idle_pressed = std::chrono::seconds(2);    // the same where few connections are left to give
    Duration linger = std::chrono::milliseconds(1500);  // for a client to read its error while it still sends
    Duration stall_timeout = std::chrono::seconds(30);  // a client that takes nothing of what waits for it
    Duration stream_idle = std::chrono::seconds(30);    // a started stream without a byte from its engine
    Duration stream_longest = std::chrono::minutes(30);
    Duration server_idle = std::chrono::seconds(30);  // an unused connection to a server
    Duration
        server_preferred_idle{};  // one that has rested so long is taken before one that has just answered
    Duration drain = std::chrono::seconds(30);           // from SIGTERM to the exit; or kNoLimit
    Duration drain_grace{};                              // of it, new requests are still taken ...
    Duration drain_answers{};                            // ... and answered within this, from SIGTERM
    Duration release_timeout = std::chrono::seconds(2);  // for a let-go call, and for a probe
    std::int64_t release_attempts = 1;                   // of a let-go call that any server takes
    Duration release_retry{};             // until another server is asked for such a call; 0: release_timeout
    std::int64_t server_connections = 0;  // to all servers together; 0: no limit of its own
    Duration first_timeout{};             // a client's connection with nothing ever asked; 0: as idle
    std::int64_t handshakes = 64;         // TLS to servers, under way at once, in all
    std::int64_t handshakes_per_server = 8;
    Duration unverified_backoff = std::chrono::seconds(1);  // until a server is asked again to prove its name
    Duration unverified_backoff_max = std::chrono::minutes(5);
    Duration tls_poll_interval = std::chrono::seconds(5);  // between looks at TLS files
    std::int64_t admin_connections = 64;
};

struct EdgeSettings {
    Settings module;  // what the decision module is given
    ProtocolKind protocol = ProtocolKind::vllm;
    std::string name = "edge-0";
    std::uint64_t seed = 0;  // 0: drawn at the start
    Address listen{"127.0.0.1", 0};
    std::optional<Address> admin = Address{"127.0.0.1", 0};  // none: no admin listener
    CacheEvents cache_events;
    std::optional<ListenerTls> listener_tls;  // none: clients speak in the clear
    EdgeLimits limits;
    std::vector<ClassConfig> classes;   // beside module.classes, in the same order
    std::vector<KindConfig> kinds;      // beside module.kinds
    std::vector<TenantConfig> tenants;  // beside module.tenants
    std::vector<std::string> models;    // none: every model is known
    bool require_key = false;
    std::string session_header = "X-Session-Id";
    double tokens_per_byte = 0.25;  // to begin with; corrected by what engines report
    LoadSource load = LoadSource::none;
    std::vector<ServerConfig> servers;
    std::string log_level = "info";

    // nullptr: not known.
    [[nodiscard]] const KindConfig* kind(const std::string& kind_name) const {
        const auto it =
            std::find_if(kinds.begin(), kinds.end(), [&](const auto& k) { return k.name == kind_name; });
        return it == kinds.end() ? nullptr : &*it;
    }
};

using SettingsResult = tl::expected<EdgeSettings, std::vector<Problem>>;
// `file` is only named in problems.
[[nodiscard]] SettingsResult parse_settings(std::string_view text, const std::string& file);

}  // namespace chalksail::config
