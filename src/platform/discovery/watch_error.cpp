#include "platform/discovery/watch_error.h"

#include <string_view>

namespace garnethook::platform {
namespace {

std::string_view describe(WatchErrorCode code) {
  switch (code) {
    case WatchErrorCode::connectionRefused: return "connection refused";
    case WatchErrorCode::connectTimedOut: return "connect timed out";
    case WatchErrorCode::resourcesUnavailable: return "this machine can't connect at the moment";
    case WatchErrorCode::connectionClosed: return "connection closed";
    case WatchErrorCode::malformedHttp: return "malformed HTTP";
    case WatchErrorCode::unexpectedStatus: return "unexpected status";
    case WatchErrorCode::responseEnded: return "the response ended";
    case WatchErrorCode::messageTooLong: return "a list is too long";
    case WatchErrorCode::invalidMessage: return "a list can't be used";
    case WatchErrorCode::silent: return "silent";
    case WatchErrorCode::messageTimedOut: return "a list did not end in time";
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
