#include "fake_engine/generated_vocabulary.h"

#include <openssl/evp.h>

#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace garnethook::fake_engine {
namespace {

std::string base64(std::string_view bytes) {
  std::string encoded((bytes.size() + 2) / 3 * 4 + 1, '\0');  // OpenSSL appends a terminating zero
  encoded.resize(static_cast<std::size_t>(
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()))));
  return encoded;
}

}  // namespace

std::string generateRanks(std::uint64_t seed, std::size_t merges) {
  std::uint64_t state = seed * 2 + 1;
  const auto randomBelow = [&](std::size_t below) {
    state = state * 6364136223846793005U + 1442695040888963407U;
    return static_cast<std::size_t>((state >> 33) % below);
  };
  constexpr std::string_view kOnsets[] = {"b", "c", "d", "f", "g", "h",  "l",  "m",  "n",
                                          "p", "r", "s", "t", "w", "th", "st", "pr", ""};
  constexpr std::string_view kVowels[] = {"a", "e", "i", "o", "u", "ea", "ou", "é", "ü"};
  constexpr std::string_view kCodas[] = {"", "", "n", "r", "s", "t", "d", "ng", "ll", "ss"};
  using Word = std::vector<std::uint32_t>;  // token ids
  std::vector<std::pair<Word, std::size_t>> words;
  const auto addWord = [&](std::string_view text, std::size_t frequency) {
    Word symbols;
    for (const char c : text) symbols.push_back(static_cast<std::uint8_t>(c));
    words.emplace_back(std::move(symbols), frequency);
  };
  for (int i = 0; i < 400; ++i) {
    std::string word = randomBelow(4) == 0 ? "" : " ";
    for (std::size_t syllables = 1 + randomBelow(3); syllables > 0; --syllables) {
      word += kOnsets[randomBelow(std::size(kOnsets))];
      word += kVowels[randomBelow(std::size(kVowels))];
      word += kCodas[randomBelow(std::size(kCodas))];
    }
    addWord(word, 1 + 400 / (1 + static_cast<std::size_t>(i)));
  }
  for (const std::string_view text : {"    ", "        ", "\n\n", "\r\n", "...", "====", "123", "2026", "'s",
                                      "'ll", "日本", "本語", "😀", "aaaa", "aaaaaaaa"})
    addWord(text, 5 + randomBelow(20));

  std::vector<std::string> tokens;
  for (unsigned byte = 0; byte < 256; ++byte) tokens.emplace_back(1, static_cast<char>(byte));
  std::set<std::string> knownTokens(tokens.begin(), tokens.end());
  std::unordered_map<std::uint64_t, std::size_t> pairs;
  for (std::size_t merge = 0; merge < merges; ++merge) {
    pairs.clear();
    for (const auto& [word, frequency] : words)
      for (std::size_t i = 0; i + 1 < word.size(); ++i)
        pairs[std::uint64_t{word[i]} << 32 | word[i + 1]] += frequency;
    std::uint64_t bestPair = 0;
    std::size_t bestFrequency = 1;
    for (const auto& [pair, frequency] : pairs)
      if (!knownTokens.contains(tokens[pair >> 32] + tokens[pair & 0xffffffff]) &&
          (frequency > bestFrequency || (frequency == bestFrequency && pair < bestPair))) {
        bestPair = pair;
        bestFrequency = frequency;
      }
    if (bestFrequency < 2) break;
    const auto left = static_cast<std::uint32_t>(bestPair >> 32);
    const auto right = static_cast<std::uint32_t>(bestPair);
    const auto mergedToken = static_cast<std::uint32_t>(tokens.size());
    tokens.push_back(tokens[left] + tokens[right]);
    knownTokens.insert(tokens.back());
    for (auto& [word, frequency] : words) {
      std::size_t to = 0;
      for (std::size_t i = 0; i < word.size(); ++i) {
        const bool isBestPair = i + 1 < word.size() && word[i] == left && word[i + 1] == right;
        word[to++] = isBestPair ? mergedToken : word[i];
        if (isBestPair) ++i;
      }
      word.resize(to);
    }
  }
  std::string ranks;
  for (std::size_t i = 0; i < tokens.size(); ++i) ranks += base64(tokens[i]) + " " + std::to_string(i) + "\n";
  return ranks;
}

}  // namespace garnethook::fake_engine
