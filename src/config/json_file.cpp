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

bool deeperThan(const json& value, unsigned levels) {
  if (!value.is_structured()) return false;
  if (levels == 0) return true;
  return std::any_of(value.begin(), value.end(),
                     [&](const json& item) { return deeperThan(item, levels - 1); });
}

// A pointer as people write it: "classes[0].aim_ms".
std::string readablePath(std::string_view pointer) {
  std::string out;
  while (!pointer.empty()) {
    pointer.remove_prefix(1);
    const auto end = pointer.find('/');
    const auto part = pointer.substr(0, end);
    const bool index =
        !part.empty() && std::all_of(part.begin(), part.end(), [](char c) { return c >= '0' && c <= '9'; });
    if (index)
      out += "[" + std::string(part) + "]";
    else
      out += (out.empty() ? "" : ".") + std::string(part);
    pointer.remove_prefix(std::min(end, pointer.size()));
  }
  return out.empty() ? "(file)" : out;
}

std::string formatNumber(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace

std::shared_ptr<const JsonFile> JsonFile::parse(std::string name, std::string_view text) {
  auto file = std::make_shared<JsonFile>();
  file->name_ = std::move(name);
  try {
    file->root_ = json::parse(text, nullptr, true, true);
  } catch (const json::parse_error& e) {
    const auto at = std::min<std::size_t>(e.byte, text.size());
    const auto line = 1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(at), '\n');
    std::string error = e.what();
    if (const auto colon = error.find("syntax error"); colon != std::string::npos) error.erase(0, colon);
    throw Error(file->name_ + ":" + std::to_string(line) + ": " + error);
  } catch (const json::exception& e) {
    // A number too large for a double is no syntax error to the library, which gives no position for it.
    throw Error(file->name_ + ":1: (file): " + e.what());
  }
  // The depth is taken from the parsed value, as comments in the text may contain anything. The library
  // parses without recursion; this check and the readers of the value recurse.
  if (deeperThan(file->root_, kMaxJsonDepth)) throw Error(file->name_ + ":1: (file): nested too deep");
  if (!file->root_.is_object()) throw Error(file->name_ + ":1: (file): an object is wanted");
  file->lines_ = indexLines(text);
  return file;
}

std::shared_ptr<const JsonFile> JsonFile::load(const std::string& path) {
  std::string text;
  try {
    text = readFileText(path);
  } catch (const std::system_error& e) {
    const std::string error = path + ": can't be read: " + e.code().message();
    if (isTransientError(e.code().value())) throw UnavailableError(error);
    throw Error(error);
  }
  return parse(path, text);
}

int JsonFile::line(const std::string& pointer) const {
  const auto at = lines_.find(pointer);
  return at == lines_.end() ? 1 : at->second;
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
  const bool present = value_->is_object() && value_->contains(key);
  throw Error(file_->name() + ":" + std::to_string(file_->line(present ? pointer : pointer_)) + ": " +
              readablePath(pointer) + ": " + std::string(error));
}

const json* Node::member(std::string_view key) const {
  if (value_->is_null()) return nullptr;
  if (!value_->is_object()) fail("an object is wanted");
  readKeys_->emplace(key);
  const auto at = value_->find(key);
  return at == value_->end() ? nullptr : &*at;
}

Node Node::child(std::string_view key, const json* value) const {
  static const json nothing;
  return {file_, value == nullptr ? &nothing : value, pointer_ + "/" + escapePointerToken(key)};
}

bool Node::has(std::string_view key) const { return member(key) != nullptr; }

Node Node::object(std::string_view key) const {
  const json* value = member(key);
  if (value != nullptr && !value->is_object()) failAt(key, "an object is wanted");
  return child(key, value);
}

std::vector<Node> Node::array(std::string_view key) const {
  const json* value = member(key);
  std::vector<Node> out;
  if (value == nullptr) return out;
  if (!value->is_array()) failAt(key, "an array is wanted");
  const Node list = child(key, value);
  for (std::size_t i = 0; i < value->size(); ++i) out.push_back(list.child(std::to_string(i), &(*value)[i]));
  return out;
}

std::string Node::text(std::string_view key) const {
  const json* value = member(key);
  if (value == nullptr) failAt(key, "is missing");
  if (!value->is_string()) failAt(key, "a text is wanted");
  if (value->get_ref<const std::string&>().empty()) failAt(key, "is empty");
  return value->get<std::string>();
}

std::string Node::text(std::string_view key, std::string fallback) const {
  const json* value = member(key);
  if (value == nullptr) return fallback;
  if (!value->is_string()) failAt(key, "a text is wanted");
  return value->get<std::string>();
}

bool Node::flag(std::string_view key, bool fallback) const {
  const json* value = member(key);
  if (value == nullptr) return fallback;
  if (!value->is_boolean()) failAt(key, "true or false is wanted");
  return value->get<bool>();
}

double Node::number(std::string_view key, double least, double most) const {
  if (member(key) == nullptr) failAt(key, "is missing");
  return number(key, least, least, most);
}

double Node::number(std::string_view key, double fallback, double least, double most) const {
  const json* value = member(key);
  if (value == nullptr) return fallback;
  if (!value->is_number()) failAt(key, "a number is wanted");
  const double number = value->get<double>();
  if (!(number >= least && number <= most))
    failAt(key,
           formatNumber(number) + " is not between " + formatNumber(least) + " and " + formatNumber(most));
  return number;
}

std::int64_t Node::integer(std::string_view key, std::int64_t fallback, std::int64_t least,
                           std::int64_t most) const {
  const json* value = member(key);
  if (value == nullptr) return fallback;
  if (!value->is_number_integer()) failAt(key, "a whole number is wanted");
  const auto number = value->get<std::int64_t>();
  if (number < least || number > most)
    failAt(key, std::to_string(number) + " is not between " + std::to_string(least) + " and " +
                    std::to_string(most));
  return number;
}

std::int64_t Node::micros(std::string_view keyMs, double fallbackMs, double leastMs, double mostMs) const {
  return std::llround(number(keyMs, fallbackMs, leastMs, mostMs) * 1000);
}

std::vector<std::string> Node::texts(std::string_view key) const {
  std::vector<std::string> out;
  for (const Node& item : array(key)) out.push_back(item.asText());
  return out;
}

std::string Node::asText() const {
  if (!value_->is_string()) fail("a text is wanted");
  return value_->get<std::string>();
}

std::size_t Node::choice(std::string_view key, const std::vector<std::string>& names,
                         std::size_t fallback) const {
  if (member(key) == nullptr) return fallback;
  const std::string name = text(key);
  const auto at = std::find(names.begin(), names.end(), name);
  if (at != names.end()) return static_cast<std::size_t>(at - names.begin());
  std::string all;
  for (const auto& n : names) all += (all.empty() ? "" : ", ") + n;
  failAt(key, "\"" + name + "\" is none of: " + all);
}

void Node::done() const {
  if (value_->is_null()) return;
  if (!value_->is_object()) fail("an object is wanted");
  for (const auto& [key, value] : value_->items())
    if (!readKeys_->contains(key)) failAt(key, "is not a setting");
}

}  // namespace garnethook::config
