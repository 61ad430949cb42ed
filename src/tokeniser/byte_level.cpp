#include "tokeniser/byte_level.h"

#include <utf8proc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

#include "tokeniser/utf8.h"

namespace garnethook::tokeniser {

ByteLevelTokeniser::ByteLevelTokeniser(std::unique_ptr<ByteLevelComponents> components)
    : components_(std::move(components)), encoder_(components_->vocabulary, std::move(components_->merger)) {
  for (TokenId id = 0; id < components_->vocabulary.ids(); ++id)
    maxTokenBytes_ = std::max(maxTokenBytes_, components_->vocabulary.bytes(id).size());
}

// Added tokens are matched in the original text, and each segment between them is normalised on its own. They
// are ASCII (readHuggingFace() rejects others with NFC), so normalising neither creates nor destroys one.
std::optional<std::string> ByteLevelTokeniser::normalised(std::string_view text,
                                                          const TextOptions& options) const {
  if (!components_->normaliseToNfc) return std::nullopt;
  std::string output;
  bool changed = false;
  std::size_t at = 0;
  while (at < text.size()) {
    const auto found = components_->added.find(text, at, text.size(), options.specialTokens);
    const std::string_view segment = text.substr(at, (found ? found->begin : text.size()) - at);
    const auto normalisedText = toNfc(segment);
    if (!normalisedText && !found && at == 0) return std::nullopt;
    changed = changed || normalisedText;
    output += normalisedText ? std::string_view(*normalisedText) : segment;
    if (!found) break;
    output += text.substr(found->begin, found->end - found->begin);
    at = found->end;
  }
  if (!changed) return std::nullopt;
  return output;
}

EncodingPosition ByteLevelTokeniser::advance(std::string_view text, EncodingPosition from, std::size_t limit,
                                             const TextOptions& options, Workspace& workspace,
                                             std::vector<TokenId>* ids) const {
  auto& output = ids != nullptr ? *ids : workspace.ids;
  if (ids == nullptr) output.clear();
  const std::size_t before = output.size();
  const bool isWholeText = limit >= text.size();
  const std::string_view visible = text.substr(0, isWholeText ? text.size() : characterStart(text, limit));
  // An added token that begins before `beginLimit` ends within the visible text, and so does any longer
  // candidate.
  const std::size_t maxAddedLength = components_->added.maxLength(options.specialTokens);
  std::size_t beginLimit = visible.size();
  if (!isWholeText && maxAddedLength > 1)
    beginLimit = characterStart(text, beginLimit - std::min(beginLimit, maxAddedLength - 1));
  EncodingPosition mark = from;
  while (mark.at < beginLimit) {
    const auto found = components_->added.find(visible, mark.at, beginLimit, options.specialTokens);
    const std::size_t to = found ? found->begin : beginLimit;
    mark.at = encodeSegment(visible, mark.at, to, found || isWholeText, workspace, output);
    if (!found || mark.at < to) break;
    output.push_back(found->id);
    mark.at = found->end;
  }
  mark.tokens += output.size() - before;
  return mark;
}

// Encodes a segment without added tokens. If not `isFinal`, further text may follow at `to`.
std::size_t ByteLevelTokeniser::encodeSegment(std::string_view text, std::size_t from, std::size_t to,
                                              bool isFinal, Workspace& workspace,
                                              std::vector<TokenId>& ids) const {
  const std::string_view segment = text.substr(from, to - from);
  std::size_t at = 0;
  while (at < segment.size()) {
    Pattern::Match match;
    switch (components_->patterns[0].next(segment, at, !isFinal, match, workspace.pattern)) {
      case Pattern::SearchResult::uncertain: return from + at;
      case Pattern::SearchResult::none:
        if (components_->keepUnmatchedText) splitAndEncode(segment.substr(at), 1, workspace, ids);
        return to;
      case Pattern::SearchResult::found: break;
    }
    if (match.begin > at && components_->keepUnmatchedText)
      splitAndEncode(segment.substr(at, match.begin - at), 1, workspace, ids);
    splitAndEncode(segment.substr(match.begin, match.end - match.begin), 1, workspace, ids);
    at = match.end;
  }
  return from + at;
}

void ByteLevelTokeniser::splitAndEncode(std::string_view text, std::size_t level, Workspace& workspace,
                                        std::vector<TokenId>& ids) const {
  if (level == components_->patterns.size()) return encodePiece(text, workspace, ids);
  std::size_t at = 0;
  while (at < text.size()) {
    Pattern::Match match;
    if (components_->patterns[level].next(text, at, false, match, workspace.pattern) !=
        Pattern::SearchResult::found) {
      if (components_->keepUnmatchedText) splitAndEncode(text.substr(at), level + 1, workspace, ids);
      return;
    }
    if (match.begin > at && components_->keepUnmatchedText)
      splitAndEncode(text.substr(at, match.begin - at), level + 1, workspace, ids);
    splitAndEncode(text.substr(match.begin, match.end - match.begin), level + 1, workspace, ids);
    at = match.end;
  }
}

void ByteLevelTokeniser::encodePiece(std::string_view piece, Workspace& workspace,
                                     std::vector<TokenId>& ids) const {
  if (piece.size() <= maxTokenBytes_) {
    const TokenId id = components_->vocabulary.find(piece);
    // A reachable token is the encoding of its own bytes, so merging would yield the same result.
    if (id != kNoToken && (components_->preferWholePieceTokens || encoder_.reachable(id))) {
      ids.push_back(id);
      return;
    }
  }
  encoder_.encode(piece, ids, workspace.pieces);
}

std::string ByteLevelTokeniser::bytes(TokenId id) const {
  const auto added = components_->added.bytes(id);
  return std::string(added.empty() ? components_->vocabulary.bytes(id) : added);
}

std::size_t ByteLevelTokeniser::memory() const {
  return components_->vocabulary.memory() + encoder_.memory() + components_->added.memory() + 65'536;
}

std::string ByteLevelTokeniser::describe() const {
  return components_->name + ", " + std::to_string(components_->vocabulary.size()) + " tokens, " +
         std::to_string(components_->added.size()) + " added, " +
         (encoder_.ordered() ? "merges in order" : "merges out of order (slower)") +
         (components_->normaliseToNfc ? ", NFC" : "");
}

std::optional<std::string> toNfc(std::string_view text) {
  // Characters below U+0300, whose first bytes are below 0xcc, are in NFC already, and so are their
  // sequences.
  if (std::all_of(text.begin(), text.end(), [](char c) { return static_cast<std::uint8_t>(c) < 0xcc; }))
    return std::nullopt;
  utf8proc_uint8_t* normalisedText = nullptr;
  const auto length = utf8proc_map(reinterpret_cast<const utf8proc_uint8_t*>(text.data()),
                                   static_cast<utf8proc_ssize_t>(text.size()), &normalisedText,
                                   static_cast<utf8proc_option_t>(UTF8PROC_STABLE | UTF8PROC_COMPOSE));
  const std::unique_ptr<utf8proc_uint8_t, decltype(&std::free)> owner(normalisedText, &std::free);
  if (length < 0) throw std::bad_alloc();
  const std::string_view output(reinterpret_cast<const char*>(normalisedText),
                                static_cast<std::size_t>(length));
  if (output == text) return std::nullopt;
  return std::string(output);
}

}  // namespace garnethook::tokeniser
