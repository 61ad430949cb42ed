/// The JSON format of endpoint list files and of their persisted copies. Free of I/O.
///
///     { "engines": [ { "name", "address": "HOST:PORT", "kind", "zone", "cell", "state", "started_ms",
///                      "tokeniser": { "name", "version" } } ] }
///
/// "name", "address" and "kind" are required. "state" is running (default), draining or gone; "started_ms" is
/// Unix time in milliseconds.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/json_file.h"
#include "membership/endpoint_spec.h"

namespace garnethook::membership {

/// One entry of a list: its endpoint, or why it cannot be used.
struct ParsedEndpoint {
  config::Node node;                 ///< Where it stands in the file.
  std::string name;                  ///< Empty where the name itself cannot be read.
  std::optional<EndpointSpec> spec;  ///< None where the entry is invalid.
  std::string error;                 ///< Why it is invalid, with file, line and key.
};

/// Reads the entries of a list in the order of the file; faulty ones are marked. Throws config::Error where
/// there is no list of entries.
std::vector<ParsedEndpoint> parseEntries(const config::Node& root);

/// The text of a list file with these endpoints.
std::string serializeEndpointList(const EndpointMap& endpoints);

}  // namespace garnethook::membership
