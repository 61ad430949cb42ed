#include "policy/settings_validation.h"

#include <stdexcept>

namespace garnethook::policy {
namespace {

// Messages name the setting and, in parentheses, the key in the operator's configuration where it differs.
void require(bool condition, const char* message) {
  if (!condition) throw std::invalid_argument(message);
}

void validateClass(const RequestClass& requestClass) {
  require(requestClass.ttftObjective >= 0 && requestClass.ttftObjectivePerKiloToken >= 0,
          "classes.ttftObjective (aim) or ttftObjectivePerKiloToken (aimPerKiloToken): negative");
  require(requestClass.idempotency != Idempotency::idempotentWithKey || requestClass.deduplicationWindow >= 0,
          "classes.deduplicationWindow (repeatWindow): negative");
}

}  // namespace

Settings validated(const Settings& settings) {
  require(!settings.kinds.empty(), "kinds: at least one kind of endpoint is needed");
  require(settings.routers >= 1, "routers: at least 1");
  require(settings.ownZone < settings.zones, "ownZone: not among the zones");
  require(settings.maxAttempts >= 1, "maxAttempts: at least 1");
  require(settings.maxUncountedRejections >= 0, "maxUncountedRejections: not negative");
  require(settings.kvReleaseTimeout >= 0, "kvReleaseTimeout (releaseWithin): negative");
  require(settings.maxRetryAfter >= 0, "maxRetryAfter: negative");
  require(settings.warmUpMinCapacity >= 0 && settings.warmUpMinCapacity <= 1,
          "warmUpMinCapacity (coldFrom): not between 0 and 1");
  require(settings.warmUpDuration >= 0 && settings.overloadWindow >= 0,
          "warmUpDuration (warmWithin) or overloadWindow (fallAfter): negative");
  require(settings.overloadMultiple >= 0, "overloadMultiple (fallMultiple): negative");
  for (const EndpointKind& kind : settings.kinds)
    require(kind.memoryTokens >= 0, "kinds.memoryTokens: negative");
  for (const RequestClass& requestClass : settings.classes) validateClass(requestClass);
  return settings;
}

}  // namespace garnethook::policy
