#include "platform/discovery/watch_error.h"

#include <string_view>

namespace garnethook::platform {
namespace {

std::string_view describe(WatchErrorCode code) {
  switch (code) {
    case WatchErrorCode::connectionRefused: return "connection refused";
    case WatchErrorCode::connectTimedOut: return "connect timed out";
    case WatchErrorCode::resourcesUnavailable: return "no local descriptor, port or memory available";
    case WatchErrorCode::connectionClosed: return "connection closed";
    case WatchErrorCode::malformedHttp: return "malformed HTTP";
    case WatchErrorCode::unexpectedStatus: return "unexpected status";
    case WatchErrorCode::responseEnded: return "response ended unexpectedly";
    case WatchErrorCode::messageTooLong: return "list exceeds the maximum size";
    case WatchErrorCode::invalidMessage: return "invalid list";
    case WatchErrorCode::silent: return "silent";
    case WatchErrorCode::messageTimedOut: return "list not completed in time";
  }
  return "unknown error";
}

}  // namespace

std::string WatchError::message() const {
  std::string text(describe(code));
  if (!detail.empty()) text += ": " + detail;
  return text;
}

}  // namespace garnethook::platform
