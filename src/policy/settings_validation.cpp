// Rejects settings that can't be worked with, naming the setting. Nothing is decided here.
#include "policy/settings_validation.h"

#include <stdexcept>

namespace garnethook {
namespace {

void require(bool holds, const char* error) {
  if (!holds) throw std::invalid_argument(error);
}

}  // namespace

Settings checked(const Settings& s) {
  require(!s.kinds.empty(), "kinds: at least one kind of server is needed");
  require(s.routers >= 1, "routers: at least 1");
  require(s.ownZone < s.zones, "ownZone: not among the zones");
  require(s.maxAttempts >= 1, "maxAttempts: at least 1");
  require(s.kvReleaseTimeout >= 0, "releaseWithin: negative");
  require(s.maxRetryAfter >= 0, "maxRetryAfter: negative");
  require(s.warmUpMinCapacity >= 0 && s.warmUpMinCapacity <= 1, "coldFrom: not between 0 and 1");
  require(s.warmUpDuration >= 0 && s.overloadWindow >= 0, "warmWithin or fallAfter: negative");
  require(s.overloadMultiple >= 0, "fallMultiple: negative");
  for (const auto& k : s.kinds) require(k.memoryTokens >= 0, "kinds.memoryTokens: negative");
  for (const auto& c : s.classes) {
    require(c.ttftObjective >= 0 && c.ttftObjectivePerKiloToken >= 0,
            "classes.aim or aimPerKiloToken: negative");
    require(c.idempotency != Idempotency::idempotentWithKey || c.deduplicationWindow >= 0,
            "classes.repeatWindow: negative");
  }
  return s;
}

}  // namespace garnethook
