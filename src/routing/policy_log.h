/// Makes log texts of the routing policy, which identifies endpoints by number, readable for operators.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "policy/routing_policy.h"

namespace garnethook::routing {

/// Returns `text` with each endpoint id replaced by the endpoint's name.
std::string withEndpointNames(std::string_view text, const std::function<std::string(EndpointId)>& nameOf);

}  // namespace garnethook::routing
