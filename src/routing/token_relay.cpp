#include "routing/token_relay.h"

#include <utility>

#include "routing/completion_builder.h"

namespace garnethook::routing {

void TokenRelay::onTokens(AttemptId id, std::string_view text, std::uint32_t count,
                          std::span<const std::uint32_t> ids) {
  ActiveRequest* active = findPendingInFlight(id);
  if (active == nullptr) {
    ++context_.counters.lateEvents;
    return;
  }
  InFlightAttempt& attempt = *active->attempt;
  attempt.lastTokenAt = context_.timers.now();
  attempt.tokens += count;
  if (!attempt.hasStarted) {
    active = startStream(id, *active);
    if (active == nullptr) return;
  }
  const Tokens tokens{active->nextTokenIndex, count, text, ids};
  active->nextTokenIndex += count;
  context_.counters.tokens += count;
  active->client->onTokens(tokens);
}

void TokenRelay::onStreamProgress(AttemptId id) {
  if (ActiveRequest* active = findPendingInFlight(id))
    active->attempt->lastProgressAt = context_.timers.now();
}

void TokenRelay::pause(ActiveRequest& active, bool paused) {
  if (!active.attempt || !active.attempt->hasStarted) return;
  InFlightAttempt& attempt = *active.attempt;
  attempt.isReadingPaused = paused;
  if (!paused) attempt.lastTokenAt = context_.timers.now();  // the pause is no silence of the engine
  context_.engines.pauseReading({active.id, attempt.number}, paused);
}

// Returns the request if it is pending and this attempt of it is in flight, null otherwise.
ActiveRequest* TokenRelay::findPendingInFlight(AttemptId id) {
  ActiveRequest* active = deps_.requests.findInFlight(id);
  return active != nullptr && !active->isFinished() ? active : nullptr;
}

// Returns null if the request ended while the policy processed the event, or because of its deadline.
ActiveRequest* TokenRelay::startStream(AttemptId id, ActiveRequest& active) {
  InFlightAttempt& attempt = *active.attempt;
  attempt.hasStarted = true;
  attempt.firstTokenAt = attempt.lastTokenAt;
  context_.timers.cancel(attempt.timeoutTimer);
  if (attempt.phase == Phase::decode && active.kvEndpoint) {
    deps_.reservations.tracker().onTransferred(id.request, *active.kvEndpoint, attempt.lastTokenAt);
    active.kvEndpoint.reset();
  }
  deps_.rules.recordPossibleExecution(active, attempt);
  deps_.events.enqueue(StreamStarted{id.request, id.number});
  if (findPendingInFlight(id) == nullptr) return nullptr;
  checkStream(id.request);
  ActiveRequest* stillActive = deps_.requests.find(id.request);
  return stillActive != nullptr && !stillActive->isFinished() ? stillActive : nullptr;
}

void TokenRelay::checkStream(RequestId id) {
  ActiveRequest* active = deps_.requests.find(id);
  if (active == nullptr || !active->attempt || !active->attempt->hasStarted) return;
  const InFlightAttempt& attempt = *active->attempt;
  const Micros now = context_.timers.now();
  const StreamGuard::LastSigns last =
      attempt.isReadingPaused ? StreamGuard::LastSigns{now, now}
                              : StreamGuard::LastSigns{attempt.lastTokenAt, attempt.lastProgressAt};
  const auto check = guard_.check(now, last, active->completionDeadline);
  switch (check.decision) {
    case StreamGuard::Decision::proceed:
      active->streamTimer = context_.timers.after(check.nextCheckAt - now, [this, id] { checkStream(id); });
      return;
    case StreamGuard::Decision::stalled:
      return endStream(*active, streamStalledCompletion(), Outcome::connectionReset);
    case StreamGuard::Decision::deadlineReached: {
      const bool hasStalled =
          guard_.hasStalledByTokenInterval(now, attempt.firstTokenAt, attempt.lastTokenAt, attempt.tokens);
      return endStream(*active, streamDeadlineCompletion(),
                       hasStalled ? Outcome::connectionReset : kNeutralOutcome);
    }
  }
}

void TokenRelay::endStream(ActiveRequest& active, Completion completion, Outcome outcome) {
  const AttemptId id{active.id, active.attempt->number};
  deps_.completer.complete(active, std::move(completion));
  // The client may have called the router from its callback, which may already have ended the attempt.
  if (ActiveRequest* stillActive = deps_.requests.findInFlight(id))
    attempts_.end(*stillActive, outcome, true);
}

}  // namespace garnethook::routing
