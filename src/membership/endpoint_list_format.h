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

/// One entry of a list: its endpoint, or the error that makes it invalid.
struct ParsedEndpoint {
  config::Node node;                 ///< Its position in the file.
  std::string name;                  ///< Empty if the name itself is invalid.
  std::optional<EndpointSpec> spec;  ///< Not set if the entry is invalid.
  std::string error;                 ///< The error, with file, line and key; empty if the entry is valid.
};

/// Parses the entries of a list in file order; invalid entries carry their error. Throws config::Error if
/// there is no list of entries.
std::vector<ParsedEndpoint> parseEntries(const config::Node& root);

/// Returns the text of a list file with these endpoints.
std::string serializeEndpointList(const EndpointMap& endpoints);

}  // namespace garnethook::membership
