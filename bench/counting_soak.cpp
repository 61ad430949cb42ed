// Counts drawn prompts for long, compares each with the stand-ins' own way of counting, and watches the
// memory that the process has. counting_soak [PROMPTS] [SEED] [FILE for the memory's course, tab-separated].
// Ends with 1 at the first count that differs, or where memory grew beyond the stated bound.
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

std::size_t resident() {
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
  std::ofstream course;
  if (argc > 3) course.open(argv[3]);
  tokeniser::FileOptions file;
  file.format = tokeniser::Format::ranks;
  file.pattern = "cl100k_base";
  const std::string ranks = fake_engine::generateRanks(1);
  const auto tokeniser = tokeniser::readRanks("made", ranks, file);
  const fake_engine::ReferenceTokeniser own("made", "1", ranks, tokeniser::knownPattern("cl100k_base"));
  constexpr std::size_t kCounts = 4u << 20;
  constexpr std::size_t kSessions = 8u << 20;
  // Beside the store: malloc's slack and scratch memory.
  constexpr std::size_t kSlack = 16u << 20;
  counting::CountStore store({.countBytes = kCounts, .sessionBytes = kSessions});
  static const char* const kParts[] = {
      " the",  " hello",  "a",      "aaaa",   " ",      "   ", "\n", " \n", "12345",
      "é",     "e\u0301", "日本語", "😀",      "==",     "'s",  "'",  "l",   " st",
      " prou", "<|end|>", "<|",     "\u00a0", "\u200d", "\t",  "Z"};
  std::mt19937_64 random(seed);
  const auto draw = [&](std::size_t bytes) {
    std::string out;
    while (out.size() < bytes) out += kParts[random() % std::size(kParts)];
    return out;
  };
  std::vector<std::string> pool;
  for (int i = 0; i < 200; ++i) pool.push_back(draw(200 + random() % 6000));
  const std::size_t atStart = resident();
  std::size_t most = 0;
  std::size_t encoded = 0;
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < prompts; ++i) {
    const std::string& base = pool[random() % pool.size()];
    const std::size_t cut = tokeniser::characterStart(base, random() % base.size());
    const bool whole = random() % 3 == 0;
    std::string text = (whole ? base : base.substr(0, cut)) + draw(random() % 200);
    if (random() % 50 == 0) text.append(random() % 5000, random() % 2 ? ' ' : 'a');
    if (random() % 100 == 0) pool[random() % pool.size()] = draw(200 + random() % 6000);
    if (text.empty()) text = "x";
    counting::PromptCount count(
        store, {tokeniser, "1", std::make_shared<const std::string>(text), random() % 2 ? cut : 0,
                random() % 4 ? "" : std::to_string(random() % 3000), false});
    while (count.slice(1 + random() % 8000) > 0) {}
    const std::size_t expected = own.encode(text).size();
    if (count.result().tokens != expected) {
      std::printf("prompt %zu: counted %zu, the stand-in's own way %zu\n", i, count.result().tokens,
                  expected);
      return 1;
    }
    encoded += count.result().encoded;
    bytes += text.size();
    if (i % 1000 == 0) {
      const std::size_t now = resident();
      most = std::max(most, now);
      if (course) course << i << '\t' << now << '\t' << store.memory() << '\n';
    }
  }
  const std::size_t bound = atStart + kCounts + kSessions + kSlack;
  std::printf(
      "%zu prompts counted alike, %.1f MB, %.1f%% of the octets encoded; resident %.1f MB at most, bound "
      "%.1f MB (%.1f at the start)\n",
      prompts, static_cast<double>(bytes) / 1e6,
      100.0 * static_cast<double>(encoded) / static_cast<double>(bytes), static_cast<double>(most) / 1e6,
      static_cast<double>(bound) / 1e6, static_cast<double>(atStart) / 1e6);
  return most <= bound ? 0 : 1;
}
