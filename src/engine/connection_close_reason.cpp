#include "engine/connection_close_reason.h"

namespace garnethook::engine {

std::string_view name(ConnectionCloseReason reason) {
  switch (reason) {
    case ConnectionCloseReason::closedByEngine: return "closed-by-engine";
    case ConnectionCloseReason::announcedClose: return "announced-close";
    case ConnectionCloseReason::responseUnusable: return "response-unusable";
    case ConnectionCloseReason::requestNotWritten: return "request-not-written";
    case ConnectionCloseReason::unsolicitedInput: return "unsolicited-input";
    case ConnectionCloseReason::notEstablished: return "not-established";
    case ConnectionCloseReason::timedOut: return "timed-out";
    case ConnectionCloseReason::cancelled: return "cancelled";
    case ConnectionCloseReason::idleTimeout: return "idle-timeout";
    case ConnectionCloseReason::evicted: return "evicted";
    case ConnectionCloseReason::tooManyIdle: return "too-many-idle";
    case ConnectionCloseReason::endpointChanged: return "endpoint-changed";
    case ConnectionCloseReason::siblingBroken: return "sibling-broken";
    case ConnectionCloseReason::unreadInputOnReuse: return "unread-input-on-reuse";
  }
  return "unknown";
}

}  // namespace garnethook::engine
