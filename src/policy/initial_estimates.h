/// @file
/// Estimates that the policy starts with, derived from the settings alone.
#pragma once

#include "policy/prefill_cost_model.h"
#include "policy/settings.h"

namespace garnethook::policy {

/// Returns the smallest TTFT objective of all classes, the unit of many estimates; one second if there are no
/// classes.
EstimatedTime smallestTtftObjective(const Settings& settings);

/// Returns a cost model whose initial coefficients are derived from the TTFT objectives.
PrefillCostModel initialCostModel(const Settings& settings);

}  // namespace garnethook::policy
