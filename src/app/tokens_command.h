// garnethook tokens: counts a file's text as an engine would.
#pragma once

#include <string>
#include <vector>

namespace garnethook::app {

struct TokensOptions {
  std::string file;  // "-": standard input
  std::string vocabulary;
  std::string format;                      // empty: by the vocabulary file's ending
  std::string pattern;                     // of ranks files
  std::vector<std::string> specialTokens;  // of ranks files: TEXT=ID
  bool special = false;                    // their text in the file is meant as such
  bool frame = true;
  bool ids = false;
  bool lines = false;  // each line is a text of its own, as a JSON string
  int repeat = 1;      // for timing
};
int tokens(const TokensOptions& options);

}  // namespace garnethook::app
