/// JSON files with comments, read with checks: each error names file, line and key. Used on one thread at a
/// time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/json_line_index.h"

namespace garnethook::config {

/// A file that cannot be used. what() is "file:line: key: problem".
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The file cannot be read at the moment, for a reason that may be transient: no descriptor, no memory, no
/// answer of the disk.
class UnavailableError : public Error {
 public:
  using Error::Error;
};

/// A parsed file with the line of each value; immutable.
class JsonFile {
 public:
  /// Parses `text`; `name` stands for its origin in error messages. Throws Error where the text is no JSON
  /// object, or is nested deeper than kMaxJsonDepth.
  static std::shared_ptr<const JsonFile> parse(std::string name, std::string_view text);
  /// Reads and parses the file at `path`. Throws Error or UnavailableError.
  static std::shared_ptr<const JsonFile> load(const std::string& path);

  /// The parsed object.
  const nlohmann::json& root() const { return root_; }
  /// The name that error messages use.
  const std::string& name() const { return name_; }
  /// Line of the value at a JSON pointer, from 1.
  int line(const std::string& pointer) const;

 private:
  std::string name_;
  nlohmann::json root_;
  LineIndex lines_;
};

/// One value of a file. An object remembers which keys were read, so that done() finds unknown ones. All
/// readers throw Error where the value has another type or is out of bounds.
class Node {
 public:
  /// The root of a file.
  explicit Node(const std::shared_ptr<const JsonFile>& file);

  /// Throws Error for this value.
  [[noreturn]] void fail(std::string_view error) const;
  /// Throws Error for a member of this object, which may be absent.
  [[noreturn]] void failAt(std::string_view key, std::string_view error) const;

  /// Whether the object has the key.
  bool has(std::string_view key) const;
  /// A member that is an object; an absent one reads as empty.
  Node object(std::string_view key) const;
  /// The items of a member that is an array; an absent one reads as empty.
  std::vector<Node> array(std::string_view key) const;
  /// A required, non-empty string.
  std::string text(std::string_view key) const;
  /// A string, or `fallback` where the key is absent.
  std::string text(std::string_view key, std::string fallback) const;
  /// A boolean, or `fallback` where the key is absent.
  bool flag(std::string_view key, bool fallback) const;
  /// A required number from `least` to `most`.
  double number(std::string_view key, double least, double most) const;
  /// A number from `least` to `most`, or `fallback` where the key is absent.
  double number(std::string_view key, double fallback, double least, double most) const;
  /// A whole number from `least` to `most`, or `fallback` where the key is absent.
  std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t least,
                       std::int64_t most) const;
  /// A time: milliseconds in the file and in the bounds, microseconds as result.
  std::int64_t micros(std::string_view keyMs, double fallbackMs, double leastMs, double mostMs) const;
  /// The items of an array of strings; an absent one reads as empty.
  std::vector<std::string> texts(std::string_view key) const;
  /// Index of a string among `names`, or `fallback` where the key is absent; the error lists the names.
  std::size_t choice(std::string_view key, const std::vector<std::string>& names, std::size_t fallback) const;
  /// The value itself, unchecked.
  const nlohmann::json& raw() const { return *value_; }
  /// This value as a string.
  std::string asText() const;
  /// Throws Error for a key of this object that was never read.
  void done() const;

 private:
  Node(std::shared_ptr<const JsonFile> file, const nlohmann::json* value, std::string pointer);
  const nlohmann::json* member(std::string_view key) const;
  Node child(std::string_view key, const nlohmann::json* value) const;

  std::shared_ptr<const JsonFile> file_;
  const nlohmann::json* value_;
  std::string pointer_;
  std::shared_ptr<std::set<std::string, std::less<>>> readKeys_;
};

}  // namespace garnethook::config
