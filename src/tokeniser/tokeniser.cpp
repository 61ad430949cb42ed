#include "tokeniser/tokeniser.h"

#include <algorithm>
#include <fstream>

#include "tokeniser/utf8.h"

namespace garnethook::tokeniser {

std::vector<TokenId> encode(const Tokeniser& tokeniser, std::string_view text, const TextOptions& options,
                            Workspace& workspace) {
  const auto repairedText = repaired(text);
  const std::string_view wellFormedText = repairedText ? std::string_view(*repairedText) : text;
  const auto normalisedText = tokeniser.normalised(wellFormedText, options);
  const std::string_view final = normalisedText ? std::string_view(*normalisedText) : wellFormedText;
  std::vector<TokenId> ids;
  if (options.frame) ids.assign(tokeniser.before().begin(), tokeniser.before().end());
  tokeniser.advance(final, {}, final.size(), options, workspace, &ids);
  if (options.frame) ids.insert(ids.end(), tokeniser.behind().begin(), tokeniser.behind().end());
  return ids;
}

std::string decode(const Tokeniser& tokeniser, std::span<const TokenId> ids) {
  std::string text;
  for (const TokenId id : ids) text += tokeniser.bytes(id);
  return text;
}

std::shared_ptr<const Tokeniser> loadFile(const std::string& path, const FileOptions& options) {
  constexpr std::streamoff kMaxFileBytes = 256 << 20;
  std::ifstream input(path, std::ios::binary | std::ios::ate);
  if (!input) throw FileError(path + ": can't be read");
  const std::streamoff size = input.tellg();
  if (size > kMaxFileBytes) throw FileError(path + ": has more than 256 MiB");
  std::string bytes(static_cast<std::size_t>(std::max<std::streamoff>(size, 0)), '\0');
  input.seekg(0);
  if (!input.read(bytes.data(), static_cast<std::streamsize>(bytes.size())))
    throw FileError(path + ": can't be read");
  switch (options.format) {
    case Format::ranks: return readRanks(path, bytes, options);
    case Format::huggingFace: return readHuggingFace(path, bytes);
    default: return startSentencePiece(path, options);
  }
}

}  // namespace garnethook::tokeniser
