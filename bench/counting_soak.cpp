// Counts the tokens of many random prompts, compares each count with the fake engines' reference tokeniser
// and tracks the resident memory of the process. Usage: counting_soak [PROMPTS] [SEED] [FILE for the memory
// over time, tab-separated]. Exits with 1 at the first count that differs, or if memory exceeds the bound.
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>

#include "counting/prompt_count.h"
#include "fake_engine/generated_vocabulary.h"
#include "fake_engine/reference_tokeniser.h"
#include "tokeniser/utf8.h"

namespace {

using namespace garnethook;

std::size_t residentBytes() {
  std::ifstream in("/proc/self/statm");
  std::size_t total = 0;
  std::size_t pages = 0;
  in >> total >> pages;
  return pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t prompts = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1'000'000;
  const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
  std::ofstream memoryLog;
  if (argc > 3) memoryLog.open(argv[3]);
  tokeniser::FileOptions file;
  file.format = tokeniser::Format::ranks;
  file.pattern = "cl100k_base";
  const std::string ranks = fake_engine::generateRanks(1);
  const auto tokeniser = tokeniser::readRanks("made", ranks, file);
  const fake_engine::ReferenceTokeniser reference("made", "1", ranks, tokeniser::knownPattern("cl100k_base"));
  constexpr std::size_t kCountBytes = 4u << 20;
  constexpr std::size_t kSessionBytes = 8u << 20;
  // Memory outside the store: malloc overhead and scratch buffers.
  constexpr std::size_t kOverheadBytes = 16u << 20;
  counting::CountStore store({.countBytes = kCountBytes, .sessionBytes = kSessionBytes});
  static const char* const kParts[] = {
      " the",  " hello",  "a",      "aaaa",   " ",      "   ", "\n", " \n", "12345",
      "é",     "e\u0301", "日本語", "😀",      "==",     "'s",  "'",  "l",   " st",
      " prou", "<|end|>", "<|",     "\u00a0", "\u200d", "\t",  "Z"};
  std::mt19937_64 random(seed);
  const auto randomText = [&](std::size_t bytes) {
    std::string text;
    while (text.size() < bytes) text += kParts[random() % std::size(kParts)];
    return text;
  };
  std::vector<std::string> pool;
  for (int i = 0; i < 200; ++i) pool.push_back(randomText(200 + random() % 6000));
  const std::size_t initialResident = residentBytes();
  std::size_t maxResident = 0;
  std::size_t encoded = 0;
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < prompts; ++i) {
    const std::string& base = pool[random() % pool.size()];
    const std::size_t cut = tokeniser::characterStart(base, random() % base.size());
    const bool whole = random() % 3 == 0;
    std::string text = (whole ? base : base.substr(0, cut)) + randomText(random() % 200);
    if (random() % 50 == 0) text.append(random() % 5000, random() % 2 ? ' ' : 'a');
    if (random() % 100 == 0) pool[random() % pool.size()] = randomText(200 + random() % 6000);
    if (text.empty()) text = "x";
    counting::PromptCount count(
        store, {tokeniser, "1", std::make_shared<const std::string>(text), random() % 2 ? cut : 0,
                random() % 4 ? "" : std::to_string(random() % 3000), false});
    while (count.slice(1 + random() % 8000) > 0) {}
    const std::size_t expected = reference.encode(text).size();
    if (count.result().tokens != expected) {
      std::printf("prompt %zu: counted %zu tokens, reference tokeniser %zu\n", i, count.result().tokens,
                  expected);
      return 1;
    }
    encoded += count.result().encoded;
    bytes += text.size();
    if (i % 1000 == 0) {
      const std::size_t currentResident = residentBytes();
      maxResident = std::max(maxResident, currentResident);
      if (memoryLog) memoryLog << i << '\t' << currentResident << '\t' << store.memory() << '\n';
    }
  }
  const std::size_t bound = initialResident + kCountBytes + kSessionBytes + kOverheadBytes;
  std::printf(
      "%zu prompts with equal counts, %.1f MB, %.1f%% of the bytes encoded; resident %.1f MB at most, bound "
      "%.1f MB (%.1f at the start)\n",
      prompts, static_cast<double>(bytes) / 1e6,
      100.0 * static_cast<double>(encoded) / static_cast<double>(bytes),
      static_cast<double>(maxResident) / 1e6, static_cast<double>(bound) / 1e6,
      static_cast<double>(initialResident) / 1e6);
  return maxResident <= bound ? 0 : 1;
}
