#include "routing/token_relay.h"

#include <utility>

#include "routing/completion_builder.h"

namespace garnethook::routing {

void TokenRelay::onTokens(AttemptId id, std::string_view text, std::uint32_t count,
                          std::span<const std::uint32_t> ids) {
  ActiveRequest* active = findReceiving(id);
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

// The request, where this attempt is in flight and a client waits for its answer.
ActiveRequest* TokenRelay::findReceiving(AttemptId id) {
  ActiveRequest* active = parts_.requests.findInFlight(id);
  return active != nullptr && !active->isFinished() ? active : nullptr;
}

// Null where the request ended while the policy was told, or by its deadline.
ActiveRequest* TokenRelay::startStream(AttemptId id, ActiveRequest& active) {
  InFlightAttempt& attempt = *active.attempt;
  attempt.hasStarted = true;
  attempt.firstTokenAt = attempt.lastTokenAt;
  context_.timers.cancel(attempt.timeoutTimer);
  if (attempt.phase == Phase::decode && active.kvEndpoint) {
    parts_.reservations.tracker().onTransferred(id.request, *active.kvEndpoint, attempt.lastTokenAt);
    active.kvEndpoint.reset();
  }
  parts_.rules.recordPossibleExecution(active, attempt);
  parts_.events.enqueue(StreamStarted{id.request, id.number});
  if (findReceiving(id) == nullptr) return nullptr;
  checkStream(id.request);
  ActiveRequest* remaining = parts_.requests.find(id.request);
  return remaining != nullptr && !remaining->isFinished() ? remaining : nullptr;
}

void TokenRelay::checkStream(RequestId id) {
  ActiveRequest* active = parts_.requests.find(id);
  if (active == nullptr || !active->attempt || !active->attempt->hasStarted) return;
  const InFlightAttempt& attempt = *active->attempt;
  const Micros now = context_.timers.now();
  const auto check = guard_.check(now, attempt.lastTokenAt, active->usableUntil);
  switch (check.verdict) {
    case StreamGuard::Verdict::proceed:
      active->streamTimer = context_.timers.after(check.nextCheckAt - now, [this, id] { checkStream(id); });
      return;
    case StreamGuard::Verdict::stalled:
      return endStream(*active, streamStalledCompletion(), Outcome::connectionReset);
    case StreamGuard::Verdict::deadlineReached: {
      const bool hasStalled =
          guard_.hasStalledByTokenInterval(now, attempt.firstTokenAt, attempt.lastTokenAt, attempt.tokens);
      return endStream(*active, streamDeadlineCompletion(),
                       hasStalled ? Outcome::connectionReset : kNeutralOutcome);
    }
  }
}

void TokenRelay::endStream(ActiveRequest& active, Completion completion, Outcome outcome) {
  const AttemptId id{active.id, active.attempt->number};
  parts_.completer.complete(active, std::move(completion));
  // The client may have called the router from within its callback, which may have ended the attempt already.
  if (ActiveRequest* remaining = parts_.requests.findInFlight(id)) attempts_.end(*remaining, outcome, true);
}

}  // namespace garnethook::routing
