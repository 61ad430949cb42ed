/// Splits a byte stream into the JSON objects that it contains, with a bounded buffer. Free of I/O.
///
/// Discovery sends its lists one per line or indented over many lines, with blank lines as keep-alives in
/// between. The end of a list is therefore found by counting braces, not by looking for line breaks.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace garnethook::platform {

/// Incremental splitter: feed it bytes in pieces of any size, and it reports every complete object.
class JsonObjectSplitter {
 public:
  /// `maxObjectBytes`: the longest object that is accepted, in bytes.
  explicit JsonObjectSplitter(std::size_t maxObjectBytes) : maxObjectBytes_(maxObjectBytes) {}

  /// Calls `onObject(std::string_view)` for each object that is complete, from its first brace to its last.
  /// Text that does not begin an object is reported as it stands, up to the end of its line. White space
  /// between objects is skipped. Returns false where an object is longer than the bound.
  template <class OnObject>
  [[nodiscard]] bool receive(std::string_view bytes, OnObject onObject) {
    for (const char c : bytes) {
      if (buffer_.empty() && isWhiteSpace(c)) continue;
      if (buffer_.size() >= maxObjectBytes_) return false;
      if (buffer_.empty()) isStrayText_ = c != '{';
      if (isStrayText_ && c == '\n') {
        emit(onObject);
        continue;
      }
      buffer_.push_back(c);
      if (!isStrayText_ && closesObject(c)) emit(onObject);
    }
    return true;
  }

  /// Whether an object has begun and not ended yet.
  bool isInsideObject() const { return !buffer_.empty(); }

  /// Forgets an object that has begun.
  void reset() {
    buffer_.clear();
    depth_ = 0;
    isInString_ = isEscaped_ = false;
  }

 private:
  static bool isWhiteSpace(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

  template <class OnObject>
  void emit(OnObject& onObject) {
    std::string object;
    object.swap(buffer_);
    reset();
    onObject(std::string_view(object));
  }

  bool closesObject(char c) {
    if (isEscaped_) {
      isEscaped_ = false;
    } else if (isInString_) {
      isEscaped_ = c == '\\';
      isInString_ = c != '"';
    } else if (c == '"') {
      isInString_ = true;
    } else if (c == '{') {
      ++depth_;
    } else if (c == '}') {
      return --depth_ == 0;
    }
    return false;
  }

  std::size_t maxObjectBytes_;
  std::string buffer_;
  std::size_t depth_ = 0;  // of open braces
  bool isInString_ = false;
  bool isEscaped_ = false;
  bool isStrayText_ = false;
};

}  // namespace garnethook::platform
