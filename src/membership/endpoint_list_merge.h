/// Merges a newly read list, some entries of which may be invalid, with the previous endpoints. Free of I/O.
#pragma once

#include <memory>
#include <vector>

#include "config/json_file.h"
#include "membership/endpoint_list_error.h"
#include "membership/endpoint_list_format.h"

namespace garnethook::membership {

/// Returns the endpoints of the parsed entries. An invalid entry, or a second one of the same name, is
/// reported in `errors`; for an invalid entry the endpoint of that name in `previous`, if any, stays in use.
EndpointMap mergeEntries(const std::vector<ParsedEndpoint>& entries, const EndpointMap& previous,
                         std::vector<EndpointListError>& errors);

/// Reads a whole list file and merges its entries with `previous`. Throws config::Error if the file is not an
/// endpoint list; the caller then keeps `previous`.
EndpointMap readEndpointList(const std::shared_ptr<const config::JsonFile>& file, const EndpointMap& previous,
                             std::vector<EndpointListError>& errors);

}  // namespace garnethook::membership
