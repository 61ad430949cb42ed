/// Which endpoints hold after a list was read, where some of its entries may be faulty. Free of I/O.
#pragma once

#include <memory>
#include <vector>

#include "config/json_file.h"
#include "membership/endpoint_list_error.h"
#include "membership/endpoint_list_format.h"

namespace garnethook::membership {

/// The endpoints of the parsed entries. A faulty entry, or a second one of the same name, is reported in
/// `errors`; the former keeps what `previous` has under its name.
EndpointMap mergeEntries(const std::vector<ParsedEndpoint>& entries, const EndpointMap& previous,
                         std::vector<EndpointListError>& errors);

/// Reads a whole list file: its entries, merged with `previous`. Throws config::Error where the file is not
/// an endpoint list; `previous` holds on then.
EndpointMap readEndpointList(const std::shared_ptr<const config::JsonFile>& file, const EndpointMap& previous,
                             std::vector<EndpointListError>& errors);

}  // namespace garnethook::membership
