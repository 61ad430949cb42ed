/// @file
/// Splits a byte stream into JSON objects, with a bounded buffer. Performs no I/O.
///
/// Discovery sends its lists on a single line or indented over several lines, with blank lines as keep-alives
/// in between. The end of a list is therefore found by matching braces instead of line breaks.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace garnethook::platform {

/// Incremental splitter: accepts the stream in pieces of any size and reports every complete object.
class JsonObjectSplitter {
 public:
  /// @param maxObjectBytes maximum size of an object, in bytes
  explicit JsonObjectSplitter(std::size_t maxObjectBytes) : maxObjectBytes_(maxObjectBytes) {}

  /// Calls `onObject(std::string_view)` for each complete object, from its opening to its closing brace. Text
  /// that does not start with a brace is reported unchanged, up to the end of its line. White space between
  /// objects is skipped. Returns false if an object exceeds the maximum size.
  template <class OnObject>
  [[nodiscard]] bool receive(std::string_view bytes, OnObject onObject) {
    for (const char character : bytes) {
      if (buffer_.empty() && isWhiteSpace(character)) continue;
      if (buffer_.size() >= maxObjectBytes_) return false;
      if (buffer_.empty()) isStrayText_ = character != '{';
      if (isStrayText_ && character == '\n') {
        emit(onObject);
        continue;
      }
      buffer_.push_back(character);
      if (!isStrayText_ && closesObject(character)) emit(onObject);
    }
    return true;
  }

  /// Whether an object has started but is not complete.
  bool isInsideObject() const { return !buffer_.empty(); }

  /// Discards an incomplete object.
  void reset() {
    buffer_.clear();
    depth_ = 0;
    isInString_ = isEscaped_ = false;
  }

 private:
  static bool isWhiteSpace(char character) {
    return character == ' ' || character == '\t' || character == '\r' || character == '\n';
  }

  template <class OnObject>
  void emit(OnObject& onObject) {
    std::string object;
    object.swap(buffer_);
    reset();
    onObject(std::string_view(object));
  }

  bool closesObject(char character) {
    if (isEscaped_) {
      isEscaped_ = false;
    } else if (isInString_) {
      isEscaped_ = character == '\\';
      isInString_ = character != '"';
    } else if (character == '"') {
      isInString_ = true;
    } else if (character == '{') {
      ++depth_;
    } else if (character == '}') {
      return --depth_ == 0;
    }
    return false;
  }

  std::size_t maxObjectBytes_;
  std::string buffer_;
  std::size_t depth_ = 0;  // number of open braces
  bool isInString_ = false;
  bool isEscaped_ = false;
  bool isStrayText_ = false;
};

}  // namespace garnethook::platform
