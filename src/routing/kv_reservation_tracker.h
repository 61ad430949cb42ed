// States that readers hold, or may hold, for requests: who must be told to let go, when, and how often again.
// Free of I/O and clocks; tested in tests/state_test.cpp.
//
// A read leaves a state at its reader until a writer has fetched it. A read that was cancelled, or whose
// answer was lost, may have left one too: it counts as held. Rule 5 gives the time within which a state whose
// request has no attempt out must be used or let go. An attempt counts as out once it has reached an engine:
// while connections fail to come up the time runs on.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::routing {

class KvReservationTracker {
 public:
  struct Options {
    Micros kvReleaseTimeout = 500'000;  // rule 5
    int tries = 40;                     // of one release; then the reader's own time-out is relied on
    Micros pause = 100'000;      // before the second try; doubled up to half of releaseWithin, so that a
                                 // reader that can be reached again is told within that time
    bool sparesAwaited = false;  // a release leaves alone what a write at an engine waits for
  };
  struct Call {
    EndpointId endpoint;
    RequestId request;
  };
  explicit KvReservationTracker(const Options& options) : options_(options) {}

  // A read of the request went to the reader. A release of an earlier read of it there is not tried again: it
  // could let go of the new state.
  void readSent(RequestId request, EndpointId reader, Micros now);
  // The time of what earlier reads may have left is over while a read at the reader is out that may never
  // have arrived: the calls to be made now. At that reader there is one only where releases spare what is
  // awaited, and it is not tried again.
  std::vector<Call> releaseOthers(RequestId request, EndpointId reader, Micros now);
  // The read is known to have left nothing (the reader turned it away, or was never reached).
  void nothingLeft(RequestId request, EndpointId reader);
  // A writer has begun to answer: the fetched state's reader has let go by itself.
  void consumed(RequestId request, EndpointId reader);
  // An attempt of the request ended that had reached an engine: the time for what is held starts anew.
  void outcome(RequestId request, Micros now);
  // When what is held for the request has to be taken or let go, unless an attempt has reached an engine by
  // then; nothing where nothing is held.
  std::optional<Micros> dueBy(RequestId request) const;
  // The time of what is held is over while a write is out that may never have arrived. Where a release spares
  // what an attempt waits for, the calls to be made now; what it spared is held all the same.
  std::vector<Call> releaseInDoubt(RequestId request, Micros now);
  // The request needs its states no more: the calls to be made now.
  std::vector<Call> release(RequestId request, Micros now);
  // How a call ended. Failed ones are due again after the pause, up to the tries.
  void ended(const Call& call, bool ok, Micros now);
  // A reader is gone or was restarted: what it held is gone.
  void readerLost(EndpointId reader);
  // Calls that are due again by now.
  std::vector<Call> due(Micros now);

  // Whether anything of the request is held, or being let go of.
  bool knows(RequestId request) const;
  std::size_t held() const { return held_.size(); }        // not yet asked to let go
  std::size_t releasing() const { return calls_.size(); }  // asked, not yet confirmed
  std::uint64_t released() const { return released_; }
  std::uint64_t abandoned() const { return abandoned_; }  // given up after all tries
  Micros slowest() const { return slowest_; }             // longest time from the release's start to its end

 private:
  using Key = std::pair<RequestId, EndpointId>;
  struct Release {
    Micros since = 0;
    Micros again = 0;  // 0: a call is out
    int tries = 0;
  };
  Options options_;
  struct Held {
    Micros since = 0;      // for rule 5
    bool earlier = false;  // an earlier read of the request there may have left a state too
  };
  std::map<Key, Held> held_;
  std::map<Key, Release> calls_;
  std::uint64_t released_ = 0;
  std::uint64_t abandoned_ = 0;
  Micros slowest_ = 0;
};

}  // namespace garnethook::routing
