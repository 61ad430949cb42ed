/// Replaces a file atomically: after a crash it has either its old or its new text.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace garnethook::membership {

/// Thrown if a file could not be replaced; the old file is unchanged.
class FileReplacementError : public std::runtime_error {
 public:
  /// The step that failed.
  enum class Step {
    create,  ///< The new file could not be created.
    write,   ///< Its text could not be written.
    flush,   ///< It could not be flushed to disk.
    rename   ///< It could not be renamed over the old file.
  };
  /// `path`: the new file; `errorNumber`: errno of the failed call.
  FileReplacementError(Step step, const std::string& path, int errorNumber);
  /// The step that failed.
  Step step() const { return step_; }
  /// errno of the failed call.
  int errorNumber() const { return errorNumber_; }

 private:
  Step step_;
  int errorNumber_;
};

/// Writes `text` to a new file beside `path`, flushes it and renames it over `path`. Throws
/// FileReplacementError.
void replaceFile(const std::string& path, std::string_view text);

}  // namespace garnethook::membership
