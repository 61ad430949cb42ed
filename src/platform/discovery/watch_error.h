/// @file
/// Errors that end a watch session or invalidate one of its messages.
#pragma once

#include <cstdint>
#include <string>

namespace garnethook::platform {

/// Kind of failure.
enum class WatchErrorCode : std::uint8_t {
  connectionRefused,     ///< Discovery refused the connection.
  connectTimedOut,       ///< The connection was not established in time.
  resourcesUnavailable,  ///< This host lacks a descriptor, port or memory for a connection.
  connectionClosed,      ///< Discovery closed or reset the connection.
  malformedHttp,         ///< The data is not a valid HTTP response; the detail gives the reason.
  unexpectedStatus,      ///< The status of the response is not 200; the detail contains it.
  responseEnded,         ///< The response ended, although it is expected to stay open.
  messageTooLong,        ///< A list exceeds the maximum size.
  invalidMessage,        ///< A list is invalid; the detail may give the reason.
  silent,                ///< No data was received for longer than the keep-alive interval.
  messageTimedOut,       ///< A list started but was not completed in time.
};

/// One failure of a watch.
struct WatchError {
  WatchErrorCode code = WatchErrorCode::connectionClosed;  ///< Kind of failure.
  std::string detail{};                                    ///< Additional text for logs; may be empty.

  /// Returns the failure as text for logs.
  std::string message() const;
};

}  // namespace garnethook::platform
