#include "config/json_file.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <system_error>

#include "config/file_text.h"
#include "config/json_depth.h"
#include "config/json_line_index.h"

namespace garnethook::config {
namespace {

using nlohmann::json;

bool isNestedDeeperThan(const json& value, unsigned levels) {
  if (!value.is_structured()) return false;
  if (levels == 0) return true;
  return std::any_of(value.begin(), value.end(),
                     [&](const json& item) { return isNestedDeeperThan(item, levels - 1); });
}

// Converts a JSON pointer to the notation of error messages, such as "classes[0].aim_ms".
std::string readablePath(std::string_view pointer) {
  std::string readable;
  while (!pointer.empty()) {
    pointer.remove_prefix(1);
    const auto end = pointer.find('/');
    const auto token = pointer.substr(0, end);
    const bool isIndex = !token.empty() && std::all_of(token.begin(), token.end(), [](char digit) {
      return digit >= '0' && digit <= '9';
    });
    if (isIndex)
      readable += "[" + std::string(token) + "]";
    else
      readable += (readable.empty() ? "" : ".") + std::string(token);
    pointer.remove_prefix(std::min(end, pointer.size()));
  }
  return readable.empty() ? "(file)" : readable;
}

std::string formatNumber(double value) {
  std::ostringstream stream;
  stream << value;
  return stream.str();
}

}  // namespace

std::shared_ptr<const JsonFile> JsonFile::parse(std::string name, std::string_view text) {
  auto file = std::make_shared<JsonFile>();
  file->name_ = std::move(name);
  try {
    file->root_ = json::parse(text, nullptr, true, true);
  } catch (const json::parse_error& failure) {
    const auto offset = std::min<std::size_t>(failure.byte, text.size());
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(offset), '\n');
    std::string error = failure.what();
    if (const auto colon = error.find("syntax error"); colon != std::string::npos) error.erase(0, colon);
    throw Error(file->name_ + ":" + std::to_string(line) + ": " + error);
  } catch (const json::exception& failure) {
    // The library does not treat a number too large for a double as a syntax error and reports no position
    // for it.
    throw Error(file->name_ + ":1: (file): " + failure.what());
  }
  // The depth is determined from the parsed value, since comments in the text may contain brackets. The
  // library parses without recursion, but this check and the readers of the value recurse.
  if (isNestedDeeperThan(file->root_, kMaxJsonDepth))
    throw Error(file->name_ + ":1: (file): nested too deep");
  if (!file->root_.is_object()) throw Error(file->name_ + ":1: (file): expected an object");
  file->lines_ = indexLines(text);
  return file;
}

std::shared_ptr<const JsonFile> JsonFile::load(const std::string& path) {
  std::string text;
  try {
    text = readFileText(path);
  } catch (const std::system_error& failure) {
    const std::string error = path + ": can't be read: " + failure.code().message();
    if (isTransientError(failure.code().value())) throw UnavailableError(error);
    throw Error(error);
  }
  return parse(path, text);
}

int JsonFile::line(const std::string& pointer) const {
  const auto found = lines_.find(pointer);
  return found == lines_.end() ? 1 : found->second;
}

Node::Node(const std::shared_ptr<const JsonFile>& file) : Node(file, &file->root(), "") {}

Node::Node(std::shared_ptr<const JsonFile> file, const json* value, std::string pointer)
    : file_(std::move(file)),
      value_(value),
      pointer_(std::move(pointer)),
      readKeys_(std::make_shared<std::set<std::string, std::less<>>>()) {}

void Node::fail(std::string_view error) const {
  throw Error(file_->name() + ":" + std::to_string(file_->line(pointer_)) + ": " + readablePath(pointer_) +
              ": " + std::string(error));
}

void Node::failAt(std::string_view key, std::string_view error) const {
  const std::string pointer = pointer_ + "/" + escapePointerToken(key);
  const bool isPresent = value_->is_object() && value_->contains(key);
  throw Error(file_->name() + ":" + std::to_string(file_->line(isPresent ? pointer : pointer_)) + ": " +
              readablePath(pointer) + ": " + std::string(error));
}

