#include "policy/initial_estimates.h"

#include <algorithm>
#include <limits>

#include "policy/decision_context.h"

namespace garnethook::policy {
namespace {

constexpr Micros kMinObjective = 1000;
constexpr double kFixedTimeShare = 0.02;  // of the smallest objective: fixed part of a prefill
// Where no class tells a time per token, a prompt of kTypicalPrompt tokens takes this share of the smallest
// objective.
constexpr double kTypicalPromptShare = 0.25;
constexpr double kTypicalPrompt = 4000;

EstimatedTime initialTimePerKiloToken(const Settings& settings) {
  EstimatedTime longest = EstimatedTime::zero();
  for (const RequestClass& requestClass : settings.classes)
    longest = std::max(longest, toEstimate(requestClass.ttftObjectivePerKiloToken));
  if (longest > EstimatedTime::zero()) return longest;
  return kTypicalPromptShare * smallestTtftObjective(settings) * 1000 / kTypicalPrompt;
}

}  // namespace

EstimatedTime smallestTtftObjective(const Settings& settings) {
  if (settings.classes.empty()) return toEstimate(kSecond);
  Micros smallest = std::numeric_limits<Micros>::max();
  for (const RequestClass& requestClass : settings.classes)
    smallest = std::min(smallest, std::max(requestClass.ttftObjective, kMinObjective));
  return toEstimate(smallest);
}

PrefillCostModel initialCostModel(const Settings& settings) {
  return {kFixedTimeShare * smallestTtftObjective(settings), initialTimePerKiloToken(settings)};
}

}  // namespace garnethook::policy
