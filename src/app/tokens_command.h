/// The command `garnethook tokens`: counts the tokens of a text as an engine does.
#pragma once

#include <string>
#include <vector>

namespace garnethook::app {

/// Options of tokens().
struct TokensOptions {
  std::string file;                        ///< the text; "-": standard input
  std::string vocabulary;                  ///< the tokeniser file
  std::string format;                      ///< of the vocabulary; empty: by its file name extension
  std::string pattern;                     ///< pre-tokenisation pattern, for ranks files
  std::vector<std::string> specialTokens;  ///< TEXT=ID, for ranks files
  bool special = false;                    ///< encode the text of special tokens as special tokens
  bool frame = true;                       ///< add the tokens that the tokeniser puts before and after a text
  bool ids = false;                        ///< print token ids instead of their number
  bool lines = false;                      ///< each line is a separate text, as a JSON string
  int repeat = 1;                          ///< number of times to encode, for timing
};
/// Runs the command; returns the exit code of the process.
int tokens(const TokensOptions& options);

}  // namespace garnethook::app
