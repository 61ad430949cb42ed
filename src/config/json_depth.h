/// Prevents stack overflows in recursive code that visits parsed JSON values, by limiting the nesting of the
/// text.
#pragma once

#include <algorithm>
#include <string_view>

namespace garnethook::config {

/// Maximum nesting depth that is accepted.
constexpr unsigned kMaxJsonDepth = 64;

/// Returns the maximum nesting depth of objects and arrays in a JSON text without comments, in one pass.
/// Brackets in strings do not count.
inline unsigned jsonDepth(std::string_view text) {
  unsigned depth = 0;
  unsigned maxDepth = 0;
  bool inString = false;
  for (std::size_t position = 0; position < text.size(); ++position) {
    const char character = text[position];
    if (inString) {
      if (character == '\\') ++position;
      inString = character != '"';
    } else if (character == '"') {
      inString = true;
    } else if (character == '{' || character == '[') {
      maxDepth = std::max(maxDepth, ++depth);
    } else if ((character == '}' || character == ']') && depth > 0) {
      --depth;
    }
  }
  return maxDepth;
}

}  // namespace garnethook::config
