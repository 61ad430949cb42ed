#include "routing/policy_log.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace garnethook::routing {
namespace {

// Ids are 64-bit hashes, so nearly all have at least this many digits; other numbers in the texts have fewer.
constexpr std::size_t kMinIdDigits = 10;

std::optional<EndpointId> parseId(std::string_view word) {
  if (word.size() < kMinIdDigits) return std::nullopt;
  EndpointId id;
  const char* end = word.data() + word.size();
  const auto [last, error] = std::from_chars(word.data(), end, id.value);
  if (error != std::errc() || last != end) return std::nullopt;
  return id;
}

}  // namespace

std::string withEndpointNames(std::string_view text, const std::function<std::string(EndpointId)>& nameOf) {
  std::string result;
  for (std::size_t begin = 0; begin < text.size();) {
    const auto end = std::min(text.find(' ', begin), text.size());
    const auto word = text.substr(begin, end - begin);
    const auto id = parseId(word);
    if (!result.empty()) result += ' ';
    result += id ? nameOf(*id) : std::string(word);
    begin = end + 1;
  }
  return result;
}

}  // namespace garnethook::routing
