/// Converts the `settings` object of the configuration file to the flat fields of the simulator's wire
/// format, so that one reader handles both. Free of I/O.
#pragma once

#include <deque>
#include <nlohmann/json.hpp>
#include <string>

#include "deployment_config/field_reader.h"

namespace garnethook::platform {

/// The fields of one settings object. Nested values have names such as `a.b.2.c`, lists of scalar values are
/// joined by commas, and spaces and commas in strings are replaced by underscores, as in the wire format.
class FlattenedSettings {
 public:
  /// Flattens the object, which need not outlive the constructor call.
  explicit FlattenedSettings(const nlohmann::json& root) { addValue(root, ""); }
  FlattenedSettings(const FlattenedSettings&) = delete;
  FlattenedSettings& operator=(const FlattenedSettings&) = delete;

  /// The fields; valid for the lifetime of this object.
  const deployment_config::FieldReader& fields() const { return fields_; }

 private:
  void addField(const std::string& path, std::string text);
  void addValue(const nlohmann::json& value, const std::string& path);
  void addArray(const nlohmann::json& array, const std::string& path);

  std::deque<std::string> texts_;  // backs the views in `fields_`; a deque keeps its elements in place
  deployment_config::FieldReader fields_;
};

}  // namespace garnethook::platform
