// The protocol with the engines: vLLM's protocol for disaggregated prefill over its OpenAI-compatible server,
// and one extension by this project, the release of a KV state. Converts between bytes and typed values; no
// I/O, no threads. Malformed input gives nullopt or ChunkKind::broken.
//
//   prefill        POST /v1/chat/completions: the client's request with max_tokens 1, not streamed, and
//                  kv_transfer_params {"do_remote_decode": true, "do_remote_prefill": false, ...}
//   decode         POST /v1/chat/completions: the client's request, streamed, with the kv_transfer_params
//                  of the prefill's response
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

// Returns the body of a prefill call, derived from the client's body.
[[nodiscard]] std::string prefill_body(std::string_view client_body, const chat::Request& request);
// Returns the body of a decode call, derived from the client's body. `kv_params` is the JSON of the prefill's
// response, or empty if the decode server does the prefill itself.
[[nodiscard]] std::string decode_body(std::string_view client_body, const chat::Request& request,
                                      std::string_view kv_params);
// Returns the body of a release call.
[[nodiscard]] std::string release_body(std::string_view request_id, std::string_view kv_params);

// The parts of a prefill's response that the gateway uses.
struct PrefillResponse {
    std::string kv_params;                // JSON object
    double prompt_tokens = 0;             // 0: unknown
    std::optional<double> cached_tokens;  // cached prompt tokens; many engines do not report them
};
// Parses a prefill's response; nullopt if the body is not JSON or has no kv_transfer_params.
[[nodiscard]] std::optional<PrefillResponse> parse_prefill_response(std::string_view body);

// Token counts of a response.
struct Usage {
    double prompt_tokens = 0;
    double completion_tokens = 0;
    std::optional<double> cached_tokens;  // cached prompt tokens; many engines do not report them
};
// The kind of an event in a decode stream.
enum class ChunkKind {
    chunk,       // a chunk that is forwarded unchanged
    usage_only,  // the last chunk, with "usage" and no choices; forwarded if the client requested it
    done,        // [DONE]
    error,       // the engine's error event
    broken,      // not a JSON object
};
// One event of a decode stream.
struct Chunk {
    ChunkKind kind = ChunkKind::chunk;
    std::optional<Usage> usage;
};
// Classifies an event's data. Parses the JSON only if it may contain usage or an error.
[[nodiscard]] Chunk read_chunk(std::string_view data);

// A load report in vLLM's terms: requests running and waiting, and the share of KV memory in use.
struct Load {
    std::optional<double> running;
    std::optional<double> waiting;
    std::optional<double> memory_share;  // 0 to 1
    // Returns the values in the order of the policy's report fields: requests running or waiting, share of KV
    // memory. Empty if the number of running requests or the share is unknown.
    [[nodiscard]] std::vector<double> report() const;
};
// Parses the value of ORCA's header kLoadHeader: "TEXT name=value, ..." or "JSON {...}". Ignores unknown
// names.
[[nodiscard]] Load parse_load_header(std::string_view value);
// Parses a page in the Prometheus text format. Request counts of several series (data-parallel ranks) are
// summed, memory shares are averaged.
[[nodiscard]] Load parse_metrics_page(std::string_view page);

// Appends the text of a token whose id encodes four bytes of text, big-endian. Returns false for the id 0,
// which has no text.
bool four_bytes_of(std::uint32_t token, std::string& out);
// Returns the text of a prompt to which the blocks in the engines' cache events refer: its messages as JSON
// without whitespace, concatenated. `messages` is the JSON array from the body; the result is empty for any
// other text.
[[nodiscard]] std::string prompt_text(std::string_view messages);

}  // namespace chalksail::engine
