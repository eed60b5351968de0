// Fuzzes the prefix index with an engine's events: any payload, in any order of sequence numbers. For any
// input there must be no crash, and the index must be empty after the engines are removed.
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "prefix/event_stream.hpp"
#include "prefix/prefix_index.hpp"
#include "prefix/snapshot.hpp"

using namespace chalksail::prefix;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const auto text = [](Token token, std::string& out) {
        if (token == 0) return false;
        out += static_cast<char>('a' + token % 3);
        if (token % 5 == 0) out += "and more";
        return true;
    };
    PrefixIndex index(text, {4, 50, 64, 256});
    const auto a = index.add("m"), b = index.add("m");
    EventStream stream(8);
    std::string_view remaining(reinterpret_cast<const char*>(data), size);
    // Decodes the input as a stored snapshot, unchanged and with a valid checksum in front, so that the code
    // after the checksum test is reached too.
    (void)decode_snapshot(remaining, 50);
    const std::string with_checksum =
        encode_sequence(XXH3_64bits(remaining.data(), remaining.size())) + std::string(remaining);
    if (const auto snapshot = decode_snapshot(with_checksum, 50)) {
        PrefixIndex restored(text, {4, 50, 64, 256});
        const auto e = restored.add(snapshot->space);
        restored.restore(e, snapshot->blocks);
        (void)restored.find(snapshot->space, "abcabc");
        if (!decode_snapshot(encode(*snapshot), 50)) std::abort();
        restored.remove(e);
        if (restored.blocks() != 0 || restored.nodes() != 0) std::abort();
    }
    while (remaining.size() > 2) {
        const auto selector = static_cast<unsigned char>(remaining[0]);
        const auto length =
            std::min<std::size_t>(static_cast<unsigned char>(remaining[1]), remaining.size() - 2);
        const auto payload = remaining.substr(2, length);
        remaining.remove_prefix(2 + length);
        auto batch = decode(payload);
        if (!batch) {
            if (batch.error().text.empty()) std::abort();
            continue;
        }
        // A decoded batch must survive encoding and decoding again.
        const auto decoded = decode(encode(*batch));
        if (!decoded || decoded->events.size() != batch->events.size()) std::abort();
        for (const auto& e : batch->events) index.apply(b, e);
        EventStream::Update update;
        if (selector < 200) update = stream.on_published(selector % 16, std::move(*batch));
        else if (selector < 240) update = stream.on_replayed(selector % 16, std::move(*batch));
        else if (selector < 250) update = stream.on_replay_ended();
        else update = stream.on_restart();
        if (update.clear) index.clear(a);
        for (const auto& one : update.apply)
            for (const auto& e : one.events) index.apply(a, e);
        for (const auto& h : index.find("m", "abcabcabcaand moreb"))
            if (h.tokens == 0 || h.bytes > 19) std::abort();
    }
    index.remove(a);
    index.remove(b);
    if (index.blocks() != 0 || index.nodes() != 0) std::abort();
    return 0;
}
