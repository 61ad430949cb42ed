#include "config/json_line_index.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace garnethook::config {
namespace {

// Recursive scanner for text that the parser has accepted.
class LineScanner {
 public:
  explicit LineScanner(std::string_view text) : text_(text) { scanValue(""); }

  LineIndex takeLines() { return std::move(lines_); }

 private:
  bool atEnd() const { return position_ >= text_.size(); }
  char current() const { return text_[position_]; }
  bool startsWith(std::string_view token) const { return text_.substr(position_).starts_with(token); }

  void skipSpaceAndComments() {
    while (!atEnd()) {
      if (startsWith("//")) {
        skipLineComment();
      } else if (startsWith("/*")) {
        skipBlockComment();
      } else if (std::string_view(" \t\r\n").find(current()) != std::string_view::npos) {
        if (current() == '\n') ++line_;
        ++position_;
      } else {
        return;
      }
    }
  }

  void skipLineComment() {
    while (!atEnd() && current() != '\n') ++position_;
  }

  void skipBlockComment() {
    const auto end = std::min(text_.find("*/", position_ + 2), text_.size() - 2);
    const auto comment = text_.substr(position_, end - position_);
    line_ += static_cast<int>(std::count(comment.begin(), comment.end(), '\n'));
    position_ = end + 2;
  }

  std::string scanString() {
    const auto start = position_++;
    while (!atEnd() && current() != '"') position_ += current() == '\\' ? 2 : 1;
    ++position_;
    return nlohmann::json::parse(text_.substr(start, position_ - start)).get<std::string>();
  }

  void scanValue(const std::string& pointer) {
    skipSpaceAndComments();
    if (atEnd()) return;
    lines_[pointer] = line_;
    if (current() == '{') {
      scanObject(pointer);
    } else if (current() == '[') {
      scanArray(pointer);
    } else if (current() == '"') {
      scanString();
    } else {
      while (!atEnd() && std::string_view(",]}/ \t\r\n").find(current()) == std::string_view::npos)
        ++position_;
    }
  }

  void scanObject(const std::string& pointer) {
    ++position_;
    for (skipSpaceAndComments(); !atEnd() && current() != '}'; skipSpaceAndComments()) {
      const int keyLine = line_;
      const std::string member = pointer + "/" + escapePointerToken(scanString());
      skipSpaceAndComments();
      ++position_;  // colon
      scanValue(member);
      lines_[member] = keyLine;
      skipComma();
    }
    ++position_;
  }

  void scanArray(const std::string& pointer) {
    ++position_;
    int index = 0;
    for (skipSpaceAndComments(); !atEnd() && current() != ']'; skipSpaceAndComments()) {
      scanValue(pointer + "/" + std::to_string(index++));
      skipComma();
    }
    ++position_;
  }

  void skipComma() {
    skipSpaceAndComments();
    if (!atEnd() && current() == ',') ++position_;
  }

  std::string_view text_;
  LineIndex lines_;
  std::size_t position_ = 0;
  int line_ = 1;
};

}  // namespace

std::string escapePointerToken(std::string_view key) {
  std::string escaped;
  for (const char character : key) {
    if (character == '~')
      escaped += "~0";
    else if (character == '/')
      escaped += "~1";
    else
      escaped.push_back(character);
  }
  return escaped;
}

LineIndex indexLines(std::string_view text) { return LineScanner(text).takeLines(); }

}  // namespace garnethook::config
