#include "fake_engine/made_vocabulary.h"

#include <openssl/evp.h>

#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace garnethook::fake_engine {
namespace {

std::string base64(std::string_view bytes) {
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');  // the library ends it with a zero
  out.resize(static_cast<std::size_t>(EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                                      reinterpret_cast<const unsigned char*>(bytes.data()),
                                                      static_cast<int>(bytes.size()))));
  return out;
}

}  // namespace

std::string madeRanks(std::uint64_t seed, std::size_t merges) {
  std::uint64_t state = seed * 2 + 1;
  const auto draw = [&](std::size_t below) {
    state = state * 6364136223846793005U + 1442695040888963407U;
    return static_cast<std::size_t>((state >> 33) % below);
  };
  constexpr std::string_view kBeginnings[] = {"b", "c", "d", "f", "g", "h",  "l",  "m",  "n",
                                              "p", "r", "s", "t", "w", "th", "st", "pr", ""};
  constexpr std::string_view kVowels[] = {"a", "e", "i", "o", "u", "ea", "ou", "é", "ü"};
  constexpr std::string_view kEnds[] = {"", "", "n", "r", "s", "t", "d", "ng", "ll", "ss"};
  using Word = std::vector<std::uint32_t>;  // numbers of tokens
  std::vector<std::pair<Word, std::size_t>> words;
  const auto add = [&](std::string_view text, std::size_t times) {
    Word w;
    for (const char c : text) w.push_back(static_cast<std::uint8_t>(c));
    words.emplace_back(std::move(w), times);
  };
  for (int i = 0; i < 400; ++i) {
    std::string word = draw(4) == 0 ? "" : " ";
    for (std::size_t syllables = 1 + draw(3); syllables > 0; --syllables) {
      word += kBeginnings[draw(std::size(kBeginnings))];
      word += kVowels[draw(std::size(kVowels))];
      word += kEnds[draw(std::size(kEnds))];
    }
    add(word, 1 + 400 / (1 + static_cast<std::size_t>(i)));
  }
  for (const std::string_view text : {"    ", "        ", "\n\n", "\r\n", "...", "====", "123", "2026", "'s",
                                      "'ll", "日本", "本語", "😀", "aaaa", "aaaaaaaa"})
    add(text, 5 + draw(20));

  std::vector<std::string> tokens;
  for (unsigned byte = 0; byte < 256; ++byte) tokens.emplace_back(1, static_cast<char>(byte));
  std::set<std::string> known(tokens.begin(), tokens.end());
  std::unordered_map<std::uint64_t, std::size_t> pairs;
  for (std::size_t m = 0; m < merges; ++m) {
    pairs.clear();
    for (const auto& [word, times] : words)
      for (std::size_t i = 0; i + 1 < word.size(); ++i)
        pairs[std::uint64_t{word[i]} << 32 | word[i + 1]] += times;
    std::uint64_t best = 0;
    std::size_t most = 1;
    for (const auto& [pair, times] : pairs)
      if (!known.contains(tokens[pair >> 32] + tokens[pair & 0xffffffff]) &&
          (times > most || (times == most && pair < best))) {
        best = pair;
        most = times;
      }
    if (most < 2) break;
    const auto left = static_cast<std::uint32_t>(best >> 32);
    const auto right = static_cast<std::uint32_t>(best);
    const auto made = static_cast<std::uint32_t>(tokens.size());
    tokens.push_back(tokens[left] + tokens[right]);
    known.insert(tokens.back());
    for (auto& [word, times] : words) {
      std::size_t to = 0;
      for (std::size_t i = 0; i < word.size(); ++i) {
        const bool both = i + 1 < word.size() && word[i] == left && word[i + 1] == right;
        word[to++] = both ? made : word[i];
        if (both) ++i;
      }
      word.resize(to);
    }
  }
  std::string out;
  for (std::size_t i = 0; i < tokens.size(); ++i) out += base64(tokens[i]) + " " + std::to_string(i) + "\n";
  return out;
}

}  // namespace garnethook::fake_engine
