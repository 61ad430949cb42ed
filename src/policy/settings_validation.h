/// @file
/// Validation of the settings of a policy.
#pragma once

#include "policy/settings.h"

namespace garnethook::policy {

/// Returns the settings unchanged; throws std::invalid_argument, with the name of the setting, if one is
/// invalid.
Settings validated(const Settings& settings);

}  // namespace garnethook::policy
