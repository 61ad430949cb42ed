#include "tokeniser/merges.h"

#include <bit>
#include <functional>
#include <queue>

namespace garnethook::tokeniser {

PairTable::PairTable() : slots_(64), shift_(58) {}

bool PairTable::add(TokenId left, TokenId right, Merge merge) {
  if ((count_ + 1) * 2 > slots_.size()) grow();
  const std::uint64_t key = std::uint64_t{left} << 32 | right;
  std::size_t i = place(key);
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
  for (const Slot& s : old) {
    if (s.key == kEmpty) continue;
    std::size_t i = place(s.key);
    while (slots_[i].key != kEmpty) i = (i + 1) & (slots_.size() - 1);
    slots_[i] = s;
  }
}

PlainMerger::PlainMerger(const Vocabulary& vocabulary) : vocabulary_(vocabulary) { findBytes(); }

PlainMerger::PlainMerger(const Vocabulary& vocabulary, PairTable merges)
    : vocabulary_(vocabulary), merges_(std::move(merges)) {
  findBytes();
}

void PlainMerger::findBytes() {
  for (unsigned value = 0; value < 256; ++value) {
    const char byte = static_cast<char>(value);
    bytes_.push_back(vocabulary_.find({&byte, 1}));
    if (bytes_.back() == kNoToken)
      throw std::invalid_argument("no token for the octet " + std::to_string(value) +
                                  ": not a byte-level vocabulary");
  }
}

Merge PlainMerger::find(TokenId left, TokenId right, std::string_view together) const {
  if (merges_) return merges_->find(left, right);
  if (together.size() > Vocabulary::kLongest) return {};
  const TokenId token = vocabulary_.find(together);
  return token == kNoToken ? Merge{} : Merge{token, token};
}

// The parts form a linked list in an array indexed by the position of their first byte. The heap may contain
// stale pairs; their rank differs from the current rank at their position.
template <typename Merged>
void PlainMerger::run(std::string_view piece, std::vector<TokenId>& ids, Merged merged) const {
  const auto n = static_cast<std::uint32_t>(piece.size());
  constexpr std::uint32_t kNone = 0xffffffff;
  struct Part {
    TokenId id;
    std::uint32_t next;  // position of the next part; `length` if there is none
    std::uint32_t before;
    std::uint32_t rank;  // of the merge with the next part
  };
  std::vector<Part> parts(n);
  std::vector<std::uint64_t> heap;
  const auto end = [&](std::uint32_t at) { return at >= n ? n : parts[at].next; };
  const auto look = [&](std::uint32_t at) {
    const std::uint32_t next = parts[at].next;
    parts[at].rank = kNone;
    if (next >= n) return Merge{};
    const Merge m = find(parts[at].id, parts[next].id, piece.substr(at, end(next) - at));
    if (m.token != kNoToken) parts[at].rank = m.rank;
    return m;
  };
  for (std::uint32_t i = 0; i < n; ++i)
    parts[i] = {bytes_[static_cast<std::uint8_t>(piece[i])], i + 1, i == 0 ? kNone : i - 1, kNone};
  for (std::uint32_t i = 0; i + 1 < n; ++i)
    if (look(i).token != kNoToken) heap.push_back(std::uint64_t{parts[i].rank} << 32 | i);
  std::priority_queue<std::uint64_t, std::vector<std::uint64_t>, std::greater<>> queue(std::greater<>(),
                                                                                       std::move(heap));
  while (!queue.empty()) {
    const auto rank = static_cast<std::uint32_t>(queue.top() >> 32);
    const auto at = static_cast<std::uint32_t>(queue.top());
    queue.pop();
    if (parts[at].id == kNoToken || parts[at].rank != rank) continue;
    const std::uint32_t next = parts[at].next;
    const Merge m = find(parts[at].id, parts[next].id, piece.substr(at, end(next) - at));
    merged(parts[at].id, parts[next].id, rank);
    parts[at].id = m.token;
    parts[at].next = parts[next].next;
    parts[next].id = kNoToken;
    if (parts[at].next < n) parts[parts[at].next].before = at;
    const auto again = [&](std::uint32_t place) {
      if (look(place).token != kNoToken) queue.push(std::uint64_t{parts[place].rank} << 32 | place);
    };
    again(at);
    if (parts[at].before != kNone) again(parts[at].before);
  }
  for (std::uint32_t i = 0; i < n; i = parts[i].next) ids.push_back(parts[i].id);
}

void PlainMerger::encode(std::string_view piece, std::vector<TokenId>& ids) const {
  run(piece, ids, [](TokenId, TokenId, std::uint32_t) {});
}

std::optional<PlainMerger::Last> PlainMerger::last(TokenId token) const {
  Last out;
  std::vector<TokenId> ids;
  run(vocabulary_.bytes(token), ids, [&](TokenId left, TokenId right, std::uint32_t rank) {
    out = {left, right, rank};
  });
  if (ids.size() != 1 || ids[0] != token || out.left == kNoToken) return std::nullopt;
  return out;
}

}  // namespace garnethook::tokeniser
