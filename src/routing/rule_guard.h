/// The rules of the platform as invariants of one request, asked at the only places where an attempt begins
/// or a request ends. A guard between the decision module and the sockets: what would break a rule is not
/// carried out, and is counted, whoever asked for it. Free of I/O and clocks.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "routing/execution_history.h"
#include "routing/types.h"

namespace garnethook::routing {

enum class Violation {
  concurrentAttempt,                ///< An attempt while another one is out.
  attemptAfterCompletion,           ///< An attempt for a request that was answered.
  retryOfNonIdempotent,             ///< A further attempt of work that may have run and may run only once.
  retryOutsideDeduplicationWindow,  ///< A repeat of keyed work behind the time for which engines remember it.
  retryOutsideDeduplicationScope,   ///< A repeat of keyed work at an engine that does not know its first try.
  rejectionAfterExecution,          ///< A refusal promises that nothing ran; something may have.
  lateCompletion,                   ///< A final answer behind the client's deadline and its slack.
  count_
};
std::string_view name(Violation violation);

/// Where an engine stands, as far as repeats of keyed work are concerned.
struct EndpointLocation {
  std::optional<std::size_t> zone;
  std::uint64_t cell = 0;
  friend bool operator==(const EndpointLocation&, const EndpointLocation&) = default;
};

/// What a request has been through when a further attempt is to begin.
struct AttemptQuestion {
  const RequestClass& requestClass;
  const ExecutionHistory& exposure;
  std::optional<EndpointLocation> firstPlace;  ///< Of the first attempt that may have run.
  EndpointLocation target;
  Phase phase = Phase::combined;
  bool answered = false;
  bool attemptOut = false;
  Micros now = 0;
};

class RuleGuard {
 public:
  /// The rule that the attempt would break; nothing where it may begin.
  static std::optional<Violation> judge(const AttemptQuestion& question);
  /// Whether a final answer comes too late to count: `slack` is what the settings give behind the deadline.
  static bool late(Micros now, Micros deadline, Micros slack) { return now > deadline + slack + kSlack; }

  void count(Violation violation) { ++counts_[static_cast<std::size_t>(violation)]; }
  std::uint64_t counted(Violation violation) const { return counts_[static_cast<std::size_t>(violation)]; }
  std::uint64_t all() const;

 private:
  // What the platform adds to every time limit, and the time for which it may hold a router up.
  static constexpr Micros kSlack = 50'000 + 150'000;
  std::array<std::uint64_t, static_cast<std::size_t>(Violation::count_)> counts_{};
};

}  // namespace garnethook::routing
