// The prefix index at size: 10 to 1,000 engines of 10,000 blocks each. A third of an engine's chains begin
// with one of a few texts that all share, as system prompts do.
//
//   build/bin/chalksail-prefix-bench
#include <benchmark/benchmark.h>

#include <map>
#include <memory>
#include <random>
#include <string>

#include "prefix/prefix_index.hpp"

using namespace chalksail::prefix;

namespace {

constexpr std::size_t kBlocks = 10'000;
constexpr std::size_t kTokens = 16;  // of a block; four bytes each
constexpr std::size_t kChain = 40;   // blocks of a prompt
constexpr std::size_t kShared = 25;  // of those, of a shared beginning

bool four_bytes(Token token, std::string& out) {
    for (int i = 3; i >= 0; --i) out += static_cast<char>(token >> (8 * i));
    return true;
}

struct Fleet {
    PrefixIndex index{four_bytes};
    std::vector<EngineId> engines;
    std::vector<std::vector<Token>> shared;
    std::mt19937_64 random{7};
    EngineHash last = 0;

    // A prompt: a third begin with a shared text. Its tokens.
    std::vector<Token> prompt() {
        std::vector<Token> out;
        if (random() % 3 == 0) out = shared[random() % shared.size()];
        while (out.size() < kChain * kTokens) out.push_back(static_cast<Token>(random()));
        return out;
    }
    BlockStored event(const std::vector<Token>& tokens) {
        BlockStored e;
        e.block_size = kTokens;
        e.tokens = tokens;
        for (std::size_t i = 0; i < tokens.size() / kTokens; ++i) e.blocks.push_back(++last);
        return e;
    }
    explicit Fleet(std::size_t count) {
        for (int i = 0; i < 20; ++i) {
            shared.emplace_back();
            for (std::size_t t = 0; t < kShared * kTokens; ++t)
                shared.back().push_back(static_cast<Token>(random()));
        }
        for (std::size_t i = 0; i < count; ++i) {
            engines.push_back(index.add("m"));
            for (std::size_t n = 0; n < kBlocks; n += kChain) index.apply(engines.back(), event(prompt()));
        }
    }
};
Fleet& fleet(std::size_t count) {
    static std::map<std::size_t, std::unique_ptr<Fleet>> all;
    auto& one = all[count];
    if (one == nullptr) one = std::make_unique<Fleet>(count);
    return *one;
}

void query(benchmark::State& state) {
    auto& f = fleet(static_cast<std::size_t>(state.range(0)));
    std::vector<std::string> texts;
    for (int i = 0; i < 64; ++i) {
        std::string text;
        for (const auto t : f.shared[f.random() % f.shared.size()]) four_bytes(t, text);
        text += std::string(1000, 'x');
        texts.push_back(std::move(text));
    }
    std::size_t i = 0, found = 0;
    for (auto _ : state) found += f.index.find("m", texts[i++ % texts.size()]).size();
    state.counters["engines_found"] =
        benchmark::Counter(static_cast<double>(found), benchmark::Counter::kAvgIterations);
    state.counters["blocks"] = static_cast<double>(f.index.blocks());
    state.counters["nodes"] = static_cast<double>(f.index.nodes());
    state.counters["bytes_a_block"] =
        static_cast<double>(f.index.memory_bytes()) / static_cast<double>(f.index.blocks());
}
BENCHMARK(query)->Arg(10)->Arg(50)->Arg(225)->Arg(1000)->Unit(benchmark::kMicrosecond);

// One chain stored and removed again; figures are of blocks.
void update(benchmark::State& state) {
    auto& f = fleet(static_cast<std::size_t>(state.range(0)));
    std::size_t i = 0;
    for (auto _ : state) {
        state.PauseTiming();
        auto e = f.event(f.prompt());
        const auto engine = f.engines[i++ % f.engines.size()];
        state.ResumeTiming();
        f.index.apply(engine, e);
        f.index.apply(engine, BlockRemoved{std::move(e.blocks)});
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations() * 2 * kChain));
}
BENCHMARK(update)->Arg(10)->Arg(225)->Arg(1000)->Unit(benchmark::kMicrosecond);

void decode_batch(benchmark::State& state) {
    Fleet f(1);
    const std::string bytes = encode({1, {f.event(f.prompt())}, 0});
    for (auto _ : state) benchmark::DoNotOptimize(decode(bytes));
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations() * kChain));
}
BENCHMARK(decode_batch)->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
