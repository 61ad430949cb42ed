#include "provision/facts.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace garnethook::provision {

FactError::FactError(std::string_view field, std::string_view trouble)
    : std::runtime_error("field '" + std::string(field) + "': " + std::string(trouble)), field_(field) {}

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
    throw FactError(field, "not a number");
  return value;
}

std::uint64_t toWhole(std::string_view field, std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) throw FactError(field, "not a whole number");
  return value;
}

Micros toMicros(std::string_view field, double milliseconds) {
  constexpr double kLimit = 9e15;  // in milliseconds x 1000 still exact and far from overflow
  if (std::abs(milliseconds) > kLimit / 1000) throw FactError(field, "time out of range");
  return std::llround(milliseconds * 1000);
}

std::optional<std::string_view> Facts::find(std::string_view name) const {
  const auto at = values_.find(name);
  if (at == values_.end()) return std::nullopt;
  return at->second;
}

std::string_view Facts::text(std::string_view name) const {
  const auto value = find(name);
  if (!value) throw FactError(name, "missing");
  return *value;
}

std::uint64_t Facts::whole(std::string_view name, std::uint64_t absent) const {
  const auto value = find(name);
  return value ? toWhole(name, *value) : absent;
}

double Facts::number(std::string_view name, double absent) const {
  const auto value = find(name);
  return value ? toNumber(name, *value) : absent;
}

double Facts::amount(std::string_view name, double absent) const {
  const double value = number(name, absent);
  if (value < 0) throw FactError(name, "negative");
  return value;
}

Micros Facts::time(std::string_view name, Micros absent) const {
  const auto value = find(name);
  return value ? toMicros(name, toNumber(name, *value)) : absent;
}

bool Facts::flag(std::string_view name) const {
  const auto value = text(name, "0");
  if (value == "1" || value == "true") return true;
  if (value == "0" || value == "false") return false;
  throw FactError(name, "neither 1 nor 0");
}

int Facts::smallInt(std::string_view name) const {
  const auto value = whole(name);
  if (value > std::uint64_t{std::numeric_limits<int>::max()}) throw FactError(name, "too large");
  return static_cast<int>(value);
}

}  // namespace garnethook::provision
