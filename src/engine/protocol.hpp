// The engines' side: the public convention of vLLM's disaggregated prefill over its OpenAI-style server, and
// our one extension (release go of a state). Bytes <-> typed values; no I/O.
//
//   read     POST /v1/chat/completions  the client's request with max_tokens 1, not streamed, and
//   kv_transfer_params
//                                       {"do_remote_decode": true, "do_remote_prefill": false, ...}
//   write    POST /v1/chat/completions  the client's request, streamed, with the kv_transfer_params of the
//   read's answer let go   POST /v1/kv_transfer/release  {"request_id", "kv_transfer_params"}; ours. 404, 405
//   or 501: it has none. cancel   the connection of that attempt is closed probe    GET /health, or GET
//   /metrics where load figures are wanted from there
//
// X-Request-Id names the request on all of them, X-Request-Attempt the attempt.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chat/request.hpp"
#include "chat/sse.hpp"
#include "http/message.hpp"

namespace chalksail::engine {

inline constexpr std::string_view kChatPath = "/v1/chat/completions";
inline constexpr std::string_view kReleasePath = "/v1/kv_transfer/release";
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";
inline constexpr std::string_view kAttemptHeader = "X-Request-Attempt";
inline constexpr std::string_view kLoadHeader = "endpoint-load-metrics";

[[nodiscard]] std::string prefill_body(std::string_view client_body, const chat::Request& request);
// `kv_params`: JSON, as the read's answer gave them; empty where the writer reads by itself.
[[nodiscard]] std::string decode_body(std::string_view client_body, const chat::Request& request,
                                      std::string_view kv_params);
[[nodiscard]] std::string release_body(std::string_view request_id, std::string_view kv_params);

struct PrefillAnswer {
    std::string kv_params;                // JSON object
    double prompt_tokens = 0;             // 0: not told
    std::optional<double> cached_tokens;  // found kept; many engines do not tell
};
// Nothing if the body is no read's answer: not JSON, or without kv_transfer_params.
[[nodiscard]] std::optional<PrefillAnswer> parse_prefill_answer(std::string_view body);

struct Usage {
    double prompt_tokens = 0;
    double completion_tokens = 0;
    std::optional<double> cached_tokens;  // found kept; many engines do not tell
};
enum class ChunkKind {
    chunk,       // passed on as it is
    usage_only,  // the last one, with "usage" and no choices: the client gets it if it asked
    done,        // [DONE]
    error,       // the engine's error event
    broken,      // no JSON object
};
struct Chunk {
    ChunkKind kind = ChunkKind::chunk;
    std::optional<Usage> usage;
};
[[nodiscard]] Chunk read_chunk(std::string_view data);

// Load, by the names that vLLM publishes: requests running and waiting, and the share of KV memory in use.
struct Load {
    std::optional<double> running;
    std::optional<double> waiting;
    std::optional<double> memory_share;  // 0 to 1
    // In the order that the module's report fields have: requests in hand, share of memory. Empty if not all
    // is told.
    [[nodiscard]] std::vector<double> report() const;
};
// ORCA's header, as "TEXT name=value, ..." or "JSON {...}".
[[nodiscard]] Load parse_load_header(std::string_view value);
// A Prometheus text page. Several series of a name (data-parallel ranks) add up; shares average.
[[nodiscard]] Load parse_metrics_page(std::string_view page);

// A token's text where an id is four bytes of it, the first the highest. False: none has the id 0.
bool four_bytes_of(std::uint32_t token, std::string& out);
// The text of a prompt whose blocks engines name in their cache events: its messages as JSON without white
// space, one after the other. `messages`: the array as it stands in the body; empty for other text.
[[nodiscard]] std::string prompt_text(std::string_view messages);

}  // namespace chalksail::engine
