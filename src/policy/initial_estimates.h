/// @file
/// What the policy expects before it has seen anything, from the settings alone.
#pragma once

#include "policy/prefill_cost_model.h"
#include "policy/settings.h"

namespace garnethook::policy {

/// The smallest TTFT objective of all classes, the unit of many estimates; one second without
/// classes.
EstimatedTime smallestTtftObjective(const Settings& settings);

/// A cost model that fits the objectives.
PrefillCostModel initialCostModel(const Settings& settings);

}  // namespace garnethook::policy
