// Reads ranks files (".tiktoken"): one line per token with its bytes in base64 and its rank, which is its id.
#include <algorithm>
#include <charconv>

#include "tokeniser/byte_level.h"

namespace garnethook::tokeniser {
namespace {

// RFC 4648, section 4; padding is required and trailing bits must be zero.
bool fromBase64(std::string_view input, std::string& output) {
  output.clear();
  if (input.empty() || input.size() % 4 != 0) return false;
  std::size_t padding = 0;
  while (padding < 2 && input[input.size() - 1 - padding] == '=') ++padding;
  std::uint32_t bits = 0;
  for (std::size_t i = 0; i < input.size(); ++i) {
    const char c = input[i];
    std::uint32_t value = 0;
    if (c >= 'A' && c <= 'Z')
      value = static_cast<std::uint32_t>(c - 'A');
    else if (c >= 'a' && c <= 'z')
      value = static_cast<std::uint32_t>(c - 'a' + 26);
    else if (c >= '0' && c <= '9')
      value = static_cast<std::uint32_t>(c - '0' + 52);
    else if (c == '+')
      value = 62;
    else if (c == '/')
      value = 63;
    else if (c != '=' || i < input.size() - padding)
      return false;
    bits = bits << 6 | value;
    if (i % 4 == 3) {
      const std::size_t bytes = i + 1 == input.size() ? 3 - padding : 3;
      if (bytes < 3 && (bits & (bytes == 1 ? 0xffffU : 0xffU)) != 0) return false;
      for (std::size_t k = 0; k < bytes; ++k)
        output.push_back(static_cast<char>(bits >> (16 - 8 * k) & 0xff));
      bits = 0;
    }
  }
  return true;
}

}  // namespace

std::shared_ptr<const Tokeniser> readRanks(const std::string& name, std::string_view bytes,
                                           const FileOptions& options) {
  auto components = std::make_unique<ByteLevelComponents>();
  components->name = "ranks";
  components->keepUnmatchedText = false;
  components->preferWholePieceTokens = true;
  std::string token;
  for (std::size_t line = 1; !bytes.empty(); ++line) {
    const std::size_t end = std::min(bytes.find('\n'), bytes.size());
    std::string_view text = bytes.substr(0, end);
    bytes.remove_prefix(std::min(end + 1, bytes.size()));
    if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
    if (text.empty()) continue;
    const auto fail = [&](const std::string& reason) {
      throw FileError(name + ": line " + std::to_string(line) + ": " + reason);
    };
    const std::size_t space = text.find(' ');
    if (space == std::string_view::npos || !fromBase64(text.substr(0, space), token))
      fail("no token in base 64 and its rank");
    TokenId rank = 0;
    const char* const textEnd = text.data() + text.size();
    const auto [parsedEnd, error] = std::from_chars(text.data() + space + 1, textEnd, rank);
    if (error != std::errc() || parsedEnd != textEnd) fail("the rank is no number");
    try {
      components->vocabulary.add(rank, token);
    } catch (const std::invalid_argument& e) { fail(e.what()); }
  }
  try {
    components->vocabulary.seal();
    components->merger = std::make_unique<ReferenceMerger>(components->vocabulary);
  } catch (const std::invalid_argument& e) { throw FileError(name + ": " + e.what()); }
  if (options.pattern.empty()) throw FileError(name + ": pattern: a ranks file needs one told beside it");
  const std::string_view known = knownPattern(options.pattern);
  try {
    components->patterns.emplace_back(known.empty() ? std::string_view(options.pattern) : known,
                                      Dialect::fancyRegex);
  } catch (const std::invalid_argument& e) { throw FileError(name + ": " + e.what()); }
  for (const auto& [text, id] : options.specialTokens) {
    if (components->vocabulary.has(id))
      throw FileError(name + ": special_tokens: " + text + ": id " + std::to_string(id) +
                      " is a token of the file");
    try {
      components->added.add(text, id, true);
    } catch (const std::invalid_argument& e) {
      throw FileError(name + ": special_tokens: " + std::string(e.what()));
    }
  }
  components->before = options.before;
  components->behind = options.behind;
  return std::make_shared<ByteLevelTokeniser>(std::move(components));
}

}  // namespace garnethook::tokeniser