const json* Node::member(std::string_view key) const {
  if (value_->is_null()) return nullptr;
  if (!value_->is_object()) fail("expected an object");
  readKeys_->emplace(key);
  const auto found = value_->find(key);
  return found == value_->end() ? nullptr : &*found;
}

Node Node::child(std::string_view key, const json* value) const {
  static const json null;
  return {file_, value == nullptr ? &null : value, pointer_ + "/" + escapePointerToken(key)};
}

bool Node::has(std::string_view key) const { return member(key) != nullptr; }

Node Node::object(std::string_view key) const {
  const json* value = member(key);
  if (value != nullptr && !value->is_object()) failAt(key, "expected an object");
  return child(key, value);
}

std::vector<Node> Node::array(std::string_view key) const {
  const json* value = member(key);
  std::vector<Node> nodes;
  if (value == nullptr) return nodes;
  if (!value->is_array()) failAt(key, "expected an array");
  const Node list = child(key, value);
  for (std::size_t i = 0; i < value->size(); ++i)
    nodes.push_back(list.child(std::to_string(i), &(*value)[i]));
  return nodes;
}

std::string Node::text(std::string_view key) const {
  const json* value = member(key);
  if (value == nullptr) failAt(key, "is missing");
  if (!value->is_string()) failAt(key, "expected a string");
  if (value->get_ref<const std::string&>().empty()) failAt(key, "is empty");
  return value->get<std::string>();
}

std::string Node::text(std::string_view key, std::string fallback) const {
  const json* value = member(key);
  if (value == nullptr) return fallback;
  if (!value->is_string()) failAt(key, "expected a string");
  return value->get<std::string>();
}

bool Node::flag(std::string_view key, bool fallback) const {
  const json* value = member(key);
  if (value == nullptr) return fallback;
  if (!value->is_boolean()) failAt(key, "expected true or false");
  return value->get<bool>();
}

double Node::number(std::string_view key, double minimum, double maximum) const {
  if (member(key) == nullptr) failAt(key, "is missing");
  return number(key, minimum, minimum, maximum);
}

double Node::number(std::string_view key, double fallback, double minimum, double maximum) const {
  const json* value = member(key);
  if (value == nullptr) return fallback;
  if (!value->is_number()) failAt(key, "expected a number");
  const double number = value->get<double>();
  if (!(number >= minimum && number <= maximum))
    failAt(key, formatNumber(number) + " is not between " + formatNumber(minimum) + " and " +
                    formatNumber(maximum));
  return number;
}

std::int64_t Node::integer(std::string_view key, std::int64_t fallback, std::int64_t minimum,
                           std::int64_t maximum) const {
  const json* value = member(key);
  if (value == nullptr) return fallback;
  if (!value->is_number_integer()) failAt(key, "expected an integer");
  const auto number = value->get<std::int64_t>();
  if (number < minimum || number > maximum)
    failAt(key, std::to_string(number) + " is not between " + std::to_string(minimum) + " and " +
                    std::to_string(maximum));
  return number;
}

std::int64_t Node::micros(std::string_view keyMs, double fallbackMs, double minimumMs,
                          double maximumMs) const {
  return std::llround(number(keyMs, fallbackMs, minimumMs, maximumMs) * 1000);
}

std::vector<std::string> Node::texts(std::string_view key) const {
  std::vector<std::string> strings;
  for (const Node& item : array(key)) strings.push_back(item.asText());
  return strings;
}

std::string Node::asText() const {
  if (!value_->is_string()) fail("expected a string");
  return value_->get<std::string>();
}

std::size_t Node::choice(std::string_view key, const std::vector<std::string>& names,
                         std::size_t fallback) const {
  if (member(key) == nullptr) return fallback;
  const std::string name = text(key);
  const auto found = std::find(names.begin(), names.end(), name);
  if (found != names.end()) return static_cast<std::size_t>(found - names.begin());
  std::string validNames;
  for (const auto& validName : names) validNames += (validNames.empty() ? "" : ", ") + validName;
  failAt(key, "\"" + name + "\" is none of: " + validNames);
}

void Node::done() const {
  if (value_->is_null()) return;
  if (!value_->is_object()) fail("expected an object");
  for (const auto& [key, value] : value_->items())
    if (!readKeys_->contains(key)) failAt(key, "is not a setting");
}

}  // namespace garnethook::config
