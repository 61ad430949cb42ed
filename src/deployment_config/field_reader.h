/// Named values of a wire line or of a configuration file, read with checks. Free of I/O, needs no library.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::deployment_config {

/// A value that is missing or cannot be understood.
class FieldError : public std::runtime_error {
 public:
  /// `field`: the name of the value; `error`: what is wrong with it.
  FieldError(std::string_view field, std::string_view error);
  /// The name of the value at fault.
  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

/// The parts of a text between separators; empty parts are left out. They refer to the text.
std::vector<std::string_view> split(std::string_view text, char separator);
/// A finite number; throws FieldError.
double toNumber(std::string_view field, std::string_view text);
/// An unsigned integer; throws FieldError.
std::uint64_t toUnsignedInteger(std::string_view field, std::string_view text);
/// Microseconds, rounded; throws FieldError where the time is out of range.
Micros toMicros(std::string_view field, double milliseconds);

/// Values by name. Names and values are views into their source, which must outlive the reader. The overloads
/// without `fallback` require the value. All readers but `find` throw FieldError.
class FieldReader {
 public:
  /// Adds a value; of two with one name the first counts.
  void add(std::string_view name, std::string_view value) { values_.emplace(name, value); }

  /// The raw value; nothing where it is absent.
  std::optional<std::string_view> find(std::string_view name) const;

  /// A required text.
  std::string_view text(std::string_view name) const;
  /// A text.
  std::string_view text(std::string_view name, std::string_view fallback) const {
    return find(name).value_or(fallback);
  }

  /// A required unsigned integer.
  std::uint64_t unsignedInteger(std::string_view name) const { return toUnsignedInteger(name, text(name)); }
  /// An unsigned integer.
  std::uint64_t unsignedInteger(std::string_view name, std::uint64_t fallback) const;
  /// A required unsigned integer that fits into an int.
  int intValue(std::string_view name) const;

  /// A required finite number.
  double number(std::string_view name) const { return toNumber(name, text(name)); }
  /// A finite number.
  double number(std::string_view name, double fallback) const;
  /// A finite number, not negative.
  double nonNegativeNumber(std::string_view name, double fallback) const;

  /// A required time: milliseconds in the source, microseconds as the result.
  Micros duration(std::string_view name) const { return toMicros(name, number(name)); }
  /// A time: milliseconds in the source, microseconds as the result and in `fallback`.
  Micros duration(std::string_view name, Micros fallback) const;

  /// 1, true, 0 or false; false where it is absent.
  bool flag(std::string_view name) const;

 private:
  std::map<std::string_view, std::string_view> values_;
};

}  // namespace garnethook::deployment_config
