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

double initialTimePerKiloToken(const Settings& settings) {
  double longest = 0;
  for (const RequestClass& requestClass : settings.classes)
    longest = std::max(longest, asDouble(requestClass.ttftObjectivePerKiloToken));
  if (longest > 0) return longest;
  return kTypicalPromptShare * smallestTtftObjective(settings) * 1000 / kTypicalPrompt;
}

}  // namespace

double smallestTtftObjective(const Settings& settings) {
  if (settings.classes.empty()) return asDouble(kSecond);
  Micros smallest = std::numeric_limits<Micros>::max();
  for (const RequestClass& requestClass : settings.classes)
    smallest = std::min(smallest, std::max(requestClass.ttftObjective, kMinObjective));
  return asDouble(smallest);
}

PrefillCostModel initialCostModel(const Settings& settings) {
  return {kFixedTimeShare * smallestTtftObjective(settings), initialTimePerKiloToken(settings)};
}

}  // namespace garnethook::policy
