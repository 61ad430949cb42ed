#include "routing/router.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <utility>

#include "routing/execution_history.h"

namespace garnethook::routing {
namespace {

// Keys from clients become the module's opaque numbers, equal at every router; 0 stays for none.
std::uint64_t keyOf(std::string_view text) {
  return text.empty() ? 0 : std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
}

// The module sees a client's departure from a running stream, and an end that is not the engine's doing, as
// an attempt that tells nothing of its engine.
constexpr Outcome kNoJudgement = Outcome::notSent;

}  // namespace

std::string_view name(FailureReason cause) {
  constexpr std::array<std::string_view, 12> names{
      "none",           "overloaded",  "no-endpoint",     "too-many-requests",
      "shutting-down",  "deadline",    "attempts-failed", "stream-broken",
      "stream-stalled", "bad-request", "slow-client",     ""};
  return names[static_cast<std::size_t>(cause)];
}

std::string_view name(Phase phase) {
  return phase == Phase::prefill ? "prefill" : phase == Phase::decode ? "decode" : "combined";
}

std::string_view name(Outcome outcome) {
  constexpr std::array<std::string_view, 9> names{"completed",        "prefill done", "error",
                                                  "rejected",         "timed out",    "connect failed",
                                                  "connection reset", "cancelled",    "not sent"};
  return names[static_cast<std::size_t>(outcome)];
}

std::string withNames(std::string_view said, const std::function<std::string(EndpointId)>& nameOf) {
  std::string out;
  for (std::size_t at = 0; at < said.size();) {
    const auto end = std::min(said.find(' ', at), said.size());
    const auto word = said.substr(at, end - at);
    std::uint64_t number = 0;
    const auto [last, bad] = std::from_chars(word.data(), word.data() + word.size(), number);
    const bool id = word.size() > 9 && bad == std::errc() && last == word.data() + word.size();
    out.append(out.empty() ? "" : " ").append(id ? nameOf({number}) : std::string(word));
    at = end + 1;
  }
  return out;
}

Router::Router(const Options& options, timing::Timers& timers, EngineClient& engines, Observer& observer)
    : options_(options),
      timers_(timers),
      engines_(engines),
      observer_(observer),
      brain_(options.settings, options.seed),
      guard_(options.streams),
      held_(options.held),
      releaseAlarm_(timers_) {}

Router::ActiveRequest* Router::find(RequestId id) {
  const auto at = lives_.find(id.value);
  return at == lives_.end() ? nullptr : &at->second;
}

RequestId Router::accept(Request request, Client& client) {
  const RequestId id{nextId_++};
  ++counters_.taken;
  ActiveRequest& life = lives_[id.value];
  life.request = std::move(request);
  life.client = &client;
  life.arrived = timers_.now();
  life.traceId = life.request.traceId.empty() ? options_.instance + "-" + std::to_string(id.value)
                                              : life.request.traceId;
  ++open_;
  const Micros usable = guard_.usable(life.request.remaining);
  life.usableUntil = life.arrived + usable;
  if (stopping_ || open_ > options_.openRequests) {
    finish(id, life,
           {.disposition = Disposition::rejected,
            .failureReason = stopping_ ? FailureReason::shuttingDown : FailureReason::tooManyRequests,
            .text = stopping_ ? "the router is going down" : "too many requests are open here",
            .retryAfter = options_.stopRetryAfter});
    settle();
    return id;
  }
  if (life.request.remaining <= 0) {
    finish(id, life,
           {.disposition = Disposition::rejected,
            .failureReason = FailureReason::deadline,
            .text = "the deadline has passed"});
    settle();
    return id;
  }
  RequestArrived event;
  event.id = id;
  event.requestClass = life.request.requestClass;
  event.remaining = usable;
  event.session = {keyOf(life.request.session)};
  event.sharedPrefix = {keyOf(life.request.sharedPrefixKey)};
  event.promptTokens = life.request.promptTokens;
  event.sharedPrefixTokens = std::min(life.request.sharedPrefixTokens, life.request.promptTokens);
  event.maxOutput = life.request.maxOutput;
  event.counts = life.request.counts;
  give(event);
  return id;
}

void Router::cancel(RequestId id) {
  ActiveRequest* life = find(id);
  if (life == nullptr || life->client == nullptr) return;
  life->client = nullptr;
  --open_;
  ++counters_.left;
  done_.push_back(id);
  observer_.onCancelled(id);
  give(RequestCancelled{id});
}

void Router::abort(RequestId id, FailureReason cause, const std::string& text) {
  ActiveRequest* life = find(id);
  if (life == nullptr || life->client == nullptr) return;
  finish(id, *life, {.disposition = Disposition::failed, .failureReason = cause, .text = text});
  give(RequestCancelled{id});
}

void Router::updateTokenCounts(RequestId id, std::vector<PromptCount> counts) {
  ActiveRequest* life = find(id);
  if (life == nullptr || life->client == nullptr) return;
  life->request.counts = counts;
  give(PromptCounted{id, std::move(counts)});
}

void Router::forEachPending(const std::function<void(RequestId, const Request&)>& call) const {
  for (const auto& [id, life] : lives_)
    if (life.client != nullptr && life.nextToken == 0) call({id}, life.request);
}

void Router::onList(const EndpointUpdate& list) {
  if (list.kind == EndpointUpdate::Kind::snapshot || list.kind == EndpointUpdate::Kind::staleCopy)
    running_.clear();
  for (const EndpointEntry& e : list.entries) {
    const bool known = e.kind && *e.kind < options_.settings.kinds.size();
    places_[e.id.value] = {e.zone, e.cell};
    roles_[e.id.value] = known ? options_.settings.kinds[*e.kind].role : Role::decode;
    if (e.state == EndpointState::running)
      running_.insert(e.id.value);
    else
      running_.erase(e.id.value);
    Micros& started = starts_[e.id.value];
    if (started != 0 && e.startedAt != 0 && started != e.startedAt) {
      held_.readerLost(e.id);
      std::erase_if(works_, [this](const auto& item) {
        return find({item.first}) == nullptr && !held_.knows({item.first});
      });
    }
    if (e.startedAt != 0) started = e.startedAt;
  }
  give(list);
}

void Router::stop() {
  stopping_ = true;
  std::vector<RequestId> ids;
  for (const auto& [id, life] : lives_)
    if (life.client != nullptr) ids.push_back({id});
  std::sort(ids.begin(), ids.end());
  for (const RequestId id : ids) {
    ActiveRequest* life = find(id);
    if (life == nullptr || life->client == nullptr) continue;
    const auto& c = options_.settings.classes[life->request.requestClass];
    const bool answerOut = life->out && life->out->phase != Phase::prefill;
    const bool refuse = life->nextToken == 0 && mayReject(c, {life->exposed.possiblyExecuted || answerOut});
    finish(id, *life,
           {.disposition = refuse ? Disposition::rejected : Disposition::failed,
            .failureReason = FailureReason::shuttingDown,
            .text = "the router is going down",
            .retryAfter = refuse ? options_.stopRetryAfter : 0});
    give(RequestCancelled{id});
  }
}

// ---- the module ----

void Router::give(Event event) {
  queue_.push_back(std::move(event));
  if (!pumping_) pump();
}

// Events that come of carrying out actions wait for their turn, so that the module is never called from
// within its own answer.
void Router::pump() {
  pumping_ = true;
  std::vector<Action> actions;
  while (queueAt_ < queue_.size()) {
    const Event event = std::move(queue_[queueAt_++]);
    actions.clear();
    const Micros now = timers_.now();
    brain_.handle(now, event, actions);
    observer_.onDecision(now, event, actions);
    for (const Action& action : actions) {
      // One action that fails must not cost the others, nor leave the queue shut for every later event.
      try {
        carryOut(action);
      } catch (const std::exception& e) {
        ++counters_.failedActions;
        observer_.onActionFailed(e.what());
      }
    }
  }
  queue_.clear();
  queueAt_ = 0;
  pumping_ = false;
  settle();
}

void Router::carryOut(const Action& action) {
  std::visit([this](const auto& a) { carry(a); }, action);
}

// What is to be done at an engine of this role.
Phase Router::phaseAt(EndpointId endpoint, const ActiveRequest& life) const {
  const auto role = roles_.find(endpoint.value);
  if (role != roles_.end() && role->second == Role::prefill) return Phase::prefill;
  return life.stateAt ? Phase::decode : Phase::combined;
}

// Whether the attempt breaks no rule; one that would is not made.
bool Router::allowed(const Send& a, const ActiveRequest* life) {
  if (life == nullptr) return false;
  const auto place = places_.find(a.endpoint.value);
  const auto violation =
      RuleGuard::judge({.requestClass = options_.settings.classes[life->request.requestClass],
                        .exposure = life->exposed,
                        .firstPlace = life->firstPlace,
                        .target = place == places_.end() ? EndpointLocation() : place->second,
                        .phase = phaseAt(a.endpoint, *life),
                        .answered = life->client == nullptr,
                        .attemptOut = life->out.has_value(),
                        .now = timers_.now()});
  if (violation) violated(*violation, a.id, life);
  return !violation;
}

void Router::violated(Violation violation, RequestId id, const ActiveRequest* life) {
  rules_.count(violation);
  observer_.onViolation(violation, id, life->request);
}

void Router::carry(const Send& a) {
  ActiveRequest* life = find(a.id);
  if (!allowed(a, life)) {
    give(AttemptEnded{.id = a.id,
                      .attempt = life ? life->attempts++ : 0,
                      .endpoint = a.endpoint,
                      .outcome = Outcome::notSent,
                      .requestEnded = true});
    return;
  }
  if (life->client->isCancelled()) {  // its close waits behind other events of this turn
    give(AttemptEnded{.id = a.id,
                      .attempt = life->attempts++,
                      .endpoint = a.endpoint,
                      .outcome = Outcome::notSent,
                      .requestEnded = true});
    return cancel(a.id);
  }
  const Phase phase = phaseAt(a.endpoint, *life);
  Out out;
  out.number = life->attempts++;
  out.endpoint = a.endpoint;
  out.phase = phase;
  out.sentAt = timers_.now();
  ++counters_.attempts;
  life->usage.attempts = static_cast<std::uint32_t>(life->attempts);
  if (a.timeout > 0)
    out.timeout = timers_.after(a.timeout, [this, attempt = AttemptId{a.id, out.number}] {
      ActiveRequest* late = find(attempt.request);
      if (late == nullptr || !late->out || late->out->number != attempt.number || late->out->started) return;
      endAttempt(attempt.request, *late, Outcome::timedOut, false);
    });
  const auto due = held_.dueBy(a.id);
  if (due)
    out.unreached = timers_.after(std::max<Micros>(0, *due - out.sentAt),
                                  [this, attempt = AttemptId{a.id, out.number}] { stateDue(attempt); });
  life->out = out;
  if (phase == Phase::prefill) {
    held_.readSent(a.id, a.endpoint, out.sentAt);
    works_.try_emplace(a.id.value, life->traceId);
  }
  const AttemptSpec order{
      {a.id, out.number},
      a.endpoint,
      phase,
      &life->request,
      life->traceId,
      phase == Phase::decode ? life->kvTransferParams : std::string_view(),
      phase != Phase::prefill &&
          !mayReject(options_.settings.classes[life->request.requestClass], {.possiblyExecuted = true}),
      // What an earlier read may have left waits for this one's arrival, or is let go of.
      phase == Phase::prefill && due.has_value(),
      a.timeout > 0 ? a.timeout : life->usableUntil - out.sentAt,
      retryUntil(options_.settings.classes[life->request.requestClass], life->exposed)};
  observer_.onAttempt(order);
  engines_.begin(order);
}

// The life of the request whose attempt this is, where it is out and nothing has come of it yet.
Router::ActiveRequest* Router::unstarted(AttemptId attempt) {
  ActiveRequest* life = find(attempt.request);
  const bool out = life != nullptr && life->out && life->out->number == attempt.number;
  return out && !life->out->started ? life : nullptr;
}

// Rule 5: the time of what is held for a request is over, and the attempt that is out may not have arrived.
// One whose connection has not come up ends, and what is held is let go of. One that may be on a dead
// connection is waited for, and what is held is let go of beside it. Of one on a connection that came up for
// it the engine is asked for a sign of life first. Guards against connections that fall silent, in a cut
// above all.
void Router::stateDue(AttemptId attempt) {
  ActiveRequest* life = unstarted(attempt);
  if (life == nullptr) return;
  switch (engines_.deliveryState(attempt)) {
    case DeliveryState::confirmed: return;
    case DeliveryState::connected:
      if (engines_.canCheckLiveness()) engines_.checkLiveness(attempt, life->out->endpoint);
      return;
    case DeliveryState::written: return releaseBeside(attempt, *life->out);
    case DeliveryState::undelivered: break;
  }
  if (life->out->phase == Phase::prefill) callReleases(held_.release(attempt.request, timers_.now()));
  endAttempt(attempt.request, *life, Outcome::connectFailed, false);
}

// What earlier reads left while a read is out; the state while a write is, where a release spares what an
// engine has in hand.
void Router::releaseBeside(AttemptId attempt, const Out& out) {
  const Micros now = timers_.now();
  callReleases(out.phase == Phase::prefill ? held_.releaseOthers(attempt.request, out.endpoint, now)
                                           : held_.releaseInDoubt(attempt.request, now));
}

void Router::onLivenessChecked(AttemptId attempt, bool alive) {
  ActiveRequest* life = unstarted(attempt);
  if (life == nullptr || engines_.deliveryState(attempt) == DeliveryState::confirmed) return;
  life->out->confirmed = alive;
  if (!alive) releaseBeside(attempt, *life->out);
}

// Whether the attempt has reached its engine, as far as the time of what is held goes.
bool Router::arrivedForCertain(RequestId id, const Out& out) const {
  if (out.started || out.confirmed) return true;
  const DeliveryState reach = engines_.deliveryState({id, out.number});
  return reach == DeliveryState::confirmed ||
         (reach == DeliveryState::connected && !engines_.canCheckLiveness());
}

void Router::carry(const Cancel& a) {
  ActiveRequest* life = find(a.id);
  if (life == nullptr || !life->out || life->out->number != a.attempt) return;
  endAttempt(a.id, *life, Outcome::cancelled, false);
}

void Router::expose(ActiveRequest& life, const Out& out) {
  if (!life.exposed.possiblyExecuted) {
    const auto place = places_.find(out.endpoint.value);
    if (place != places_.end()) life.firstPlace = place->second;
  }
  life.exposed.note(out.sentAt);
}

void Router::carry(const Reject& a) {
  ActiveRequest* life = find(a.id);
  if (life == nullptr || life->client == nullptr) return;
  const bool answerOut = life->out && life->out->phase != Phase::prefill;
  if (!mayReject(options_.settings.classes[life->request.requestClass],
                 {.possiblyExecuted = life->exposed.possiblyExecuted || answerOut})) {
    violated(Violation::rejectionAfterExecution, a.id, life);
    return carry(Fail{a.id});
  }
  const bool late = timers_.now() >= life->usableUntil;
  Completion e{.disposition = Disposition::rejected,
               .failureReason = late               ? FailureReason::deadline
                                : running_.empty() ? FailureReason::noEndpoint
                                                   : FailureReason::overloaded,
               .retryAfter = a.retryAfter};
  e.text = late               ? "no answer before the deadline; a repeat does no harm"
           : running_.empty() ? "no engine is listed"
                              : "no engine would answer in time";
  if (!life->lastTrouble.empty()) e.text += "; last: " + life->lastTrouble;
  finish(a.id, *life, std::move(e));
}

void Router::carry(const Fail& a) {
  ActiveRequest* life = find(a.id);
  if (life == nullptr || life->client == nullptr) return;
  const bool late = timers_.now() >= life->usableUntil;
  Completion e{.disposition = Disposition::failed,
               .failureReason = late ? FailureReason::deadline : FailureReason::attemptsFailed};
  e.text = late ? "no answer before the deadline" : "attempts failed";
  if (!life->lastTrouble.empty()) e.text += "; last: " + life->lastTrouble;
  finish(a.id, *life, std::move(e));
}

// What is let go of can't be written from any more: where the request goes on, it begins anew.
void Router::carry(const Release& a) {
  if (ActiveRequest* life = find(a.id)) {
    life->stateAt.reset();
    life->kvTransferParams.clear();
  }
  callReleases(held_.release(a.id, timers_.now()));
}

void Router::carry(const SetTimer& a) {
  timers_.after(a.delay, [this, id = a.id] { give(TimerFired{id}); });
}

void Router::carry(const Probe& a) { engines_.probe(a.endpoint); }
void Router::carry(const Log& a) { observer_.onModuleLog(a.text); }

// ---- engines ----

void Router::onTokens(AttemptId attempt, std::string_view text, std::uint32_t count,
                      std::span<const std::uint32_t> ids) {
  ActiveRequest* life = find(attempt.request);
  if (life == nullptr || !life->out || life->out->number != attempt.number || life->client == nullptr) {
    ++counters_.dropped;
    return;
  }
  Out& out = *life->out;
  out.lastToken = timers_.now();
  out.tokens += count;
  if (!out.started) {
    out.started = true;
    out.firstToken = out.lastToken;
    timers_.cancel(out.timeout);
    if (out.phase == Phase::decode && life->stateAt) {
      held_.consumed(attempt.request, *life->stateAt);
      life->stateAt.reset();
    }
    expose(*life, out);
    give(StreamStarted{attempt.request, attempt.number});
    life = find(attempt.request);
    if (life == nullptr || !life->out || life->out->number != attempt.number || life->client == nullptr)
      return;
    guardStream(attempt.request);
    life = find(attempt.request);  // the deadline may have come
    if (life == nullptr || life->client == nullptr) return;
  }
  const Tokens tokens{life->nextToken, count, text, ids};
  life->nextToken += count;
  counters_.tokens += count;
  life->client->onTokens(tokens);
}

void Router::guardStream(RequestId id) {
  ActiveRequest* life = find(id);
  if (life == nullptr || !life->out || !life->out->started) return;
  const Micros now = timers_.now();
  const auto look = guard_.look(now, life->out->lastToken, life->usableUntil);
  switch (look.verdict) {
    case StreamGuard::Verdict::go:
      life->guard = timers_.after(look.again - now, [this, id] { guardStream(id); });
      return;
    case StreamGuard::Verdict::stalled:
      return breakStream(id, *life, FailureReason::streamStalled, Outcome::connectionReset,
                         "the answer went quiet");
    case StreamGuard::Verdict::deadline: {
      const Out& out = *life->out;
      const bool quiet = guard_.wentQuiet(now, out.firstToken, out.lastToken, out.tokens);
      return breakStream(id, *life, FailureReason::deadline, quiet ? Outcome::connectionReset : kNoJudgement,
                         "the answer was not finished before the deadline");
    }
  }
}

void Router::breakStream(RequestId id, ActiveRequest& life, FailureReason cause, Outcome outcome,
                         const std::string& text) {
  finish(id, life, {.disposition = Disposition::failed, .failureReason = cause, .text = text});
  endAttempt(id, life, outcome, true);
}

// Ends the attempt that is out by this router's own doing.
void Router::endAttempt(RequestId id, ActiveRequest& life, Outcome outcome, bool last) {
  const Out out = *life.out;
  const bool arrived = arrivedForCertain(id, out);
  engines_.cancel({id, out.number});
  life.out.reset();
  if (arrived) held_.outcome(id, timers_.now());
  timers_.cancel(out.timeout);
  timers_.cancel(out.unreached);
  timers_.cancel(life.guard);
  ++counters_.outcomes[outcome];
  const bool ended = !provesNotRun(outcome) || (outcome == kNoJudgement && out.started);
  if (out.phase != Phase::prefill && ended) expose(life, out);
  observer_.onAttemptEnded({id, out.number}, out.endpoint, {.outcome = outcome, .text = "ended here"});
  give(AttemptEnded{.id = id,
                    .attempt = out.number,
                    .endpoint = out.endpoint,
                    .outcome = outcome,
                    .requestEnded = last,
                    .reachedEndpoint = arrived});
}

void Router::onAttemptEnded(AttemptId attempt, const AttemptResult& result) {
  ActiveRequest* life = find(attempt.request);
  if (life == nullptr || !life->out || life->out->number != attempt.number) {
    ++counters_.dropped;
    return;
  }
  const RequestId id = attempt.request;
  const Out out = *life->out;
  life->out.reset();
  timers_.cancel(out.timeout);
  timers_.cancel(out.unreached);
  timers_.cancel(life->guard);
  const bool arrived =
      result.leftRouter && result.outcome != Outcome::connectFailed && !result.reusedConnection;
  if (arrived) held_.outcome(id, timers_.now());
  ++counters_.outcomes[result.outcome];
  observer_.onAttemptEnded(attempt, out.endpoint, result);
  if (!result.text.empty()) life->lastTrouble = result.text;
  if (out.phase != Phase::prefill && !provesNotRun(result.outcome)) expose(*life, out);

  AttemptEnded event{.id = id,
                     .attempt = attempt.number,
                     .endpoint = out.endpoint,
                     .outcome = result.outcome,
                     .cachedTokens = result.cachedTokens,
                     .kvStateMissing = result.kvStateMissing,
                     .reusedConnection = result.reusedConnection,
                     .reachedEndpoint = arrived,
                     .report = result.report};
  if (result.promptTokens > 0) {
    life->usage.promptTokens = result.promptTokens;
    if (out.phase != Phase::decode) observer_.onPromptRead(out.endpoint, life->request, result.promptTokens);
  }
  if (result.cachedTokens > 0) life->usage.cachedTokens = static_cast<std::uint32_t>(result.cachedTokens);
  switch (result.outcome) {
    case Outcome::prefillDone:
      life->stateAt = out.endpoint;
      life->kvTransferParams = result.kvTransferParams;
      break;
    case Outcome::completed: {
      event.requestEnded = true;
      if (out.phase == Phase::decode && life->stateAt) {  // an answer without a single token
        held_.consumed(id, *life->stateAt);
        life->stateAt.reset();
      }
      life->usage.outputTokens = std::max(result.outputTokens, life->nextToken);
      if (life->client != nullptr)
        finish(id, *life,
               {.disposition = Disposition::completed, .reason = result.reason, .usage = life->usage});
      break;
    }
    default:
      if (out.phase == Phase::prefill && provesNotRun(result.outcome)) held_.nothingLeft(id, out.endpoint);
      if (result.kvStateMissing) life->stateAt.reset();
      if (result.badRequest) {
        event.outcome = kNoJudgement;
        event.requestEnded = true;
        if (life->client != nullptr)
          finish(id, *life,
                 {.disposition = Disposition::failed,
                  .failureReason = FailureReason::badRequest,
                  .text = result.text});
      } else if (out.started) {  // a stream that breaks is lost
        event.requestEnded = true;
        if (life->client != nullptr)
          finish(id, *life,
                 {.disposition = Disposition::failed,
                  .failureReason = FailureReason::streamBroken,
                  .text = "the answer broke off" + (result.text.empty() ? "" : ": " + result.text)});
      }
      break;
  }
  give(event);
}

void Router::onProbeEnded(EndpointId endpoint, bool ok, const std::optional<LoadReport>& report) {
  give(ProbeEnded{endpoint, ok, report});
}

// ---- ends ----

void Router::finish(RequestId id, ActiveRequest& life, Completion ending) {
  const bool begun = life.nextToken > 0;
  if (!begun &&
      RuleGuard::late(timers_.now(), life.arrived + life.request.remaining, options_.settings.answerSlack))
    violated(Violation::lateCompletion, id, &life);
  Client* client = std::exchange(life.client, nullptr);
  done_.push_back(id);
  --open_;
  ++(ending.disposition == Disposition::completed  ? counters_.served
     : ending.disposition == Disposition::rejected ? counters_.rejected
                                                   : counters_.failed);
  if (ending.disposition != Disposition::completed) {
    ++counters_.causes[ending.failureReason];
    ending.usage = life.usage;
    ending.usage.outputTokens = life.nextToken;
  }
  observer_.onCompletion(id, life.request, ending, timers_.now() - life.arrived);
  client->onCompletion(ending);
}

// Forgets requests that are answered or left. What the module did not cancel (answers that had begun, and all
// where cancelling stops no work) ends here at this side: a stream that nobody reads is of no use.
void Router::settle() {
  for (std::size_t i = 0; i < done_.size(); ++i) {
    const RequestId id = done_[i];
    ActiveRequest* life = find(id);
    if (life == nullptr || life->client != nullptr) continue;
    if (life->out) {
      endAttempt(id, *life, life->out->started ? kNoJudgement : Outcome::cancelled, true);
      life = find(id);  // endAttempt pumps, and may have settled it
    }
    if (life == nullptr || life->out) continue;
    lives_.erase(id.value);
    forgetWork(id);
  }
  done_.clear();
}

// The name that engines know a request by is kept as long as it may still be said to one.
void Router::forgetWork(RequestId id) {
  if (find(id) == nullptr && !held_.knows(id)) works_.erase(id.value);
}

void Router::callReleases(const std::vector<KvReservationTracker::Call>& calls) {
  for (const auto& call : calls) {
    const auto work = works_.find(call.request.value);
    if (work == works_.end()) continue;
    observer_.onRelease(call.endpoint, call.request, work->second);
    engines_.release(call.endpoint, call.request, work->second);
  }
}

void Router::onReleaseEnded(EndpointId endpoint, RequestId request, bool ok) {
  observer_.onReleaseEnded(endpoint, request, ok);
  held_.ended({endpoint, request}, ok, timers_.now());
  forgetWork(request);
  if (!ok && !releaseAlarm_.running()) releaseAlarm_.start(options_.held.pause, [this] { lookAtReleases(); });
}

void Router::lookAtReleases() {
  callReleases(held_.due(timers_.now()));
  if (held_.releasing() > 0) releaseAlarm_.start(options_.held.pause, [this] { lookAtReleases(); });
}

}  // namespace garnethook::routing
