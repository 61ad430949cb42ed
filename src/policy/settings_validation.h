// Check of the settings at construction.
#pragma once

#include "policy/routing_policy.h"

namespace garnethook {

// The settings as they came; throws std::invalid_argument, naming the setting, where they can't be worked
// with.
Settings checked(const Settings& settings);

}  // namespace garnethook
