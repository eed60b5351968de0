// The engines' side: vLLM's protocol for disaggregated prefill over its OpenAI-style server, and this
// project's one extension (the release of a KV state). Bytes <-> typed values; no I/O, no threads. Malformed
// input is returned as nullopt, or as a kind of its own.
//
//   prefill        POST /v1/chat/completions: the client's request with max_tokens 1, not streamed, and
//                  kv_transfer_params {"do_remote_decode": true, "do_remote_prefill": false, ...}
//   decode         POST /v1/chat/completions: the client's request, streamed, with the kv_transfer_params of
//   the
//                  prefill's response
//   release        POST /v1/kv_transfer/release {"request_id", "kv_transfer_params"}; the extension. Engines
//                  without it answer 404, 405 or 501.
//   cancel         the attempt's connection is closed
//   health check   GET /health, or GET /metrics where load reports are read from there
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

// The body of a prefill call, from the client's.
[[nodiscard]] std::string prefill_body(std::string_view client_body, const chat::Request& request);
// The body of a decode call, from the client's. `kv_params`: JSON, as in the prefill's response; empty where
// the decode server does the prefill itself.
[[nodiscard]] std::string decode_body(std::string_view client_body, const chat::Request& request,
                                      std::string_view kv_params);
// The body of a release call.
[[nodiscard]] std::string release_body(std::string_view request_id, std::string_view kv_params);

// What the gateway uses of a prefill's response.
struct PrefillResponse {
    std::string kv_params;                // JSON object
    double prompt_tokens = 0;             // 0: unknown
    std::optional<double> cached_tokens;  // of the prompt; many engines do not report it
};
// Nullopt if the body is no prefill response: not JSON, or without kv_transfer_params.
[[nodiscard]] std::optional<PrefillResponse> parse_prefill_response(std::string_view body);

// Token counts of a response.
struct Usage {
    double prompt_tokens = 0;
    double completion_tokens = 0;
    std::optional<double> cached_tokens;  // of the prompt; many engines do not report it
};
// What an event of a decode stream is.
enum class ChunkKind {
    chunk,       // forwarded as it is
    usage_only,  // the last one, with "usage" and no choices: forwarded if the client requested it
    done,        // [DONE]
    error,       // the engine's error event
    broken,      // no JSON object
};
// One event of a decode stream.
struct Chunk {
    ChunkKind kind = ChunkKind::chunk;
    std::optional<Usage> usage;
};
// Classifies an event's data. Reads the JSON only where it may hold usage or an error.
[[nodiscard]] Chunk read_chunk(std::string_view data);

// A load report in vLLM's terms: requests running and waiting, and the share of KV memory in use.
struct Load {
    std::optional<double> running;
    std::optional<double> waiting;
    std::optional<double> memory_share;  // 0 to 1
    // In the order of the policy's report fields: requests running or waiting, share of KV memory. Empty if
    // one of them is unknown.
    [[nodiscard]] std::vector<double> report() const;
};
// The value of ORCA's header kLoadHeader: "TEXT name=value, ..." or "JSON {...}". Unknown names are ignored.
[[nodiscard]] Load parse_load_header(std::string_view value);
// A page in the Prometheus text format. Several series of a name (data-parallel ranks) are summed; shares are
// averaged.
[[nodiscard]] Load parse_metrics_page(std::string_view page);

// Appends a token's text where its id is four bytes of text, big-endian. False for the id 0, which has none.
bool four_bytes_of(std::uint32_t token, std::string& out);
// The text of a prompt whose blocks engines name in their cache events: its messages as JSON without white
// space, one after the other. `messages`: the array as it is in the body; the result is empty for other text.
[[nodiscard]] std::string prompt_text(std::string_view messages);

}  // namespace chalksail::engine
