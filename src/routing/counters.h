/// What a router has counted since it started.
#pragma once

#include <cstdint>
#include <map>

#include "routing/completion.h"

namespace garnethook::routing {

/// Numbers of requests, attempts and events.
struct Counters {
  std::uint64_t accepted = 0;       ///< Requests that came in.
  std::uint64_t completed = 0;      ///< Requests with a whole answer.
  std::uint64_t rejected = 0;       ///< Requests that were rejected.
  std::uint64_t failed = 0;         ///< Requests that failed.
  std::uint64_t cancelled = 0;      ///< Requests whose client went away first.
  std::uint64_t attempts = 0;       ///< Attempts that began.
  std::uint64_t tokens = 0;         ///< Tokens passed to clients.
  std::uint64_t lateEvents = 0;     ///< Events of attempts that were over.
  std::uint64_t failedActions = 0;  ///< Actions of the policy that threw when they were executed.
  std::map<FailureReason, std::uint64_t> failureReasons;  ///< Requests that were not completed, by reason.
  std::map<Outcome, std::uint64_t> outcomes;              ///< Attempts that ended, by outcome.
};

}  // namespace garnethook::routing
