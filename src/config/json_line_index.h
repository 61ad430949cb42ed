/// Line numbers of the values in a JSON text with comments, for error messages.
#pragma once

#include <map>
#include <string>
#include <string_view>

namespace garnethook::config {

/// Line number of each value, starting at 1, by its JSON pointer (RFC 6901).
using LineIndex = std::map<std::string, int>;

/// Escapes "~" and "/" in a member's key, so that it can be used as a reference token of a JSON pointer.
std::string escapePointerToken(std::string_view key);

/// Returns the lines on which the values of `text` begin; the line of a member is that of its key. `text`
/// must have been accepted by the parser, and its nesting must be limited, since the scanner recurses.
LineIndex indexLines(std::string_view text);

}  // namespace garnethook::config
