#include "deployment_config/field_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace garnethook::deployment_config {
namespace {

constexpr double kMicrosPerMillisecond = 1000;
// Durations up to this limit are exact as doubles and far below the overflow of Micros.
constexpr double kMaxMicros = 9e15;

}  // namespace

FieldError::FieldError(std::string_view field, std::string_view error)
    : std::runtime_error("field '" + std::string(field) + "': " + std::string(error)), field_(field) {}

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const auto end = std::min(text.find(separator), text.size());
    if (end > 0) parts.push_back(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return parts;
}

double toNumber(std::string_view field, std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
    throw FieldError(field, "not a number");
  return value;
}

std::uint64_t toUnsignedInteger(std::string_view field, std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) throw FieldError(field, "not a whole number");
  return value;
}

Micros toMicros(std::string_view field, double milliseconds) {
  if (std::abs(milliseconds) > kMaxMicros / kMicrosPerMillisecond)
    throw FieldError(field, "time out of range");
  return std::llround(milliseconds * kMicrosPerMillisecond);
}

std::optional<std::string_view> FieldReader::find(std::string_view name) const {
  const auto entry = values_.find(name);
  if (entry == values_.end()) return std::nullopt;
  return entry->second;
}

std::string_view FieldReader::text(std::string_view name) const {
  const auto value = find(name);
  if (!value) throw FieldError(name, "missing");
  return *value;
}

std::uint64_t FieldReader::unsignedInteger(std::string_view name, std::uint64_t fallback) const {
  const auto value = find(name);
  return value ? toUnsignedInteger(name, *value) : fallback;
}

int FieldReader::intValue(std::string_view name) const {
  const auto value = unsignedInteger(name);
  if (value > std::uint64_t{std::numeric_limits<int>::max()}) throw FieldError(name, "too large");
  return static_cast<int>(value);
}

double FieldReader::number(std::string_view name, double fallback) const {
  const auto value = find(name);
  return value ? toNumber(name, *value) : fallback;
}

double FieldReader::nonNegativeNumber(std::string_view name, double fallback) const {
  const double value = number(name, fallback);
  if (value < 0) throw FieldError(name, "negative");
  return value;
}

Micros FieldReader::duration(std::string_view name, Micros fallback) const {
  const auto value = find(name);
  return value ? toMicros(name, toNumber(name, *value)) : fallback;
}

bool FieldReader::flag(std::string_view name) const {
  const auto value = text(name, "0");
  if (value == "1" || value == "true") return true;
  if (value == "0" || value == "false") return false;
  throw FieldError(name, "neither 1 nor 0");
}

}  // namespace garnethook::deployment_config
