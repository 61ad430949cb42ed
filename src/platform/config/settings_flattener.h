/// Translates the `settings` object of the configuration file into the flat fields of the simulator's wire,
/// so that one reader serves both. Free of I/O.
#pragma once

#include <deque>
#include <nlohmann/json.hpp>
#include <string>

#include "deployment_config/field_reader.h"

namespace garnethook::platform {

/// The fields of one settings object: `a.b.2.c` for nested values; lists of plain values joined by commas;
/// blanks and commas inside strings replaced by underscores, as the wire writes them.
class FlattenedSettings {
 public:
  /// Flattens the object; it is not referred to afterwards.
  explicit FlattenedSettings(const nlohmann::json& root) { addValue(root, ""); }
  FlattenedSettings(const FlattenedSettings&) = delete;
  FlattenedSettings& operator=(const FlattenedSettings&) = delete;

  /// The fields; valid for as long as this object.
  const deployment_config::FieldReader& fields() const { return fields_; }

 private:
  void addField(const std::string& path, std::string text);
  void addValue(const nlohmann::json& value, const std::string& path);
  void addArray(const nlohmann::json& array, const std::string& path);

  std::deque<std::string> texts_;  // names and values that `fields_` refers to; a deque keeps them in place
  deployment_config::FieldReader fields_;
};

}  // namespace garnethook::platform
