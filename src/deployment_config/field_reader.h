// Facts: values by name, as a wire line or a configuration file tells them, read with checks. Names and
// values are views into their source, which must outlive them. Free of I/O, needs no library.
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::deployment_config {

// A value that can't be understood; names the field at fault.
class FieldError : public std::runtime_error {
 public:
  FieldError(std::string_view field, std::string_view error);
  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

std::vector<std::string_view> split(std::string_view text, char separator);
double toNumber(std::string_view field, std::string_view text);
std::uint64_t toWhole(std::string_view field, std::string_view text);
Micros toMicros(std::string_view field, double milliseconds);

class FieldReader {
 public:
  // The first of two equal names counts.
  void add(std::string_view name, std::string_view value) { values_.emplace(name, value); }

  std::optional<std::string_view> find(std::string_view name) const;
  // Without `absent` the value is required. All throw FieldError.
  std::string_view text(std::string_view name) const;
  std::string_view text(std::string_view name, std::string_view absent) const {
    return find(name).value_or(absent);
  }
  std::uint64_t whole(std::string_view name) const { return toWhole(name, text(name)); }
  std::uint64_t whole(std::string_view name, std::uint64_t absent) const;
  double number(std::string_view name) const { return toNumber(name, text(name)); }
  double number(std::string_view name, double absent) const;
  double amount(std::string_view name, double absent) const;  // not negative
  // Milliseconds there, microseconds here.
  Micros time(std::string_view name) const { return toMicros(name, number(name)); }
  Micros time(std::string_view name, Micros absent) const;
  bool flag(std::string_view name) const;  // absent: false
  int smallInt(std::string_view name) const;

 private:
  std::map<std::string_view, std::string_view> values_;
};

}  // namespace garnethook::deployment_config
