/// What can end a watch of discovery, or make one of its messages useless.
#pragma once

#include <cstdint>
#include <string>

namespace garnethook::platform {

/// The kind of failure.
enum class WatchErrorCode : std::uint8_t {
  connectionRefused,     ///< Discovery refused the connection.
  connectTimedOut,       ///< The connection did not come up in time.
  resourcesUnavailable,  ///< This machine cannot connect at the moment: no descriptor, port or memory.
  connectionClosed,      ///< Discovery closed or reset the connection.
  malformedHttp,         ///< What came is no HTTP response; the detail says why.
  unexpectedStatus,      ///< The response has another status than 200; the detail names it.
  responseEnded,         ///< The response, which should never end, ended.
  messageTooLong,        ///< A list is longer than the bound.
  invalidMessage,        ///< A list cannot be used; the detail may say why.
  silent,                ///< No byte came for longer than the keep-alive interval.
  messageTimedOut,       ///< A list began and did not end in time.
};

/// One failure of a watch.
struct WatchError {
  WatchErrorCode code = WatchErrorCode::connectionClosed;  ///< The kind of failure.
  std::string detail{};                                    ///< Further text for logs; may be empty.

  /// The failure as a text for logs.
  std::string message() const;
};

}  // namespace garnethook::platform
