#include "tokeniser/added_tokens.h"

#include <algorithm>
#include <stdexcept>

namespace garnethook::tokeniser {

void AddedTokens::add(std::string_view text, TokenId id, bool special) {
  if (text.empty()) throw std::invalid_argument("is empty");
  if (text.size() > kLongest)
    throw std::invalid_argument("has more than " + std::to_string(kLongest) + " octets");
  if (byText_.size() >= kMost)
    throw std::invalid_argument("more than " + std::to_string(kMost) + " added tokens");
  const auto [at, isNew] = byText_.try_emplace(std::string(text), Entry{id, special});
  if (!isNew) throw std::invalid_argument("\"" + std::string(text) + "\" is told twice");
  byId_.emplace(id, text);
  Start& start = starts_[static_cast<std::uint8_t>(text[0])];
  const auto note = [&](std::vector<std::uint16_t>& lengths, std::size_t& longest) {
    const auto length = static_cast<std::uint16_t>(text.size());
    const auto place = std::lower_bound(lengths.begin(), lengths.end(), length, std::greater<>());
    if (place == lengths.end() || *place != length) lengths.insert(place, length);
    longest = std::max(longest, text.size());
  };
  note(start.any, longestAny_);
  if (!special) note(start.plain, longestPlain_);
}

std::optional<AddedTokens::Found> AddedTokens::find(std::string_view text, std::size_t from,
                                                    std::size_t reach, bool special) const {
  if (longest(special) == 0) return std::nullopt;
  for (std::size_t i = from; i < reach; ++i) {
    const Start& start = starts_[static_cast<std::uint8_t>(text[i])];
    for (const std::size_t length : special ? start.any : start.plain) {
      if (length > text.size() - i) continue;
      const auto at = byText_.find(text.substr(i, length));
      if (at != byText_.end() && (special || !at->second.special)) return Found{i, i + length, at->second.id};
    }
  }
  return std::nullopt;
}

std::string_view AddedTokens::bytes(TokenId id) const {
  const auto at = byId_.find(id);
  return at == byId_.end() ? std::string_view() : std::string_view(at->second);
}

std::optional<TokenId> AddedTokens::id(std::string_view text) const {
  const auto at = byText_.find(text);
  if (at == byText_.end()) return std::nullopt;
  return at->second.id;
}

std::size_t AddedTokens::memory() const {
  std::size_t sum = starts_.capacity() * sizeof(Start);
  for (const auto& [text, entry] : byText_) sum += 2 * (text.size() + sizeof(std::string) + 64);
  return sum;
}

}  // namespace garnethook::tokeniser
