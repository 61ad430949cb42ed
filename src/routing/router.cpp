#include "routing/router.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "routing/completion_builder.h"

namespace garnethook::routing {
namespace {

// Hashes a client's key to the opaque number that the policy uses. Every router computes the same value; 0
// means no key.
std::uint64_t hashKey(std::string_view text) {
  return text.empty() ? 0 : std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

RequestArrived makeArrivalEvent(const ActiveRequest& active) {
  const Request& request = active.request;
  RequestArrived event;
  event.id = active.id;
  event.requestClass = request.requestClass;
  event.remaining = active.completionDeadline - active.arrivedAt;
  event.session = {hashKey(request.session)};
  event.sharedPrefix = {hashKey(request.sharedPrefixKey)};
  event.promptTokens = request.promptTokens;
  event.sharedPrefixTokens = std::min(request.sharedPrefixTokens, request.promptTokens);
  event.maxOutput = request.maxOutput;
  event.counts = request.counts;
  return event;
}

}  // namespace

Router::Router(const Options& options, timing::Timers& timers, EngineClient& engines, Observer& observer)
    : options_(options),
      timers_(timers),
      context_{options_, timers_, engines, observer, counters_},
      endpoints_(options_.settings.kinds),
      rules_(context_, endpoints_),
      reservations_(context_, requests_),
      events_(context_, *this),
      completer_(context_, requests_, rules_),
      deps_{requests_, endpoints_, rules_, reservations_, completer_, events_},
      attempts_(context_, deps_),
      streamGuard_(options_.streamGuard),
      tokens_(context_, deps_, attempts_, streamGuard_) {}

ActiveRequest* Router::findPending(RequestId id) {
  ActiveRequest* active = requests_.find(id);
  return active != nullptr && !active->isFinished() ? active : nullptr;
}

bool Router::isPastDeadline(const ActiveRequest& active) const {
  return timers_.now() >= active.completionDeadline;
}

// ---- clients ----

RequestId Router::accept(Request request, Client& client) {
  ++counters_.accepted;
  ActiveRequest& active = requests_.add(std::move(request), client, timers_.now(), options_.instance);
  active.completionDeadline = active.arrivedAt + streamGuard_.usableTime(active.request.remaining);
  const RequestId id = active.id;
  if (auto rejection = rejectionOnArrival(active)) {
    completer_.complete(active, *std::move(rejection));
    eraseFinished();
  } else {
    events_.enqueue(makeArrivalEvent(active));
  }
  return id;
}

// Returns the rejection of a request that is not passed to the policy; none if the request is accepted.
std::optional<Completion> Router::rejectionOnArrival(const ActiveRequest& active) const {
  if (isStopping_) return shutdownCompletion(Disposition::rejected, options_.shutdownRetryAfter);
  if (requests_.pendingCount() > options_.maxPendingRequests)
    return tooManyRequestsCompletion(options_.shutdownRetryAfter);
  if (active.request.remaining <= 0) return expiredOnArrivalCompletion();
  return std::nullopt;
}

void Router::cancel(RequestId id) {
  ActiveRequest* active = findPending(id);
  if (active == nullptr) return;
  requests_.finish(*active);
  ++counters_.cancelled;
  context_.observer.onCancelled(id);
  events_.enqueue(RequestCancelled{id});
}

void Router::pauseResponse(RequestId id, bool paused) {
  if (ActiveRequest* active = findPending(id)) tokens_.pause(*active, paused);
}

void Router::abort(RequestId id, FailureReason reason, const std::string& text) {
  ActiveRequest* active = findPending(id);
  if (active == nullptr) return;
  completer_.complete(*active, {.disposition = Disposition::failed, .failureReason = reason, .text = text});
  events_.enqueue(RequestCancelled{id});
}

void Router::updateTokenCounts(RequestId id, std::vector<PromptCount> counts) {
  ActiveRequest* active = findPending(id);
  if (active == nullptr) return;
  active->request.counts = counts;
  events_.enqueue(PromptCounted{id, std::move(counts)});
}

void Router::stop() {
  isStopping_ = true;
  for (const RequestId id : requests_.pendingIds()) {
    ActiveRequest* active = findPending(id);
    if (active == nullptr) continue;
    const bool mayReject = !active->hasResponseStarted() && rules_.mayReject(*active);
    completer_.complete(*active, shutdownCompletion(mayReject ? Disposition::rejected : Disposition::failed,
                                                    options_.shutdownRetryAfter));
    events_.enqueue(RequestCancelled{id});
  }
}

// ---- endpoints and engines ----

void Router::onEndpointUpdate(const EndpointUpdate& update) {
  reservations_.reportRestarts(endpoints_.apply(update));
  events_.enqueue(update);
}

void Router::onTokens(AttemptId attempt, std::string_view text, std::uint32_t count,
                      std::span<const std::uint32_t> ids) {
  tokens_.onTokens(attempt, text, count, ids);
}

void Router::onAttemptEnded(AttemptId attempt, const AttemptResult& result) {
  attempts_.onAttemptEnded(attempt, result);
}

void Router::onProbeEnded(EndpointId endpoint, bool ok, const std::optional<LoadReport>& report) {
  events_.enqueue(ProbeEnded{endpoint, ok, report});
}

void Router::onReleaseEnded(const ReleaseCall& call, bool ok) { reservations_.onReleaseEnded(call, ok); }

// ---- actions of the policy ----

void Router::execute(const Action& action) {
  std::visit([this](const auto& alternative) { execute(alternative); }, action);
}

void Router::execute(const Send& send) {
  ActiveRequest* active = requests_.find(send.id);
  if (active == nullptr || !rules_.checkAttempt(*active, send.endpoint)) return reportNotSent(send, active);
  if (active->client->isCancelled()) {  // the close event is still queued in this event loop iteration
    reportNotSent(send, active);
    return cancel(send.id);
  }
  attempts_.start(*active, send);
}

// Reports to the policy that the attempt was not sent and that the request has ended.
void Router::reportNotSent(const Send& send, ActiveRequest* active) {
  events_.enqueue(AttemptEnded{.id = send.id,
                               .attempt = active != nullptr ? active->attemptCount++ : 0,
                               .endpoint = send.endpoint,
                               .outcome = Outcome::notSent,
                               .requestEnded = true});
}

void Router::execute(const Cancel& cancel) {
  ActiveRequest* active = requests_.findInFlight({cancel.id, cancel.attempt});
  if (active != nullptr) attempts_.end(*active, Outcome::cancelled, false);
}

void Router::execute(const Reject& reject) {
  ActiveRequest* active = findPending(reject.id);
  if (active == nullptr) return;
  if (!rules_.mayReject(*active)) {
    rules_.report(Violation::rejectionAfterExecution, *active);
    return execute(Fail{reject.id});
  }
  completer_.complete(*active,
                      policyRejection(*active, reject, isPastDeadline(*active), endpoints_.hasRunning()));
}

void Router::execute(const Fail& fail) {
  ActiveRequest* active = findPending(fail.id);
  if (active != nullptr) completer_.complete(*active, policyFailure(*active, isPastDeadline(*active)));
}

// A decode cannot fetch KV state after its release, so a request that continues has to repeat the prefill.
void Router::execute(const Release& release) {
  if (ActiveRequest* active = requests_.find(release.id)) {
    active->kvEndpoint.reset();
    active->kvTransferParams.clear();
  }
  reservations_.release(release.id);
}

void Router::execute(const SetTimer& setTimer) {
  ActiveRequest* const active = setTimer.request ? findPending(*setTimer.request) : nullptr;
  if (setTimer.request && active == nullptr) return;  // it has ended since
  const timing::TimerKey key =
      timers_.after(setTimer.delay, [this, id = setTimer.id] { events_.enqueue(TimerFired{id}); });
  if (active != nullptr) active->policyTimers.push_back(key);
}

// Deadlines are long, and a request that is rejected at once is often followed by the next one at once, so
// the timers of ended requests would take up most of the memory.
void Router::cancelPolicyTimers(ActiveRequest& active) {
  for (const timing::TimerKey key : std::exchange(active.policyTimers, {})) timers_.cancel(key);
}

void Router::execute(const Probe& probe) { context_.engines.probe(probe.endpoint); }
void Router::execute(const Log& log) { context_.observer.onPolicyLog(log.text); }

// Erases requests that are completed or cancelled. Attempts that the policy did not cancel (those whose
// response had started, and all attempts if cancelling stops no work at the engine) are ended locally, since
// no client reads their responses. Ending an attempt processes events, which may call this function again and
// erase the request.
void Router::eraseFinished() {
  for (std::size_t i = 0; i < requests_.finished().size(); ++i) {
    const RequestId id = requests_.finished()[i];
    ActiveRequest* active = requests_.find(id);
    if (active == nullptr || !active->isFinished()) continue;
    cancelPolicyTimers(*active);
    if (active->attempt) {
      attempts_.end(*active, active->attempt->hasStarted ? kNeutralOutcome : Outcome::cancelled, true);
      active = requests_.find(id);
    }
    if (active == nullptr || active->attempt) continue;
    requests_.erase(id);
    reservations_.forgetTraceId(id);
  }
  requests_.clearFinished();
}

}  // namespace garnethook::routing
