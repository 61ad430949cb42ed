/// Why a client's connection ended. Free of I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace garnethook::platform {

enum class CloseReason {
  clientClosed,  ///< The client closed or reset it.
  answeredLast,  ///< Behind an answer that announced the end.
  streamBroken,  ///< A stream broke off: its client is told by the missing last chunk.
  draining,      ///< It rested as the router drains.
  idle,          ///< It rested too long.
  evicted,       ///< It rested, and another needed its room.
  tooSlow,       ///< No whole request in time.
  badRequest,    ///< Behind an error that says the request is at fault.
  full,          ///< Behind a refusal, as the bodies of open requests fill their memory.
  flooded,       ///< Behind the answers to what was kept of a flood.
  unreadAnswer,  ///< The client does not read what is sent.
  stopped,       ///< The front itself ended.
  count_
};

inline std::string_view name(CloseReason reason) {
  constexpr std::array<std::string_view, static_cast<std::size_t>(CloseReason::count_)> kNames{
      "client-closed", "answered-last", "stream-broken", "draining", "idle",          "evicted",
      "too-slow",      "bad-request",   "full",          "flooded",  "unread-answer", "stopped"};
  return kNames[static_cast<std::size_t>(reason)];
}

/// Whether an end for this reason may leave an open request without any answer: only where its client is
/// gone, or does not read.
inline bool mayLeaveUnanswered(CloseReason reason) {
  return reason == CloseReason::clientClosed || reason == CloseReason::unreadAnswer ||
         reason == CloseReason::stopped;
}

}  // namespace garnethook::platform
