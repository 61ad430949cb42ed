// A stream of JSON objects to its objects, bounded. Free of I/O.
//
// Lists come one a line or indented over many, with blank lines as signs of life in between, so it is the
// braces that tell where one ends, not the lines.
#pragma once

#include <string>
#include <string_view>

namespace garnethook::platform {

class ObjectSplitter {
 public:
  // `most`: bytes of one object.
  explicit ObjectSplitter(std::size_t most) : most_(most) {}
  // Calls `object` for each whole one, from its first brace to its last; text that begins no object comes as
  // it stands, up to the end of its line. White space between them is passed over. False: one is longer than
  // the bound.
  template <class Object>
  bool receive(std::string_view bytes, Object object) {
    for (const char c : bytes) {
      if (held_.empty() && (c == ' ' || c == '\t' || c == '\r' || c == '\n')) continue;
      if (held_.size() >= most_) return false;
      if (held_.empty()) stray_ = c != '{';
      if (stray_ && c == '\n') {
        emit(object);
        continue;
      }
      held_.push_back(c);
      if (!stray_ && closes(c)) emit(object);
    }
    return true;
  }
  // Whether an object has begun and not ended.
  bool midway() const { return !held_.empty(); }
  void clear() {
    held_.clear();
    depth_ = 0;
    quoted_ = escaped_ = false;
  }

 private:
  template <class Object>
  void emit(Object& object) {
    std::string whole;
    whole.swap(held_);
    clear();
    object(std::string_view(whole));
  }
  bool closes(char c) {
    if (escaped_) {
      escaped_ = false;
    } else if (quoted_) {
      escaped_ = c == '\\';
      quoted_ = c != '"';
    } else if (c == '"') {
      quoted_ = true;
    } else if (c == '{') {
      ++depth_;
    } else if (c == '}') {
      return --depth_ == 0;
    }
    return false;
  }

  std::size_t most_;
  std::string held_;
  std::size_t depth_ = 0;
  bool quoted_ = false;
  bool escaped_ = false;
  bool stray_ = false;
};

}  // namespace garnethook::platform
