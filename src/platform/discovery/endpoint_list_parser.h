/// @file
/// Parses discovery's endpoint lists. Each list is one JSON object: a snapshot of all endpoints or a delta.
/// The keys of discovery's protocol ("revision", "members", "host_port", "flavor", ...) are mapped here and
/// nowhere else. Performs no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "membership/endpoint_spec.h"

namespace garnethook::platform {

/// Kind of error in one entry of a list.
enum class EntryErrorCode {
  notAnObject,     ///< The entry is not a JSON object.
  missing,         ///< A required field is absent or null.
  notAString,      ///< The field is not a string.
  invalidLength,   ///< The string is too long, or empty although it is required.
  outOfRange,      ///< The field is not a number within its bounds.
  invalidAddress,  ///< The address is not HOST:PORT.
};

/// Error of an entry that cannot be used.
struct EntryError {
  EntryErrorCode code = EntryErrorCode::notAnObject;  ///< Kind of error.
  std::string field;   ///< Key of the field; empty if the entry is not an object.
  double maximum = 0;  ///< For `outOfRange`: the largest accepted number.

  /// Returns the error as text for logs.
  std::string message() const;
};

/// One parsed list from discovery.
struct EndpointListUpdate {
  std::int64_t version = 0;                         ///< Revision of the list.
  bool isComplete = false;                          ///< A snapshot of all endpoints; otherwise a delta.
  std::vector<membership::EndpointSpec> endpoints;  ///< Valid entries, in list order.
  std::vector<EntryError> errors;                   ///< Errors of the invalid entries, which are skipped.
};

/// Thrown for a text that is not an endpoint list; `what()` describes the reason.
class EndpointListError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Parses one list. Throws EndpointListError if the text is not an endpoint list.
EndpointListUpdate parseEndpointList(std::string_view text);

}  // namespace garnethook::platform
