#include "tokeniser/piece_encoder.h"

#include <algorithm>
#include <stdexcept>
#include <string>

namespace garnethook::tokeniser {

PieceEncoder::PieceEncoder(const Vocabulary& vocabulary, std::unique_ptr<const ReferenceMerger> merger)
    : vocabulary_(vocabulary), numberById_(vocabulary.ids(), kNone) {
  const bool inOrder = numberTokens(*merger);
  buildTrie();
  if (!inOrder || !agreesWithReference(*merger)) fallback_ = std::move(merger);
}

// Numbers the tokens by the rank of the merge that produces them. Returns false if a part comes after the
// token that contains it.
bool PieceEncoder::numberTokens(const ReferenceMerger& merger) {
  struct TokenMerge {
    ReferenceMerger::FinalMerge finalMerge;
    TokenId id;
  };
  std::vector<TokenMerge> tokenMerges;
  for (TokenId id = 0; id < vocabulary_.ids(); ++id) {
    if (vocabulary_.bytes(id).size() < 2) continue;
    if (const auto finalMerge = merger.finalMerge(id)) tokenMerges.push_back({*finalMerge, id});
  }
  std::sort(tokenMerges.begin(), tokenMerges.end(),
            [](const TokenMerge& a, const TokenMerge& b) { return a.finalMerge.rank < b.finalMerge.rank; });
  for (unsigned value = 0; value < 256; ++value) {
    const TokenId id = merger.byteToken(static_cast<std::uint8_t>(value));
    numberById_[id] = value;
    tokens_.push_back({id, 1, value, value, kNone});
  }
  bool inOrder = true;
  for (const TokenMerge& tokenMerge : tokenMerges) {
    const auto number = static_cast<std::uint32_t>(tokens_.size());
    const std::uint32_t left = numberById_[tokenMerge.finalMerge.left];
    const std::uint32_t right = numberById_[tokenMerge.finalMerge.right];
    numberById_[tokenMerge.id] = number;
    tokens_.push_back({tokenMerge.id, static_cast<std::uint32_t>(vocabulary_.bytes(tokenMerge.id).size()),
                       left, right, kNone});
    if (left == kNone || right == kNone)
      inOrder = false;
    else
      pairs_.add(left, right, {number, number});
  }
  return inOrder;
}

// Builds the trie in breadth-first order, so that the children of a node are contiguous.
void PieceEncoder::buildTrie() {
  std::vector<std::uint32_t> sorted(tokens_.size());
  for (std::uint32_t i = 0; i < sorted.size(); ++i) sorted[i] = i;
  const auto bytes = [&](std::uint32_t number) { return vocabulary_.bytes(tokens_[number].id); };
  std::sort(sorted.begin(), sorted.end(),
            [&](std::uint32_t a, std::uint32_t b) { return bytes(a) < bytes(b); });
  struct Span {
    std::uint32_t from, to;  // range in `sorted`
    std::uint32_t depth;
    std::uint32_t shorterPrefix;  // the longest token at an ancestor
  };
  std::vector<Span> spans{{0, static_cast<std::uint32_t>(sorted.size()), 0, kNone}};
  nodes_.push_back({});
  nodeByTwoBytes_.assign(65'536, 0);
  for (std::uint32_t node = 0; node < nodes_.size(); ++node) {
    Span span = spans[node];
    if (span.from < span.to && bytes(sorted[span.from]).size() == span.depth) {
      const std::uint32_t token = sorted[span.from++];
      nodes_[node].token = token;
      tokens_[token].shorterPrefix = span.shorterPrefix;
      span.shorterPrefix = token;
    }
    nodes_[node].firstChild = static_cast<std::uint32_t>(nodes_.size());
    for (std::uint32_t i = span.from; i < span.to;) {
      const char label = bytes(sorted[i])[span.depth];
      std::uint32_t end = i;
      while (end < span.to && bytes(sorted[end])[span.depth] == label) ++end;
      if (span.depth == 1)
        nodeByTwoBytes_[std::size_t{nodes_[node].label} << 8 | static_cast<std::uint8_t>(label)] =
            static_cast<std::uint32_t>(nodes_.size());
      ++nodes_[node].childCount;
      nodes_.push_back({0, kNone, 0, static_cast<std::uint8_t>(label)});
      spans.push_back({i, end, span.depth + 1, span.shorterPrefix});
      i = end;
    }
  }
  nodes_.shrink_to_fit();
}

std::uint32_t PieceEncoder::longestPrefix(std::string_view text) const {
  const auto byte = [&](std::size_t i) { return static_cast<std::uint8_t>(text[i]); };
  std::uint32_t best = byte(0);  // the number of a single-byte token is the byte's value
  if (text.size() < 2) return best;
  std::uint32_t node = nodeByTwoBytes_[std::size_t{byte(0)} << 8 | byte(1)];
  if (node == 0) return best;
  for (std::size_t i = 2;; ++i) {
    const Node& current = nodes_[node];
    if (current.token != kNone) best = current.token;
    if (i == text.size() || current.childCount == 0) return best;
    const Node* const from = &nodes_[current.firstChild];
    const Node* const to = from + current.childCount;
    const Node* at = from;
    if (current.childCount <= 8)
      while (at != to && at->label != byte(i)) ++at;
    else
      at = std::lower_bound(from, to, byte(i),
                            [](const Node& n, std::uint8_t label) { return n.label < label; });
    if (at == to || at->label != byte(i)) return best;
    node = static_cast<std::uint32_t>(at - nodes_.data());
  }
}

// Undoes the merges of the two tokens, latest first, and checks whether an earlier merge would have joined
// bytes across their boundary. If so, the two tokens are never adjacent in an encoding.
bool PieceEncoder::areCompatible(std::uint32_t left, std::uint32_t right) const {
  std::uint32_t limit = kNone;
  for (;;) {
    const std::uint32_t mergedToken = pairs_.find(left, right).token;
    if (mergedToken < limit) return false;
    if (left > right) {
      limit = left;
      left = tokens_[left].right;
      if (left == limit) {
        limit = right + 1;
        right = tokens_[right].left;
        if (right + 1 == limit) return true;
      }
    } else {
      limit = right + 1;
      right = tokens_[right].left;
      if (right + 1 == limit) {
        limit = left;
        left = tokens_[left].right;
        if (left == limit) return true;
      }
    }
  }
}

void PieceEncoder::encode(std::string_view piece, std::vector<TokenId>& ids, Workspace& workspace) const {
  if (piece.empty()) return;
  if (fallback_) return fallback_->encode(piece, ids);
  if (!encodeOrdered(piece, ids, workspace)) throw std::logic_error("a vocabulary with merges out of order");
}

bool PieceEncoder::encodeOrdered(std::string_view piece, std::vector<TokenId>& ids,
                                 Workspace& workspace) const {
  auto& sequence = workspace.sequence;
  auto& deadEnds = workspace.deadEnds;
  sequence.clear();
  deadEnds.assign(piece.size() / 64 + 1, 0);
  std::size_t at = 0;
  std::uint32_t next = longestPrefix(piece);
  while (at < piece.size()) {
    const std::size_t end = at + tokens_[next].length;
    if ((deadEnds[end / 64] >> (end % 64) & 1) == 0 &&
        (sequence.empty() || areCompatible(sequence.back(), next))) {
      sequence.push_back(next);
      at = end;
      if (at < piece.size()) next = longestPrefix(piece.substr(at));
    } else if (tokens_[next].shorterPrefix != kNone) {
      next = tokens_[next].shorterPrefix;
    } else {
      if (sequence.empty()) return false;
      deadEnds[at / 64] |= std::uint64_t{1} << (at % 64);
      next = sequence.back();
      sequence.pop_back();
      at -= tokens_[next].length;
    }
  }
  for (const std::uint32_t number : sequence) ids.push_back(tokens_[number].id);
  return true;
}

// Compares with the reference on samples that exercise token boundaries: random token sequences and runs.
bool PieceEncoder::agreesWithReference(const ReferenceMerger& merger) const {
  std::uint64_t state = 0x853c49e6748fea9bU;
  const auto randomBelow = [&](std::size_t below) {
    state = state * 6364136223846793005U + 1442695040888963407U;
    return static_cast<std::size_t>((state >> 33) % below);
  };
  Workspace workspace;
  std::vector<TokenId> actual;
  std::vector<TokenId> reference;
  for (int i = 0; i < 4000; ++i) {
    std::string text;
    const std::size_t tokens = 2 + randomBelow(5);
    while (text.size() < 200 && text.size() < tokens * 40) {
      text += vocabulary_.bytes(tokens_[randomBelow(tokens_.size())].id);
      if (randomBelow(tokens) == 0) break;
    }
    if (i % 8 == 0) {  // a repetition of a short prefix
      const std::string unit = text.substr(0, 1 + randomBelow(4));
      text.clear();
      for (std::size_t k = 0; k < 3 + randomBelow(40); ++k) text += unit;
    }
    actual.clear();
    reference.clear();
    merger.encode(text, reference);
    if (!encodeOrdered(text, actual, workspace) || actual != reference) return false;
  }
  return true;
}

std::size_t PieceEncoder::memory() const {
  return tokens_.capacity() * sizeof(Token) + numberById_.capacity() * 4 + pairs_.memory() +
         nodes_.capacity() * sizeof(Node) + nodeByTwoBytes_.capacity() * 4 +
         (fallback_ ? fallback_->memory() : 0);
}

}  // namespace garnethook::tokeniser
