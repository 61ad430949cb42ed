/// @file
/// Validation of the settings when a policy is constructed.
#pragma once

#include "policy/settings.h"

namespace garnethook::policy {

/// Returns the settings as they are; throws std::invalid_argument, naming the setting, when they can't be
/// used.
Settings validated(const Settings& settings);

}  // namespace garnethook::policy
