// The pattern that cuts a text into pieces before merging, run by PCRE2 with JIT.
//
// Files write their pattern for another engine (Rust's fancy-regex for ranks files, Oniguruma for
// tokenizer.json), and engines differ in small things. So a pattern is read first and taken only where each
// construct means the same here: categories, classes, groups, lookahead, quantifiers. \s becomes Unicode's
// White_Space, which PCRE2's is not (U+180E). Everything else is an error that names the construct.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace garnethook::tokeniser {

enum class Dialect {
  fancyRegex,  // ranks files
  oniguruma,   // tokenizer.json: {n,m}+ is no possessive quantifier there
};

// The pattern in PCRE2's words. Throws std::invalid_argument naming construct and place.
std::string translated(std::string_view pattern, Dialect dialect);

class Pattern {
 public:
  // Match memory of one thread.
  class Workspace {
   public:
    Workspace();
    ~Workspace();
    Workspace(const Workspace&) = delete;
    Workspace& operator=(const Workspace&) = delete;

   private:
    friend class Pattern;
    struct Parts;
    std::unique_ptr<Parts> parts_;
  };

  // Throws std::invalid_argument, also for patterns that may match nothing.
  Pattern(std::string_view pattern, Dialect dialect);
  ~Pattern();
  Pattern(Pattern&&) noexcept;
  Pattern& operator=(Pattern&&) noexcept;

  enum class Look {
    found,
    none,       // no match up to the end
    uncertain,  // what follows the text may change the answer
  };
  struct Match {
    std::size_t begin = 0;
    std::size_t end = 0;
  };
  // The first match at or after `from`. The text is well-formed UTF-8 that ends on a character. `more`: other
  // text may follow; then found only where the matcher never looked at the end. Throws std::runtime_error
  // where the match memory (64 MiB) is used up.
  Look next(std::string_view text, std::size_t from, bool more, Match& match, Workspace& workspace) const;

 private:
  struct Code;
  std::unique_ptr<Code> code_;
};

// Patterns of published ranks files: "cl100k_base", "o200k_base", "p50k_base", "r50k_base", "gpt2".
// Empty for other names.
std::string_view knownPattern(std::string_view name);

}  // namespace garnethook::tokeniser
