// Rule 2 for endings that the router itself gives: a refusal promises that a repeat does no harm.
#pragma once

#include <utility>

#include "routing/types.h"

namespace garnethook::routing {

// What may have happened to a request so far.
struct Exposure {
  bool mayHaveRun = false;  // an attempt to answer it is out, or ended without proof that it never ran
  Micros since = 0;         // when the first of those that ended so was sent

  void note(Micros sentAt) {
    if (!std::exchange(mayHaveRun, true)) since = sentAt;
  }
};

// Until when a further attempt may be sent: engines remember keyed work for a while only, and run it twice
// after that. 0: any time.
inline Micros repeatUntil(const RequestClass& c, const Exposure& exposure) {
  return exposure.mayHaveRun && c.effect == Effect::keyed ? exposure.since + c.repeatWindow : 0;
}

// Reading is no effect (a read leaves nothing but a state), so only writing and whole attempts expose.
inline bool mayRefuse(const RequestClass& c, const Exposure& exposure) {
  if (!exposure.mayHaveRun || c.effect == Effect::safe) return true;
  return c.effect == Effect::keyed && c.scope == RepeatScope::everywhere;
}

// Whether an outcome proves that the attempt never ran.
inline bool provesNotRun(Outcome outcome) {
  return outcome == Outcome::full || outcome == Outcome::connectFailed || outcome == Outcome::notSent ||
         outcome == Outcome::readDone;
}

}  // namespace garnethook::routing
