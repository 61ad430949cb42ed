#include "policy/initial_estimates.h"

#include <algorithm>
#include <limits>

#include "policy/decision_context.h"

namespace garnethook::policy {
namespace {

constexpr Micros kMinTtftObjective = 1000;
constexpr double kFixedPrefillTimeShare = 0.02;  // of the smallest TTFT objective
// If no class has an objective per token, a prompt of kTypicalPromptTokens is assumed to take this share of
// the smallest TTFT objective.
constexpr double kTypicalPromptShare = 0.25;
constexpr double kTypicalPromptTokens = 4000;

EstimatedTime initialTimePerKiloToken(const Settings& settings) {
  EstimatedTime longest = EstimatedTime::zero();
  for (const RequestClass& requestClass : settings.classes)
    longest = std::max(longest, toEstimate(requestClass.ttftObjectivePerKiloToken));
  if (longest > EstimatedTime::zero()) return longest;
  return kTypicalPromptShare * smallestTtftObjective(settings) * 1000 / kTypicalPromptTokens;
}

}  // namespace

EstimatedTime smallestTtftObjective(const Settings& settings) {
  if (settings.classes.empty()) return toEstimate(kSecond);
  Micros smallest = std::numeric_limits<Micros>::max();
  for (const RequestClass& requestClass : settings.classes)
    smallest = std::min(smallest, std::max(requestClass.ttftObjective, kMinTtftObjective));
  return toEstimate(smallest);
}

PrefillCostModel initialCostModel(const Settings& settings) {
  return {kFixedPrefillTimeShare * smallestTtftObjective(settings), initialTimePerKiloToken(settings)};
}

}  // namespace garnethook::policy
