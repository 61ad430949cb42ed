/// @file
/// Why the router closed a connection to an endpoint, or found it closed. Performs no I/O.
#pragma once

#include <cstdint>
#include <string_view>

#include "policy/routing_policy.h"

namespace garnethook::engine {

/// Why a connection to an endpoint was closed; written to the log.
enum class ConnectionCloseReason {
  closedByEngine,      ///< The engine closed or reset it.
  announcedClose,      ///< The response announced the close, or its body lasted until then.
  responseUnusable,    ///< The response was malformed, or an exchange did not want the rest of it.
  requestNotWritten,   ///< The response came before the whole request was written.
  unsolicitedInput,    ///< Bytes arrived that belong to no request.
  notEstablished,      ///< It was not established, or no request could be sent on it.
  timedOut,            ///< A control exchange had no response in time.
  cancelled,           ///< Its attempt was ended by the router.
  idleTimeout,         ///< It was idle for too long.
  evicted,             ///< It was idle when another connection needed its place.
  tooManyIdle,         ///< Its endpoint has enough idle connections, or is no longer listed.
  endpointChanged,     ///< Its endpoint left the list, moved or restarted.
  siblingBroken,       ///< A connection that had been idle for a shorter time was found broken.
  unreadInputOnReuse,  ///< It was to be reused, and had unread bytes or was closed.
};
/// The reason's name in the log.
std::string_view name(ConnectionCloseReason reason);

/// A connection to an endpoint that was closed.
struct ClosedConnection {
  EndpointId endpoint;                                                   ///< Its endpoint.
  ConnectionCloseReason reason = ConnectionCloseReason::closedByEngine;  ///< Why it was closed.
  Micros age = 0;                                                        ///< Time since it was opened.
  std::uint32_t exchanges = 0;                                           ///< Exchanges started on it.
};

}  // namespace garnethook::engine
