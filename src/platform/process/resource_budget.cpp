#include "platform/process/resource_budget.h"

#include <algorithm>
#include <cstdint>

namespace garnethook::platform {
namespace {

constexpr std::size_t kReservedDescriptors = 24;
constexpr std::size_t kMinConnections = 8;
constexpr std::size_t kMinAuxiliaryConnections = 4;  // applies to closing and to control connections
constexpr std::size_t kAttemptPercent = 36;
constexpr std::size_t kControlPercent = 8;
constexpr std::size_t kClosingDivisor = 20;
// A body may briefly be in memory three times: as received, as stored and as forwarded.
constexpr std::uint64_t kBodyMemoryDivisor = 8;
constexpr std::uint64_t kMinBodyBytes = 1u << 20;

}  // namespace

ResourceBudget makeResourceBudget(const Limits& limits) {
  const std::size_t available = limits.descriptors > 2 * kReservedDescriptors
                                    ? limits.descriptors - kReservedDescriptors
                                    : limits.descriptors / 2;
  ResourceBudget budget;
  budget.clientConnections = std::max(kMinConnections, available / 2);
  budget.closingConnections = std::max(kMinAuxiliaryConnections, available / kClosingDivisor);
  budget.attemptConnections = std::max(kMinConnections, available * kAttemptPercent / 100);
  budget.controlConnections = std::max(kMinAuxiliaryConnections, available * kControlPercent / 100);
  budget.requestBodyBytes =
      static_cast<std::size_t>(std::max(kMinBodyBytes, limits.memoryBytes / kBodyMemoryDivisor));
  budget.unsentResponseBytes = budget.requestBodyBytes;
  return budget;
}

}  // namespace garnethook::platform
