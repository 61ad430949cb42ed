/// Guards against JSON texts nested so deep that code that walks the parsed value would run out of stack.
#pragma once

#include <algorithm>
#include <string_view>

namespace garnethook::config {

/// Deepest nesting that is accepted.
constexpr unsigned kMaxJsonDepth = 64;

/// Deepest nesting of objects and arrays in JSON text without comments, in one pass. Brackets in strings do
/// not count.
inline unsigned jsonDepth(std::string_view text) {
  unsigned depth = 0;
  unsigned deepest = 0;
  bool quoted = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (quoted) {
      if (c == '\\') ++i;
      quoted = c != '"';
    } else if (c == '"') {
      quoted = true;
    } else if (c == '{' || c == '[') {
      deepest = std::max(deepest, ++depth);
    } else if ((c == '}' || c == ']') && depth > 0) {
      --depth;
    }
  }
  return deepest;
}

}  // namespace garnethook::config
