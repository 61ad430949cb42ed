/// Log texts of the routing policy, which knows endpoints by number, made readable for people.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "policy/routing_policy.h"

namespace garnethook::routing {

/// `text` with the names of endpoints in place of their ids.
std::string withEndpointNames(std::string_view text, const std::function<std::string(EndpointId)>& nameOf);

}  // namespace garnethook::routing
