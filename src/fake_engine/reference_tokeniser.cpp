#include "fake_engine/reference_tokeniser.h"

#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

namespace garnethook::fake_engine {
namespace {

std::string decodeBase64(std::string_view base64) {
  constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string bytes;
  std::uint32_t bits = 0;
  int bitCount = 0;
  for (const char character : base64) {
    if (character == '=') break;
    bits = bits << 6 | static_cast<std::uint32_t>(kAlphabet.find(character));
    bitCount += 6;
    if (bitCount < 8) continue;
    bitCount -= 8;
    bytes.push_back(static_cast<char>(bits >> bitCount & 0xff));
  }
  return bytes;
}

}  // namespace

ReferenceTokeniser::ReferenceTokeniser(std::string name, std::string version, std::string_view ranks,
                                       std::string_view pattern)
    : name_(std::move(name)),
      version_(std::move(version)),
      pattern_(pattern, tokeniser::Dialect::fancyRegex) {
  std::istringstream in{std::string(ranks)};
  std::string token;
  std::uint32_t rank = 0;
  while (in >> token >> rank) ranks_[decodeBase64(token)] = rank;
  if (ranks_.size() < 256) throw std::invalid_argument("not a ranks file: fewer than 256 entries");
}

std::vector<std::uint32_t> ReferenceTokeniser::encode(std::string_view text, bool special) const {
  std::vector<std::uint32_t> ids;
  std::size_t from = 0;
  for (std::size_t at = 0; special && at < text.size();) {
    const std::pair<const std::string, std::uint32_t>* longest = nullptr;
    for (const auto& entry : specialTokens_)
      if (text.substr(at).starts_with(entry.first) &&
          (longest == nullptr || entry.first.size() > longest->first.size()))
        longest = &entry;
    if (longest == nullptr) {
      ++at;
      continue;
    }
    encodeOrdinary(text.substr(from, at - from), ids);
    ids.push_back(longest->second);
    at = from = at + longest->first.size();
  }
  encodeOrdinary(text.substr(from), ids);
  return ids;
}

void ReferenceTokeniser::encodeOrdinary(std::string_view text, std::vector<std::uint32_t>& ids) const {
  tokeniser::Pattern::Match match;
  for (std::size_t at = 0; at < text.size(); at = match.end) {
    if (pattern_.next(text, at, false, match, workspace_) != tokeniser::Pattern::SearchResult::found) break;
    merge(std::string(text.substr(match.begin, match.end - match.begin)), ids);
  }
}

// Repeatedly merges the adjacent pair of parts with the lowest rank, the leftmost of equal ones. Parts are
// keyed by the position of their first byte.
void ReferenceTokeniser::merge(const std::string& piece, std::vector<std::uint32_t>& ids) const {
  if (const auto whole = ranks_.find(piece); whole != ranks_.end()) return ids.push_back(whole->second);
  std::map<std::size_t, std::size_t> parts;  // begin position to end position
  for (std::size_t i = 0; i < piece.size(); ++i) parts[i] = i + 1;
  std::set<std::pair<std::uint32_t, std::size_t>> candidates;
  std::map<std::size_t, std::uint32_t> candidateRanks;
  const auto updateCandidate = [&](std::map<std::size_t, std::size_t>::iterator at) {
    if (const auto old = candidateRanks.find(at->first); old != candidateRanks.end()) {
      candidates.erase({old->second, at->first});
      candidateRanks.erase(old);
    }
    const auto next = std::next(at);
    if (next == parts.end()) return;
    const auto rank = ranks_.find(piece.substr(at->first, next->second - at->first));
    if (rank == ranks_.end()) return;
    candidates.insert({rank->second, at->first});
    candidateRanks[at->first] = rank->second;
  };
  for (auto at = parts.begin(); at != parts.end(); ++at) updateCandidate(at);
  while (!candidates.empty()) {
    const auto at = parts.find(candidates.begin()->second);
    const auto next = std::next(at);
    if (const auto old = candidateRanks.find(next->first); old != candidateRanks.end()) {
      candidates.erase({old->second, next->first});
      candidateRanks.erase(old);
    }
    at->second = next->second;
    parts.erase(next);
    updateCandidate(at);
    if (at != parts.begin()) updateCandidate(std::prev(at));
  }
  for (const auto& [from, to] : parts) ids.push_back(ranks_.at(piece.substr(from, to - from)));
}

}  // namespace garnethook::fake_engine
