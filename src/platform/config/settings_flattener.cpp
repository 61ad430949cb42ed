#include "platform/config/settings_flattener.h"

#include <algorithm>
#include <utility>

namespace garnethook::platform {
namespace {

using nlohmann::json;

std::string toFieldText(const json& value) {
  if (!value.is_string()) return value.is_null() ? std::string() : value.dump();
  std::string text = value.get<std::string>();
  std::replace_if(
      text.begin(), text.end(), [](char character) { return character == ' ' || character == ','; }, '_');
  return text;
}

std::string childPath(const std::string& path, const std::string& key) {
  return path.empty() ? key : path + "." + key;
}

}  // namespace

void FlattenedSettings::addField(const std::string& path, std::string text) {
  texts_.push_back(path);
  const std::string& name = texts_.back();
  texts_.push_back(std::move(text));
  fields_.add(name, texts_.back());
}

void FlattenedSettings::addValue(const json& value, const std::string& path) {
  if (value.is_object()) {
    for (const auto& [key, member] : value.items()) addValue(member, childPath(path, key));
  } else if (value.is_array()) {
    addArray(value, path);
  } else if (!value.is_null()) {
    addField(path, toFieldText(value));
  }
}

void FlattenedSettings::addArray(const json& array, const std::string& path) {
  const bool isNested =
      std::any_of(array.begin(), array.end(), [](const json& item) { return item.is_structured(); });
  if (isNested) {
    addField(childPath(path, "count"), std::to_string(array.size()));
    for (std::size_t index = 0; index < array.size(); ++index)
      addValue(array[index], childPath(path, std::to_string(index)));
    return;
  }
  std::string joined;
  for (const auto& item : array) joined += (joined.empty() ? "" : ",") + toFieldText(item);
  addField(path, std::move(joined));
}

}  // namespace garnethook::platform
