/// @file
/// Validated access to the named values of a protocol line or of a configuration file. Performs no I/O and
/// depends only on the standard library.
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

/// Thrown for a missing or invalid value.
class FieldError : public std::runtime_error {
 public:
  /// @param field name of the value
  /// @param error description of the error
  FieldError(std::string_view field, std::string_view error);
  /// The name of the missing or invalid value.
  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

/// Splits a text at the separators and omits empty parts. The parts are views into the text.
std::vector<std::string_view> split(std::string_view text, char separator);
/// Parses a finite number; throws FieldError.
double toNumber(std::string_view field, std::string_view text);
/// Parses an unsigned integer; throws FieldError.
std::uint64_t toUnsignedInteger(std::string_view field, std::string_view text);
/// Converts milliseconds to microseconds, rounded; throws FieldError if the time is out of range.
Micros toMicros(std::string_view field, double milliseconds);

/// Values by name. Names and values are views into their source, which must outlive the reader. Overloads
/// without `fallback` require the value. All accessors except `find` throw FieldError.
class FieldReader {
 public:
  /// Adds a value; ignored if a value with that name exists.
  void add(std::string_view name, std::string_view value) { values_.emplace(name, value); }

  /// The raw value, or nullopt if it is absent.
  std::optional<std::string_view> find(std::string_view name) const;

  /// A required text.
  std::string_view text(std::string_view name) const;
  /// An optional text.
  std::string_view text(std::string_view name, std::string_view fallback) const {
    return find(name).value_or(fallback);
  }

  /// A required unsigned integer.
  std::uint64_t unsignedInteger(std::string_view name) const { return toUnsignedInteger(name, text(name)); }
  /// An optional unsigned integer.
  std::uint64_t unsignedInteger(std::string_view name, std::uint64_t fallback) const;
  /// A required unsigned integer that fits into an int.
  int intValue(std::string_view name) const;

  /// A required finite number.
  double number(std::string_view name) const { return toNumber(name, text(name)); }
  /// An optional finite number.
  double number(std::string_view name, double fallback) const;
  /// An optional finite number that is not negative.
  double nonNegativeNumber(std::string_view name, double fallback) const;

  /// A required duration: milliseconds in the source, microseconds as the result.
  Micros duration(std::string_view name) const { return toMicros(name, number(name)); }
  /// An optional duration: milliseconds in the source, microseconds as the result and in `fallback`.
  Micros duration(std::string_view name, Micros fallback) const;

  /// A boolean, written as 1, true, 0 or false; false if absent.
  bool flag(std::string_view name) const;

 private:
  std::map<std::string_view, std::string_view> values_;
};

}  // namespace garnethook::deployment_config
