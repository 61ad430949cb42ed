// The pattern that splits a text into pieces before merging, matched by PCRE2 with JIT.
//
// Files contain patterns for other regex engines (Rust's fancy-regex for ranks files, Oniguruma for
// tokenizer.json), which differ from PCRE2 in details. A pattern is therefore parsed first and accepted only
// if each construct has the same meaning in PCRE2: categories, classes, groups, lookahead, quantifiers. \s is
// replaced by Unicode's White_Space, since PCRE2's \s differs from it (U+180E). Any other construct is an
// error that names it.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace garnethook::tokeniser {

enum class Dialect {
  fancyRegex,  // ranks files
  oniguruma,   // tokenizer.json; {n,m}+ is not a possessive quantifier there
};

// Translates the pattern to PCRE2 syntax. Throws std::invalid_argument naming the construct and its position.
std::string translateToPcre2(std::string_view pattern, Dialect dialect);

class Pattern {
 public:
  // Match data of one thread.
  class Workspace {
   public:
    Workspace();
    ~Workspace();
    Workspace(const Workspace&) = delete;
    Workspace& operator=(const Workspace&) = delete;

   private:
    friend class Pattern;
    struct MatchState;
    std::unique_ptr<MatchState> state_;
  };

  // Throws std::invalid_argument for an unsupported pattern and for one that can match the empty string.
  Pattern(std::string_view pattern, Dialect dialect);
  ~Pattern();
  Pattern(Pattern&&) noexcept;
  Pattern& operator=(Pattern&&) noexcept;

  enum class SearchResult {
    found,
    none,       // no match in the rest of the text
    uncertain,  // text that follows may change the result
  };
  struct Match {
    std::size_t begin = 0;
    std::size_t end = 0;
  };
  // Finds the first match at or after `from`. The text must be well-formed UTF-8 that ends on a character
  // boundary. `more`: further text may follow; `found` is then returned only if the matcher did not inspect
  // the end of the text. Throws std::runtime_error if the match memory (64 MiB) is exhausted.
  SearchResult next(std::string_view text, std::size_t from, bool more, Match& match,
                    Workspace& workspace) const;

 private:
  struct Code;
  std::unique_ptr<Code> code_;
};

// Patterns of published ranks files: "cl100k_base", "o200k_base", "p50k_base", "r50k_base", "gpt2".
// Returns an empty string for other names.
std::string_view knownPattern(std::string_view name);

}  // namespace garnethook::tokeniser
