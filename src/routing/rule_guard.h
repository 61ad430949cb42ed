/// The platform's rules as invariants of one request, checked wherever an attempt begins or a request ends. A
/// guard between the routing policy and the sockets: what would break a rule is not done, whoever decided it,
/// and is counted. Free of I/O and clocks.
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

/// A rule that was broken, or would have been.
enum class Violation {
  concurrentAttempt,                ///< An attempt while another one is in flight.
  attemptAfterCompletion,           ///< An attempt for a request that was answered.
  retryOfNonIdempotent,             ///< A retry of work that may have run and may run only once.
  retryOutsideDeduplicationWindow,  ///< A retry after the time for which engines remember its key.
  retryOutsideDeduplicationScope,   ///< A retry at an endpoint that does not know the first attempt's key.
  rejectionAfterExecution,          ///< A rejection promises that nothing ran; something may have.
  lateCompletion,                   ///< A completion after the client's deadline and its slack.
  count_                            ///< Number of violations; not one itself.
};
/// The name of a violation in logs.
std::string_view name(Violation violation);

/// What a request has been through when a further attempt is to begin.
struct AttemptContext {
  const RequestClass& requestClass;                 ///< Class of the request.
  const ExecutionHistory& history;                  ///< Whether the request may have been executed.
  std::optional<EndpointLocation> firstExecutedAt;  ///< Where it first may have been executed.
  EndpointLocation target;                          ///< Where the attempt would go.
  Phase phase = Phase::combined;                    ///< What the attempt would do.
  bool isFinished = false;                          ///< The client has its completion, or has gone.
  bool hasAttemptInFlight = false;                  ///< Another attempt is in flight.
  Micros now = 0;                                   ///< Monotonic time.
};

/// Checks rules and counts violations.
class RuleGuard {
 public:
  /// The rule that the attempt would break; none where it may begin.
  static std::optional<Violation> check(const AttemptContext& context);
  /// Whether a completion comes too late to count. `slack`: what the settings allow after the deadline.
  static bool isLate(Micros now, Micros deadline, Micros slack) {
    return now > deadline + slack + kPlatformSlack;
  }

  /// Counts a violation.
  void record(Violation violation) { ++counts_[static_cast<std::size_t>(violation)]; }
  /// How often this rule was violated.
  std::uint64_t count(Violation violation) const { return counts_[static_cast<std::size_t>(violation)]; }
  /// How many violations there were.
  std::uint64_t total() const;

 private:
  // What the platform adds to every time limit, and the time for which it may suspend a router.
  static constexpr Micros kPlatformSlack = 50'000 + 150'000;
  std::array<std::uint64_t, static_cast<std::size_t>(Violation::count_)> counts_{};
};

}  // namespace garnethook::routing
