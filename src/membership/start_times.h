/// When endpoints started, on this process's monotonic clock. Free of I/O and clocks.
///
/// Lists report a start as Unix time, by a clock that need not agree with this machine's. Two facts hold for
/// every pair of clocks. A start lies before the moment at which it was reported, so the smallest difference
/// ever seen between the two maps the list's clock to the monotonic one, with an error of at most the
/// shortest report delay. And a start that is reported while discovery is in contact is not older than the
/// contact before it, which would have reported it. So no wrong clock, here or at an endpoint, makes a fresh
/// endpoint an old one.
///
/// This machine's wall clock is used for one purpose only: a start in its future is no evidence for the
/// others.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "membership/endpoint_spec.h"
#include "timing/unix_time.h"

namespace garnethook::membership {

/// Maps reported start times to the monotonic clock and keeps what each endpoint's start was mapped to.
class StartTimes {
 public:
  /// Where a list comes from.
  enum class Source {
    discovery,     ///< Reported now.
    persistedCopy  ///< Read from a copy of an earlier process; nobody reports it now.
  };

  /// Discovery was in contact at `now`, be it by a heartbeat.
  void recordContact(Micros now) { lastContactAt_ = now; }
  /// The monotonic start time of each endpoint; 0: long ago. Once mapped, a start keeps its time, except for
  /// those of a persisted copy, which the first list from discovery maps anew.
  MonotonicStartTimes toMonotonic(const EndpointMap& endpoints, Source source, Micros now,
                                  timing::UnixTime wallNow);
  /// Forgets the endpoints that `listed` lacks.
  void retainOnly(const EndpointMap& listed);

  /// A start further ahead of this machine's wall clock than this is no evidence, in microseconds.
  static constexpr Micros kMaxClockLead = 2'000'000;
  /// Discovery may report a start this long after it while it reports other things, in microseconds.
  static constexpr Micros kMaxReportDelay = 2'000'000;

 private:
  struct MappedStart {
    timing::UnixTime reportedAt;
    Micros monotonicAt = 0;
    Source source = Source::discovery;
  };
  const MappedStart& mappedStart(const std::string& name, timing::UnixTime reportedAt, Source source,
                                 Micros now);
  void updateClockOffset(const EndpointMap& endpoints, Micros now, timing::UnixTime wallNow);
  Micros mapStart(timing::UnixTime reportedAt, Source source, Micros now) const;

  std::map<std::string, MappedStart> starts_;
  std::optional<Micros> clockOffset_;  // monotonic minus reported time, the smallest seen
  std::optional<Micros> lastContactAt_;
};

}  // namespace garnethook::membership
