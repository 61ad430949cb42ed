// UTF-8 as the encoders need it. Free of I/O.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace garnethook::tokeniser {

// True where the text is well-formed (Unicode 15, table 3-7: no overlong forms, no surrogates).
bool wellFormed(std::string_view text);

// The text with U+FFFD for each maximal part that is no beginning of a character (Unicode 15, section 3.9,
// "U+FFFD Substitution of Maximal Subparts"; what WHATWG's decoders and Python's "replace" do). None where
// the text is well-formed already.
std::optional<std::string> repaired(std::string_view text);

// The largest place <= at that begins a character, in well-formed text.
std::size_t characterStart(std::string_view text, std::size_t at);

// Bytes of the first `characters` characters of well-formed text; all, where there are fewer.
std::size_t bytesOf(std::string_view text, std::size_t characters);

// Appends the character. `c` <= 0x10ffff.
void append(std::string& out, char32_t c);

// The character at `at`, which moves behind it. The text is well-formed and at < size.
char32_t take(std::string_view text, std::size_t& at);

}  // namespace garnethook::tokeniser
