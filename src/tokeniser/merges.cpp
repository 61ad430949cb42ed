#include "tokeniser/merges.h"

#include <bit>
#include <functional>
#include <queue>

namespace garnethook::tokeniser {

PairTable::PairTable() : slots_(64), shift_(58) {}

bool PairTable::add(TokenId left, TokenId right, Merge merge) {
  if ((count_ + 1) * 2 > slots_.size()) grow();
  const std::uint64_t key = std::uint64_t{left} << 32 | right;
  std::size_t i = slotIndex(key);
  for (; slots_[i].key != kEmpty; i = (i + 1) & (slots_.size() - 1))
    if (slots_[i].key == key) return false;
  slots_[i] = {key, merge};
  ++count_;
  return true;
}

void PairTable::grow() {
  std::vector<Slot> old(slots_.size() * 2);
  old.swap(slots_);
  --shift_;
  for (const Slot& slot : old) {
    if (slot.key == kEmpty) continue;
    std::size_t i = slotIndex(slot.key);
    while (slots_[i].key != kEmpty) i = (i + 1) & (slots_.size() - 1);
    slots_[i] = slot;
  }
}

ReferenceMerger::ReferenceMerger(const Vocabulary& vocabulary) : vocabulary_(vocabulary) { initByteTokens(); }

ReferenceMerger::ReferenceMerger(const Vocabulary& vocabulary, PairTable merges)
    : vocabulary_(vocabulary), merges_(std::move(merges)) {
  initByteTokens();
}

void ReferenceMerger::initByteTokens() {
  for (unsigned value = 0; value < 256; ++value) {
    const char byte = static_cast<char>(value);
    byteTokens_.push_back(vocabulary_.find({&byte, 1}));
    if (byteTokens_.back() == kNoToken)
      throw std::invalid_argument("no token for the octet " + std::to_string(value) +
                                  ": not a byte-level vocabulary");
  }
}

Merge ReferenceMerger::find(TokenId left, TokenId right, std::string_view concatenation) const {
  if (merges_) return merges_->find(left, right);
  if (concatenation.size() > Vocabulary::kMaxTokenBytes) return {};
  const TokenId token = vocabulary_.find(concatenation);
  return token == kNoToken ? Merge{} : Merge{token, token};
}

// The parts form a linked list in an array indexed by the position of their first byte. The heap may contain
// stale pairs; their rank differs from the current rank at their position.
template <typename OnMerge>
void ReferenceMerger::mergePiece(std::string_view piece, std::vector<TokenId>& ids, OnMerge onMerge) const {
  const auto length = static_cast<std::uint32_t>(piece.size());
  constexpr std::uint32_t kNone = 0xffffffff;
  struct Part {
    TokenId id;
    std::uint32_t next;  // position of the next part; `length` if there is none
    std::uint32_t previous;
    std::uint32_t rank;  // of the merge with the next part
  };
  std::vector<Part> parts(length);
  std::vector<std::uint64_t> heap;
  const auto partEnd = [&](std::uint32_t at) { return at >= length ? length : parts[at].next; };
  const auto updateRank = [&](std::uint32_t at) {
    const std::uint32_t next = parts[at].next;
    parts[at].rank = kNone;
    if (next >= length) return Merge{};
    const Merge candidate = find(parts[at].id, parts[next].id, piece.substr(at, partEnd(next) - at));
    if (candidate.token != kNoToken) parts[at].rank = candidate.rank;
    return candidate;
  };
  for (std::uint32_t i = 0; i < length; ++i)
    parts[i] = {byteTokens_[static_cast<std::uint8_t>(piece[i])], i + 1, i == 0 ? kNone : i - 1, kNone};
  for (std::uint32_t i = 0; i + 1 < length; ++i)
    if (updateRank(i).token != kNoToken) heap.push_back(std::uint64_t{parts[i].rank} << 32 | i);
  std::priority_queue<std::uint64_t, std::vector<std::uint64_t>, std::greater<>> queue(std::greater<>(),
                                                                                       std::move(heap));
  while (!queue.empty()) {
    const auto rank = static_cast<std::uint32_t>(queue.top() >> 32);
    const auto at = static_cast<std::uint32_t>(queue.top());
    queue.pop();
    if (parts[at].id == kNoToken || parts[at].rank != rank) continue;
    const std::uint32_t next = parts[at].next;
    const Merge candidate = find(parts[at].id, parts[next].id, piece.substr(at, partEnd(next) - at));
    onMerge(parts[at].id, parts[next].id, rank);
    parts[at].id = candidate.token;
    parts[at].next = parts[next].next;
    parts[next].id = kNoToken;
    if (parts[at].next < length) parts[parts[at].next].previous = at;
    const auto enqueue = [&](std::uint32_t position) {
      if (updateRank(position).token != kNoToken)
        queue.push(std::uint64_t{parts[position].rank} << 32 | position);
    };
    enqueue(at);
    if (parts[at].previous != kNone) enqueue(parts[at].previous);
  }
  for (std::uint32_t i = 0; i < length; i = parts[i].next) ids.push_back(parts[i].id);
}

void ReferenceMerger::encode(std::string_view piece, std::vector<TokenId>& ids) const {
  mergePiece(piece, ids, [](TokenId, TokenId, std::uint32_t) {});
}

std::optional<ReferenceMerger::FinalMerge> ReferenceMerger::finalMerge(TokenId token) const {
  FinalMerge result;
  std::vector<TokenId> ids;
  mergePiece(vocabulary_.bytes(token), ids, [&](TokenId left, TokenId right, std::uint32_t rank) {
    result = {left, right, rank};
  });
  if (ids.size() != 1 || ids[0] != token || result.left == kNoToken) return std::nullopt;
  return result;
}

}  // namespace garnethook::tokeniser
