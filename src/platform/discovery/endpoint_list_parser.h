/// Decodes discovery's lists: one JSON object each, a snapshot of all endpoints or a delta. The keys of the
/// operators' page ("revision", "members", "host_port", "flavor", ...) are translated here and nowhere else.
/// Free of I/O and clocks.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "membership/endpoint_spec.h"

namespace garnethook::platform {

/// What is wrong with one entry of a list.
enum class EntryErrorCode {
  notAnObject,     ///< The entry is no JSON object.
  missing,         ///< A required field is absent or null.
  notText,         ///< The field is not a string.
  badLength,       ///< The string is empty where it may not be, or too long.
  outOfRange,      ///< The field is no number within its bounds.
  invalidAddress,  ///< The address is not HOST:PORT.
};

/// An entry that cannot be used, and why.
struct EntryError {
  EntryErrorCode code = EntryErrorCode::notAnObject;  ///< The kind of error.
  std::string field;                                  ///< Key of the field; empty where the entry is none.
  double maximum = 0;                                 ///< `outOfRange`: the largest number that is accepted.

  /// The error as a text for logs.
  std::string message() const;
};

/// One list of discovery, decoded.
struct EndpointListUpdate {
  std::int64_t version = 0;                         ///< The list's revision.
  bool isComplete = false;                          ///< A snapshot of all endpoints; otherwise a delta.
  std::vector<membership::EndpointSpec> endpoints;  ///< The entries that can be used, in the list's order.
  std::vector<EntryError> errors;                   ///< The entries that cannot be used; they are left out.
};

/// The text is no list at all; `what()` says why.
class EndpointListError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Decodes one list. Throws EndpointListError where the text is no list.
EndpointListUpdate parseEndpointList(std::string_view text);

}  // namespace garnethook::platform
