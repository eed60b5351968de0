// Bytes of an engine into the prefix index: any payload, any order of sequences. Nothing may break, and after
// the engines are removed nothing may be left.
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
    // A stored snapshot: as it is, and with its checksum made good so that what is behind it is reached.
    (void)decode_snapshot(remaining, 50);
    const std::string summed =
        encode_sequence(XXH3_64bits(remaining.data(), remaining.size())) + std::string(remaining);
    if (const auto snapshot = decode_snapshot(summed, 50)) {
        PrefixIndex restored(text, {4, 50, 64, 256});
        const auto e = restored.add(snapshot->space);
        restored.restore(e, snapshot->blocks);
        (void)restored.find(snapshot->space, "abcabc");
        if (!decode_snapshot(encode(*snapshot), 50)) std::abort();
        restored.remove(e);
        if (restored.blocks() != 0 || restored.nodes() != 0) std::abort();
    }
    while (remaining.size() > 2) {
        const auto what = static_cast<unsigned char>(remaining[0]);
        const auto length =
            std::min<std::size_t>(static_cast<unsigned char>(remaining[1]), remaining.size() - 2);
        const auto payload = remaining.substr(2, length);
        remaining.remove_prefix(2 + length);
        auto batch = decode(payload);
        if (!batch) {
            if (batch.error().text.empty()) std::abort();
            continue;
        }
        // What comes out goes in again, the same.
        const auto again = decode(encode(*batch));
        if (!again || again->events.size() != batch->events.size()) std::abort();
        for (const auto& e : batch->events) index.apply(b, e);
        EventStream::Update update;
        if (what < 200) update = stream.on_published(what % 16, std::move(*batch));
        else if (what < 240) update = stream.on_replayed(what % 16, std::move(*batch));
        else if (what < 250) update = stream.on_replay_ended();
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
