/// When engines started, on this process's own monotonic clock. Free of I/O and clocks.
///
/// Lists tell a start as Unix time, by a clock that need not agree with this machine's. What is certain: a
/// start was before the moment in which it was told. The smallest difference ever seen between the two maps
/// the list's clock to this process's, and is off by no more than the quickest telling took. This machine's
/// wall clock is asked for one thing only: a start in its future is no evidence for the others.
///
/// A start that is told while discovery is being heard is not older than the latest word before it: that word
/// would have told it. So no wrong clock, here or at an engine, makes a fresh engine an old one.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "membership/endpoint_list_file.h"

namespace garnethook::membership {

class StartTimes {
 public:
  /// Discovery said something, be it a sign of life, at this time.
  void heard(Micros now) { heardAt_ = now; }
  /// The entries with starts dated by the monotonic clock (0 stays: long ago). A start once dated keeps its
  /// date, but for those of a remembered list, which are dated anew by the first list that is told.
  /// `remembered`: the list is one from before, told by nobody now.
  EndpointMap date(const EndpointMap& entries, bool remembered, Micros now, Micros unixNow);
  /// What is kept of engines that `listed` lacks goes.
  void keepOnly(const EndpointMap& listed);

  /// A start further ahead of this machine's wall clock is no evidence.
  static constexpr Micros kMostAhead = 2'000'000;
  /// Discovery may tell a start so late while it tells other things.
  static constexpr Micros kToldLate = 2'000'000;

 private:
  struct Dated {
    Micros told = 0;  // as the list has it
    Micros at = 0;    // on the monotonic clock
    bool remembered = false;
  };
  void learn(const EndpointMap& entries, Micros now, Micros unixNow);
  Micros fresh(Micros told, bool remembered, Micros now) const;

  std::map<std::string, Dated> dates_;
  std::optional<Micros> offset_;  // monotonic less told time, the smallest seen
  std::optional<Micros> heardAt_;
};

}  // namespace garnethook::membership
