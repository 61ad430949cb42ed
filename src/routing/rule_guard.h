/// Checks the platform's rules as invariants of a request whenever an attempt starts or a request ends. The
/// check sits between the routing policy and the sockets: an attempt or rejection that would violate a rule
/// is counted and not executed, whichever component requested it. Performs no I/O and reads no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "routing/endpoint_location.h"
#include "routing/engine_client.h"
#include "routing/execution_history.h"

namespace garnethook::routing {

/// A rule that was violated, or would have been.
enum class Violation {
  concurrentAttempt,                ///< An attempt while another one is in flight.
  attemptAfterCompletion,           ///< An attempt for a request that is completed or cancelled.
  retryOfNonIdempotent,             ///< A retry of a possibly executed, non-idempotent request.
  retryOutsideDeduplicationWindow,  ///< A retry after the time for which engines store its idempotency key.
  retryOutsideDeduplicationScope,   ///< A retry at an endpoint that does not have the first attempt's key.
  rejectionAfterExecution,          ///< A rejection, which states that nothing ran, after possible execution.
  lateCompletion,                   ///< A completion after the client's deadline and its slack.
  count_                            ///< Number of enumerators; not a violation.
};
/// Returns the name of a violation in logs.
std::string_view name(Violation violation);

/// State of a request before an attempt starts.
struct AttemptContext {
  const RequestClass& requestClass;                 ///< Class of the request.
  const ExecutionHistory& history;                  ///< Whether the request may have been executed.
  std::optional<EndpointLocation> firstExecutedAt;  ///< Location of the first possible execution.
  EndpointLocation target;                          ///< Location of the endpoint for the attempt.
  Phase phase = Phase::combined;                    ///< Phase that the attempt would run.
  bool isFinished = false;                          ///< The request is completed or cancelled.
  bool hasAttemptInFlight = false;                  ///< Another attempt is in flight.
  Micros now = 0;                                   ///< Current time on the monotonic clock.
};

/// Checks the rules and counts violations.
class RuleGuard {
 public:
  /// Returns the rule that the attempt would violate; none if the attempt is allowed.
  static std::optional<Violation> check(const AttemptContext& context);
  /// Returns whether a completion at `now` counts as late. `slack`: time after the deadline that the settings
  /// allow.
  static bool isLate(Micros now, Micros deadline, Micros slack) {
    return now > deadline + slack + kPlatformSlack;
  }

  /// Counts a violation.
  void record(Violation violation) { ++counts_[static_cast<std::size_t>(violation)]; }
  /// Number of violations of this kind.
  std::uint64_t count(Violation violation) const { return counts_[static_cast<std::size_t>(violation)]; }
  /// Number of all violations.
  std::uint64_t total() const;

 private:
  // Tolerance that the platform adds to every time limit, plus the time for which it may suspend a router.
  static constexpr Micros kPlatformSlack = 50'000 + 150'000;
  std::array<std::uint64_t, static_cast<std::size_t>(Violation::count_)> counts_{};
};

}  // namespace garnethook::routing
