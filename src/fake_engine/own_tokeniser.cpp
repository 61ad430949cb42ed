#include "fake_engine/own_tokeniser.h"

#include <map>
#include <set>
#include <sstream>
#include <stdexcept>

namespace garnethook::fake_engine {
namespace {

std::string bytesOf(std::string_view base64) {
  constexpr std::string_view kLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  std::uint32_t bits = 0;
  int held = 0;
  for (const char c : base64) {
    if (c == '=') break;
    bits = bits << 6 | static_cast<std::uint32_t>(kLetters.find(c));
    held += 6;
    if (held < 8) continue;
    held -= 8;
    out.push_back(static_cast<char>(bits >> held & 0xff));
  }
  return out;
}

}  // namespace

OwnTokeniser::OwnTokeniser(std::string name, std::string version, std::string_view ranks,
                           std::string_view pattern)
    : name_(std::move(name)),
      version_(std::move(version)),
      pattern_(pattern, tokeniser::Dialect::fancyRegex) {
  std::istringstream in{std::string(ranks)};
  std::string token;
  std::uint32_t rank = 0;
  while (in >> token >> rank) ranks_[bytesOf(token)] = rank;
  if (ranks_.size() < 256) throw std::invalid_argument("no ranks file");
}

std::vector<std::uint32_t> OwnTokeniser::encode(std::string_view text, bool special) const {
  std::vector<std::uint32_t> ids;
  std::size_t from = 0;
  for (std::size_t at = 0; special && at < text.size();) {
    const std::pair<const std::string, std::uint32_t>* best = nullptr;
    for (const auto& s : specials_)
      if (text.substr(at).starts_with(s.first) && (best == nullptr || s.first.size() > best->first.size()))
        best = &s;
    if (best == nullptr) {
      ++at;
      continue;
    }
    plain(text.substr(from, at - from), ids);
    ids.push_back(best->second);
    at = from = at + best->first.size();
  }
  plain(text.substr(from), ids);
  return ids;
}

void OwnTokeniser::plain(std::string_view text, std::vector<std::uint32_t>& ids) const {
  tokeniser::Pattern::Match match;
  for (std::size_t at = 0; at < text.size(); at = match.end) {
    if (pattern_.next(text, at, false, match, workspace_) != tokeniser::Pattern::SearchResult::found) break;
    merge(std::string(text.substr(match.begin, match.end - match.begin)), ids);
  }
}

// Parts by their first byte; of all neighbours whose bytes are a token the lowest rank first, leftmost of
// equals.
void OwnTokeniser::merge(const std::string& piece, std::vector<std::uint32_t>& ids) const {
  if (const auto whole = ranks_.find(piece); whole != ranks_.end()) return ids.push_back(whole->second);
  std::map<std::size_t, std::size_t> parts;  // beginning to end
  for (std::size_t i = 0; i < piece.size(); ++i) parts[i] = i + 1;
  std::set<std::pair<std::uint32_t, std::size_t>> open;
  std::map<std::size_t, std::uint32_t> rankOf;
  const auto look = [&](std::map<std::size_t, std::size_t>::iterator at) {
    if (const auto old = rankOf.find(at->first); old != rankOf.end()) {
      open.erase({old->second, at->first});
      rankOf.erase(old);
    }
    const auto next = std::next(at);
    if (next == parts.end()) return;
    const auto rank = ranks_.find(piece.substr(at->first, next->second - at->first));
    if (rank == ranks_.end()) return;
    open.insert({rank->second, at->first});
    rankOf[at->first] = rank->second;
  };
  for (auto at = parts.begin(); at != parts.end(); ++at) look(at);
  while (!open.empty()) {
    const auto at = parts.find(open.begin()->second);
    const auto next = std::next(at);
    if (const auto old = rankOf.find(next->first); old != rankOf.end()) {
      open.erase({old->second, next->first});
      rankOf.erase(old);
    }
    at->second = next->second;
    parts.erase(next);
    look(at);
    if (at != parts.begin()) look(std::prev(at));
  }
  for (const auto& [from, to] : parts) ids.push_back(ranks_.at(piece.substr(from, to - from)));
}

}  // namespace garnethook::fake_engine
