/// Start times of endpoints on this process's monotonic clock. Free of I/O and clocks.
///
/// Lists report a start as Unix time, by a clock that need not agree with this machine's. Two facts apply to
/// every pair of clocks. First, an endpoint starts before its start is reported, so the smallest difference
/// observed between the two times maps the list's clock to the monotonic clock, with an error of at most the
/// shortest report delay. Second, a start that is reported while discovery is in contact is not older than
/// the previous contact, which would have reported it. An incorrect clock, on this machine or at an endpoint,
/// therefore never makes a recently started endpoint appear to have started long ago.
///
/// A mapped start is therefore an upper bound. It suits slow start, which must not end too early. It proves
/// of nothing that it happened before the start.
///
/// This machine's wall clock is used for one purpose only: a start in its future is not used to map the other
/// starts.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "membership/endpoint_spec.h"
#include "timing/unix_time.h"

namespace garnethook::membership {

/// Maps reported start times to the monotonic clock and stores the mapped start of each endpoint.
class StartTimes {
 public:
  /// The source of a list.
  enum class Source {
    discovery,     ///< Currently reported by discovery.
    persistedCopy  ///< Read from the copy of an earlier process; not currently reported.
  };

  /// Records that discovery was in contact at `now`; a heartbeat counts as contact.
  void recordContact(Micros now) { lastContactAt_ = now; }
  /// Returns the monotonic start time of each endpoint; 0 means long ago. A mapped start does not change,
  /// except that the first list from discovery remaps the starts of a persisted copy. An entry without a
  /// start time, and one with another start time, never move the start of a known endpoint to an earlier
  /// time.
  MonotonicStartTimes toMonotonic(const EndpointMap& endpoints, Source source, Micros now,
                                  timing::UnixTime wallNow);
  /// Limits the memory taken up by endpoints that are not in `listed`. Up to kMaxUnlisted of them are stored,
  /// since an endpoint that is missing from a list may return without a restart; beyond that, all are
  /// removed.
  void limitUnlisted(const EndpointMap& listed);
  /// Number of endpoints whose start is stored.
  std::size_t size() const { return starts_.size(); }

  /// A start further ahead of this machine's wall clock than this is not used to map others, in microseconds.
  static constexpr Micros kMaxClockLead = 2'000'000;
  /// Number of endpoints that are stored although they are not listed.
  static constexpr std::size_t kMaxUnlisted = 8192;
  /// Longest delay between a start and its report while discovery is in contact, in microseconds.
  static constexpr Micros kMaxReportDelay = 2'000'000;

 private:
  struct MappedStart {
    timing::UnixTime reportedAt;
    Micros monotonicAt = 0;
    Source source = Source::discovery;
  };
  Micros mappedStart(const std::string& name, timing::UnixTime reportedAt, Source source, Micros now);
  Micros latestKnownStart(const std::string& name) const;
  void updateClockOffset(const EndpointMap& endpoints, Micros now, timing::UnixTime wallNow);
  Micros mapStart(timing::UnixTime reportedAt, Source source, Micros now) const;

  std::map<std::string, MappedStart> starts_;
  std::optional<Micros> clockOffset_;  // monotonic minus reported time, the smallest observed
  std::optional<Micros> lastContactAt_;
};

}  // namespace garnethook::membership
