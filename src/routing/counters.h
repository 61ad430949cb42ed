/// Counters of a router since its start.
#pragma once

#include <cstdint>
#include <map>

#include "routing/completion.h"

namespace garnethook::routing {

/// Numbers of requests, attempts and events.
struct Counters {
  std::uint64_t accepted = 0;       ///< Requests that arrived.
  std::uint64_t completed = 0;      ///< Requests with a complete response.
  std::uint64_t rejected = 0;       ///< Requests that were rejected.
  std::uint64_t failed = 0;         ///< Requests that failed.
  std::uint64_t cancelled = 0;      ///< Requests whose client disconnected or cancelled first.
  std::uint64_t attempts = 0;       ///< Attempts that started.
  std::uint64_t tokens = 0;         ///< Tokens passed to clients.
  std::uint64_t lateEvents = 0;     ///< Events of attempts that had already ended.
  std::uint64_t failedActions = 0;  ///< Actions of the policy and release calls that threw.
  std::map<FailureReason, std::uint64_t> failureReasons;  ///< Requests that were not completed, by reason.
  std::map<Outcome, std::uint64_t> outcomes;              ///< Attempts that ended, by outcome.
};

}  // namespace garnethook::routing
