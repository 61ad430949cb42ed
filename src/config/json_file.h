// JSON files with comments, read with checks: each error names file, line and key.
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

namespace garnethook::config {

// what(): "file:line: key: trouble".
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The file can't be read at the moment, for a reason that may pass: no descriptor, no memory, no answer of
// the disk.
class UnavailableError : public Error {
 public:
  using Error::Error;
};

// A parsed file with the line of each value.
class JsonFile {
 public:
  // Throws Error. `name` stands in errors for the text's origin.
  static std::shared_ptr<const JsonFile> parse(std::string name, std::string_view text);
  static std::shared_ptr<const JsonFile> load(const std::string& path);

  const nlohmann::json& root() const { return root_; }
  const std::string& name() const { return name_; }
  // Line of the value at a JSON pointer, from 1.
  int line(const std::string& pointer) const;

 private:
  std::string name_;
  nlohmann::json root_;
  std::map<std::string, int> lines_;
};

// One value of a file. Objects remember which keys were asked for, so that done() finds those nobody knows.
class Node {
 public:
  explicit Node(std::shared_ptr<const JsonFile> file);

  [[noreturn]] void fail(std::string_view error) const;
  [[noreturn]] void failAt(std::string_view key, std::string_view error) const;

  bool has(std::string_view key) const;
  Node object(std::string_view key) const;              // an absent one reads as empty
  std::vector<Node> array(std::string_view key) const;  // an absent one reads as empty
  // A value or `fallback` where the key is absent; without fallback the key is required.
  std::string text(std::string_view key) const;
  std::string text(std::string_view key, std::string fallback) const;
  bool flag(std::string_view key, bool fallback) const;
  double number(std::string_view key, double least, double most) const;
  double number(std::string_view key, double fallback, double least, double most) const;
  std::int64_t integer(std::string_view key, std::int64_t fallback, std::int64_t least,
                       std::int64_t most) const;
  // Milliseconds in the file, microseconds out.
  std::int64_t micros(std::string_view keyMs, double fallbackMs, double leastMs, double mostMs) const;
  std::vector<std::string> texts(std::string_view key) const;
  // One of the names; the error lists them.
  std::size_t choice(std::string_view key, const std::vector<std::string>& names, std::size_t fallback) const;
  const nlohmann::json& raw() const { return *value_; }
  std::string asText() const;
  // Throws for a key of this object that was never asked for.
  void done() const;

 private:
  Node(std::shared_ptr<const JsonFile> file, const nlohmann::json* value, std::string pointer);
  const nlohmann::json* member(std::string_view key) const;
  Node child(std::string_view key, const nlohmann::json* value) const;

  std::shared_ptr<const JsonFile> file_;
  const nlohmann::json* value_;
  std::string pointer_;
  std::shared_ptr<std::set<std::string, std::less<>>> asked_;
};

}  // namespace garnethook::config
