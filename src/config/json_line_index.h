/// Line numbers of the values in a JSON text with comments, for error messages.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace garnethook::config {

/// Line of each value, from 1, by its JSON pointer (RFC 6901).
using LineIndex = std::map<std::string, int>;

/// A member's key as a token of a JSON pointer: "~" and "/" escaped.
std::string escapePointerToken(std::string_view key);

/// The lines on which the values of `text` begin; a member's line is that of its key. `text` must have been
/// accepted by the parser, and nested no deeper than the caller's stack allows.
LineIndex indexLines(std::string_view text);

}  // namespace garnethook::config
