// UTF-8 functions for the tokenisers. Performs no I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace garnethook::tokeniser {

// Returns whether the text is well-formed (Unicode 15, table 3-7: no overlong forms, no surrogates).
bool wellFormed(std::string_view text);

// Replaces each ill-formed maximal subpart by U+FFFD (Unicode 15, section 3.9, "U+FFFD Substitution of
// Maximal Subparts"), as WHATWG's decoders and Python's "replace" do. Returns nullopt if the text is
// well-formed.
std::optional<std::string> repaired(std::string_view text);

// Returns the largest position <= at that begins a character, in well-formed text.
std::size_t characterStart(std::string_view text, std::size_t at);

// Returns the length in bytes of the first `characters` characters of well-formed text; the whole length if
// there are fewer.
std::size_t bytesOf(std::string_view text, std::size_t characters);

// Appends the character as UTF-8. `c` <= 0x10ffff.
void append(std::string& output, char32_t c);

// Returns the character at `at` and advances `at` past it. The text must be well-formed and at < text.size().
char32_t decodeCharacter(std::string_view text, std::size_t& at);

}  // namespace garnethook::tokeniser
