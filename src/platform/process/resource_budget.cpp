#include "platform/process/resource_budget.h"

#include <algorithm>
#include <cstdint>

namespace garnethook::platform {
namespace {

constexpr std::size_t kOwnDescriptors = 24;
constexpr std::size_t kMinConnections = 8;
constexpr std::size_t kMinMinorConnections = 4;  // of closing and of control connections
constexpr std::size_t kAttemptPercent = 36;
constexpr std::size_t kControlPercent = 8;
constexpr std::size_t kClosingFraction = 20;  // one in this many
// A body is in memory up to three times for a moment: as received, as kept, as sent on.
constexpr std::uint64_t kBodyMemoryFraction = 8;
constexpr std::uint64_t kMinBodyBytes = 1u << 20;

}  // namespace

ResourceBudget divideLimits(const Limits& limits) {
  const std::size_t available = limits.descriptors > 2 * kOwnDescriptors
                                    ? limits.descriptors - kOwnDescriptors
                                    : limits.descriptors / 2;
  ResourceBudget budget;
  budget.clientConnections = std::max(kMinConnections, available / 2);
  budget.closingConnections = std::max(kMinMinorConnections, available / kClosingFraction);
  budget.attemptConnections = std::max(kMinConnections, available * kAttemptPercent / 100);
  budget.controlConnections = std::max(kMinMinorConnections, available * kControlPercent / 100);
  budget.requestBodyBytes =
      static_cast<std::size_t>(std::max(kMinBodyBytes, limits.memoryBytes / kBodyMemoryFraction));
  return budget;
}

}  // namespace garnethook::platform
