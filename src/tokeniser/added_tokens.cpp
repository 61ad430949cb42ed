#include "tokeniser/added_tokens.h"

#include <algorithm>
#include <stdexcept>

namespace garnethook::tokeniser {

void AddedTokens::add(std::string_view text, TokenId id, bool special) {
  if (text.empty()) throw std::invalid_argument("is empty");
  if (text.size() > kMaxTokenBytes)
    throw std::invalid_argument("has more than " + std::to_string(kMaxTokenBytes) + " octets");
  if (byText_.size() >= kMaxTokens)
    throw std::invalid_argument("more than " + std::to_string(kMaxTokens) + " added tokens");
  const auto [found, inserted] = byText_.try_emplace(std::string(text), Entry{id, special});
  if (!inserted) throw std::invalid_argument("\"" + std::string(text) + "\" is told twice");
  byId_.emplace(id, text);
  CandidateLengths& candidates = candidatesByFirstByte_[static_cast<std::uint8_t>(text[0])];
  const auto addLength = [&](std::vector<std::uint16_t>& lengths, std::size_t& maxLength) {
    const auto length = static_cast<std::uint16_t>(text.size());
    const auto position = std::lower_bound(lengths.begin(), lengths.end(), length, std::greater<>());
    if (position == lengths.end() || *position != length) lengths.insert(position, length);
    maxLength = std::max(maxLength, text.size());
  };
  addLength(candidates.any, maxLengthAny_);
  if (!special) addLength(candidates.nonSpecial, maxLengthNonSpecial_);
}

std::optional<AddedTokens::Match> AddedTokens::find(std::string_view text, std::size_t from,
                                                    std::size_t beginLimit, bool special) const {
  if (maxLength(special) == 0) return std::nullopt;
  for (std::size_t i = from; i < beginLimit; ++i) {
    const CandidateLengths& candidates = candidatesByFirstByte_[static_cast<std::uint8_t>(text[i])];
    for (const std::size_t length : special ? candidates.any : candidates.nonSpecial) {
      if (length > text.size() - i) continue;
      const auto found = byText_.find(text.substr(i, length));
      if (found != byText_.end() && (special || !found->second.special))
        return Match{i, i + length, found->second.id};
    }
  }
  return std::nullopt;
}

std::string_view AddedTokens::bytes(TokenId id) const {
  const auto found = byId_.find(id);
  return found == byId_.end() ? std::string_view() : std::string_view(found->second);
}

std::optional<TokenId> AddedTokens::id(std::string_view text) const {
  const auto found = byText_.find(text);
  if (found == byText_.end()) return std::nullopt;
  return found->second.id;
}

std::size_t AddedTokens::memory() const {
  std::size_t totalBytes = candidatesByFirstByte_.capacity() * sizeof(CandidateLengths);
  for (const auto& [text, entry] : byText_) totalBytes += 2 * (text.size() + sizeof(std::string) + 64);
  return totalBytes;
}

}  // namespace garnethook::tokeniser
