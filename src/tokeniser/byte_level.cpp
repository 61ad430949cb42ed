#include "tokeniser/byte_level.h"

#include <utf8proc.h>

#include <algorithm>
#include <cstdlib>
#include <new>

#include "tokeniser/utf8.h"

namespace garnethook::tokeniser {

ByteLevel::ByteLevel(std::unique_ptr<ByteLevelParts> parts)
    : parts_(std::move(parts)), encoder_(parts_->vocabulary, std::move(parts_->merger)) {
  for (TokenId id = 0; id < parts_->vocabulary.ids(); ++id)
    longest_ = std::max(longest_, parts_->vocabulary.bytes(id).size());
}

// Added tokens are matched in the original text, and each segment between them is normalised on its own. They
// are ASCII (readHuggingFace() rejects others with NFC), so normalising neither creates nor destroys one.
std::optional<std::string> ByteLevel::normalised(std::string_view text, const TextOptions& options) const {
  if (!parts_->composed) return std::nullopt;
  std::string out;
  bool changed = false;
  std::size_t at = 0;
  while (at < text.size()) {
    const auto found = parts_->added.find(text, at, text.size(), options.specialTokens);
    const std::string_view stretch = text.substr(at, (found ? found->begin : text.size()) - at);
    const auto made = composed(stretch);
    if (!made && !found && at == 0) return std::nullopt;
    changed = changed || made;
    out += made ? std::string_view(*made) : stretch;
    if (!found) break;
    out += text.substr(found->begin, found->end - found->begin);
    at = found->end;
  }
  if (!changed) return std::nullopt;
  return out;
}

Mark ByteLevel::advance(std::string_view text, Mark from, std::size_t limit, const TextOptions& options,
                        Workspace& workspace, std::vector<TokenId>* ids) const {
  auto& out = ids != nullptr ? *ids : workspace.ids;
  if (ids == nullptr) out.clear();
  const std::size_t before = out.size();
  const bool whole = limit >= text.size();
  const std::string_view seen = text.substr(0, whole ? text.size() : characterStart(text, limit));
  // An added token that begins before `reach` ends within the visible text, and so does any longer candidate.
  const std::size_t longest = parts_->added.longest(options.specialTokens);
  std::size_t reach = seen.size();
  if (!whole && longest > 1) reach = characterStart(text, reach - std::min(reach, longest - 1));
  Mark at = from;
  while (at.at < reach) {
    const auto found = parts_->added.find(seen, at.at, reach, options.specialTokens);
    const std::size_t to = found ? found->begin : reach;
    at.at = segment(seen, at.at, to, found || whole, workspace, out);
    if (!found || at.at < to) break;
    out.push_back(found->id);
    at.at = found->end;
  }
  at.tokens += out.size() - before;
  return at;
}

// Encodes a segment without added tokens. If not `certain`, further text may follow at `to`.
std::size_t ByteLevel::segment(std::string_view text, std::size_t from, std::size_t to, bool certain,
                               Workspace& workspace, std::vector<TokenId>& ids) const {
  const std::string_view stretch = text.substr(from, to - from);
  std::size_t at = 0;
  while (at < stretch.size()) {
    Pattern::Match match;
    switch (parts_->patterns[0].next(stretch, at, !certain, match, workspace.pattern)) {
      case Pattern::Look::uncertain: return from + at;
      case Pattern::Look::none:
        if (parts_->keepGaps) cut(stretch.substr(at), 1, workspace, ids);
        return to;
      case Pattern::Look::found: break;
    }
    if (match.begin > at && parts_->keepGaps) cut(stretch.substr(at, match.begin - at), 1, workspace, ids);
    cut(stretch.substr(match.begin, match.end - match.begin), 1, workspace, ids);
    at = match.end;
  }
  return from + at;
}

void ByteLevel::cut(std::string_view text, std::size_t level, Workspace& workspace,
                    std::vector<TokenId>& ids) const {
  if (level == parts_->patterns.size()) return piece(text, workspace, ids);
  std::size_t at = 0;
  while (at < text.size()) {
    Pattern::Match match;
    if (parts_->patterns[level].next(text, at, false, match, workspace.pattern) != Pattern::Look::found) {
      if (parts_->keepGaps) cut(text.substr(at), level + 1, workspace, ids);
      return;
    }
    if (match.begin > at && parts_->keepGaps)
      cut(text.substr(at, match.begin - at), level + 1, workspace, ids);
    cut(text.substr(match.begin, match.end - match.begin), level + 1, workspace, ids);
    at = match.end;
  }
}

void ByteLevel::piece(std::string_view piece, Workspace& workspace, std::vector<TokenId>& ids) const {
  if (piece.size() <= longest_) {
    const TokenId id = parts_->vocabulary.find(piece);
    // A reachable token is the encoding of its own bytes, so merging would yield the same result.
    if (id != kNoToken && (parts_->wholePieces || encoder_.reachable(id))) {
      ids.push_back(id);
      return;
    }
  }
  encoder_.encode(piece, ids, workspace.pieces);
}

std::string ByteLevel::bytes(TokenId id) const {
  const auto added = parts_->added.bytes(id);
  return std::string(added.empty() ? parts_->vocabulary.bytes(id) : added);
}

std::size_t ByteLevel::memory() const {
  return parts_->vocabulary.memory() + encoder_.memory() + parts_->added.memory() + 65'536;
}

std::string ByteLevel::describe() const {
  return parts_->name + ", " + std::to_string(parts_->vocabulary.size()) + " tokens, " +
         std::to_string(parts_->added.size()) + " added, " +
         (encoder_.ordered() ? "merges in order" : "merges out of order (slower)") +
         (parts_->composed ? ", NFC" : "");
}

std::optional<std::string> composed(std::string_view text) {
  // Characters below U+0300, whose first bytes are below 0xcc, are in NFC already, and so are their
  // sequences.
  if (std::all_of(text.begin(), text.end(), [](char c) { return static_cast<std::uint8_t>(c) < 0xcc; }))
    return std::nullopt;
  utf8proc_uint8_t* made = nullptr;
  const auto length = utf8proc_map(reinterpret_cast<const utf8proc_uint8_t*>(text.data()),
                                   static_cast<utf8proc_ssize_t>(text.size()), &made,
                                   static_cast<utf8proc_option_t>(UTF8PROC_STABLE | UTF8PROC_COMPOSE));
  const std::unique_ptr<utf8proc_uint8_t, decltype(&std::free)> owner(made, &std::free);
  if (length < 0) throw std::bad_alloc();
  const std::string_view out(reinterpret_cast<const char*>(made), static_cast<std::size_t>(length));
  if (out == text) return std::nullopt;
  return std::string(out);
}

}  // namespace garnethook::tokeniser
