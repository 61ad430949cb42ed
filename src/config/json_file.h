/// Validating reader for JSON files with comments: each error names the file, line and key. Not thread-safe.
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

/// The file is invalid or cannot be read. what() has the form "file:line: key: problem".
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The file cannot be read for a reason that may be transient: lack of descriptors or memory, or an I/O
/// error.
class UnavailableError : public Error {
 public:
  using Error::Error;
};

/// A parsed file with the line number of each value; immutable.
class JsonFile {
 public:
  /// Parses `text`; `name` identifies its origin in error messages. Throws Error if the text is not a JSON
  /// object or is nested deeper than kMaxJsonDepth.
  static std::shared_ptr<const JsonFile> parse(std::string name, std::string_view text);
  /// Reads and parses the file at `path`. Throws Error or UnavailableError.
  static std::shared_ptr<const JsonFile> load(const std::string& path);

  /// The parsed root object.
  const nlohmann::json& root() const { return root_; }
  /// Name of the file in error messages.
  const std::string& name() const { return name_; }
  /// Line number of the value at a JSON pointer, starting at 1.
  int line(const std::string& pointer) const;

 private:
  std::string name_;
  nlohmann::json root_;
  LineIndex lines_;
};

/// One value of a file. An object records which keys were read, so that done() can reject unknown keys. All
/// readers throw Error if the value has a different type or is out of range.
class Node {
 public:
  /// The root of a file.
  explicit Node(const std::shared_ptr<const JsonFile>& file);

  /// Throws Error for this value.
  [[noreturn]] void fail(std::string_view error) const;
  /// Throws Error for a member of this object, which may be absent.
  [[noreturn]] void failAt(std::string_view key, std::string_view error) const;

  /// Whether the object contains the key.
  bool has(std::string_view key) const;
  /// A member that is an object; empty if the key is absent.
  Node object(std::string_view key) const;
  /// The items of a member that is an array; empty if the key is absent.
  std::vector<Node> array(std::string_view key) const;
  /// A required, non-empty string.
  std::string text(std::string_view key) const;
  /// A string, or `fallback` if the key is absent.
  std::string text(std::string_view key, std::string fallback) const;
  /// A boolean, or `fallback` if the key is absent.
  bool flag(std::string_view key, bool fallback) const;
  /// A required number from `minimum` to `maximum`.
  double number(std::string_view key, double minimum, double maximum) const;
  /// A number from `minimum` to `maximum`, or `fallback` if the key is absent.
  double number(std::string_view key, double fallback, double minimum, double maximum) const;
  /// An integer from `minimum` to `maximum`, or `fallback` if the key is absent.
  std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t minimum,
                       std::int64_t maximum) const;
  /// A duration: milliseconds in the file and in the bounds, microseconds in the result.
  std::int64_t micros(std::string_view keyMs, double fallbackMs, double minimumMs, double maximumMs) const;
  /// The items of an array of strings; empty if the key is absent.
  std::vector<std::string> texts(std::string_view key) const;
  /// Index of a string in `names`, or `fallback` if the key is absent; the error lists the names.
  std::size_t choice(std::string_view key, const std::vector<std::string>& names, std::size_t fallback) const;
  /// The underlying JSON value, without validation.
  const nlohmann::json& raw() const { return *value_; }
  /// This value as a string.
  std::string asText() const;
  /// Throws Error if this object has a key that was never read.
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
