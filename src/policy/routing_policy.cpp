// Dispatches events and drives each request through its phases. Impl::advance defines the order of the
// phases; the modules that Impl owns make the decisions within each phase.
//
// The normal path follows MemServe: a request is prefilled at the endpoint with the lowest cost, which is the
// prediction of a fitted cost model of prompt length and cached share plus the endpoint's queueing delay. It
// is then decoded in the cell of that endpoint, at the endpoint with the most free KV cache. All other logic
// takes effect only on failures or overload.
#include "policy/routing_policy.h"

#include <algorithm>

#include "policy/admission.h"
#include "policy/affinity_hashing.h"
#include "policy/attempt_timeouts.h"
#include "policy/attempt_tracker.h"
#include "policy/candidate_finder.h"
#include "policy/combined_share.h"
#include "policy/decision_context.h"
#include "policy/decode_selector.h"
#include "policy/endpoint_registry.h"
#include "policy/first_token_estimator.h"
#include "policy/initial_estimates.h"
#include "policy/kv_hold_policy.h"
#include "policy/kv_memory_estimator.h"
#include "policy/outlier_detector.h"
#include "policy/prefill_cost_model.h"
#include "policy/prefill_estimator.h"
#include "policy/prefill_selector.h"
#include "policy/prefix_cache_index.h"
#include "policy/queue_estimator.h"
#include "policy/rejection_estimator.h"
#include "policy/retry_policy.h"
#include "policy/settings_validation.h"
#include "policy/slow_start.h"
#include "policy/speed_estimator.h"
#include "policy/traffic_sample.h"

namespace garnethook {

using namespace policy;

namespace {

constexpr Micros kUpdateInterval = kSecond / 4;
constexpr Micros kMinReevaluationDelay = 1000;

// The purpose of a timer. A TimerId encodes the request identifier and the purpose.
enum class TimerPurpose : std::uint64_t { deadline, reevaluation, update, attemptTimeout };
constexpr std::uint64_t kTimerPurposeCount = 4;

TimerId timerIdFor(RequestId id, TimerPurpose purpose) {
  return {id.value * kTimerPurposeCount + static_cast<std::uint64_t>(purpose)};
}
TimerPurpose purposeOf(TimerId id) { return static_cast<TimerPurpose>(id.value % kTimerPurposeCount); }
RequestId requestIdOf(TimerId id) { return {id.value / kTimerPurposeCount}; }

}  // namespace

class RoutingPolicy::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : settings_(validated(settings)), context_(seed), routerKey_{mixBits(seed + 1)} {}

  void handle(Micros now, const Event& event, std::vector<Action>& actions) {
    context_.begin(now, actions);
    outliers_.invalidateOutages();
    if (!isUpdateScheduled_) update();
    std::visit([this](const auto& typedEvent) { on(typedEvent); }, event);
  }

 private:
  // ---- endpoints ----

  void on(const EndpointUpdate& endpointUpdate) {
    using Kind = EndpointUpdate::Kind;
    isSubscribed_ = endpointUpdate.kind != Kind::failure && endpointUpdate.kind != Kind::staleCopy;
    if (endpointUpdate.kind == Kind::failure) return;
    if (endpointUpdate.kind != Kind::delta)
      for (auto& [id, endpoint] : registry_.all()) endpoint.isListed = false;
    for (const EndpointEntry& entry : endpointUpdate.entries) updateEndpoint(entry);
    registry_.rebuildIndex();
    outliers_.invalidateOutages();
    affinity_.updateWeights();
  }

  void updateEndpoint(const EndpointEntry& entry) {
    Endpoint& endpoint = registry_.at(entry.id);
    if (endpoint.entry.startedAt != entry.startedAt) resetAfterRestart(endpoint);
    endpoint.entry = entry;
    endpoint.isListed = entry.state == EndpointState::running;
    const bool isKnownKind = entry.kind && *entry.kind < settings_.kinds.size();
    endpoint.role = isKnownKind ? settings_.kinds[*entry.kind].role : Role::decode;
    endpoint.memoryTokens = isKnownKind ? settings_.kinds[*entry.kind].memoryTokens : 0;
  }

  void resetAfterRestart(Endpoint& endpoint) {
    prefixes_.invalidate(endpoint);
    SpeedEstimator::reset(endpoint);
    KvMemoryEstimator::reset(endpoint);
    QueueEstimator::reset(endpoint);
    SlowStart::reset(endpoint);
    outliers_.reinstate(endpoint);
  }

  void on(const ProbeEnded& event) {
    Endpoint* endpoint = registry_.find(event.endpoint);
    if (endpoint == nullptr) return;
    if (event.report) attemptTracker_.recordReport(*endpoint, *event.report);
    outliers_.recordProbe(event.endpoint, *endpoint, event.ok);
  }

  // ---- steps of a request ----

  void on(const RequestArrived& arrival) {
    if (requests_.contains(arrival.id)) return;
    TrackedRequest& request = requests_[arrival.id];
    request.arrival = arrival;
    if (!arrival.requestClass || *arrival.requestClass >= settings_.classes.size()) return fail(request);
    request.requestClass = settings_.classes[*arrival.requestClass];
    const EstimatedTime objectivePerKiloToken = toEstimate(request.requestClass.ttftObjectivePerKiloToken);
    request.objectiveAt = context_.now() + request.requestClass.ttftObjective +
                          toMicros(objectivePerKiloToken * arrival.promptTokens / 1000);
    request.deadline = context_.now() + arrival.remaining;
    slowStart_.recordArrival(request);
    setRequestTimer(arrival.id, TimerPurpose::deadline, std::max<Micros>(0, arrival.remaining));
    advance(request);
  }

  // Chooses the next step of a request that has no attempt in flight.
  void advance(TrackedRequest& request) {
    if (!retryPolicy_.mayAttempt(request)) return rejectOrFail(request);
    if (request.kvStateAt && !releaseExpiredState(request)) return decode(request);
    affinity_.assign(request);
    if (combinedShare_.shouldExecute(request) && tryCombinedAttempt(request, Role::combined)) return;
    if (const Endpoint* endpoint = prefillSelector_.select(request, Role::prefill))
      return prefill(request, *endpoint);
    if (tryCombinedAttempt(request, Role::combined)) return;
    if (settings_.decodeEndpointsPrefill && tryCombinedAttempt(request, Role::decode)) return;
    if (!admission_.mayPrefillLater(request)) return rejectOrFail(request);
    reevaluateAfter(request, admission_.reevaluationInterval());
  }

  void prefill(TrackedRequest& request, const Endpoint& endpoint) {
    InFlightAttempt attempt{.endpoint = endpoint.entry.id, .phase = Phase::prefill};
    estimatePrefill(request, endpoint, attempt);
    attempt.reportedDelay = queues_.reportedDelay(endpoint);
    const Endpoint* decodeEndpoint =
        decodeSelector_.select(request, endpoint.entry.cell, DecodeSelector::kMaxOccupancyToAdmit);
    const EstimatedTime firstTokenTime =
        decodeEndpoint ? firstTokens_.expectedTime(*decodeEndpoint) : firstTokens_.fleetTime();
    const bool isInTime =
        admission_.isExpectedInTime(request, attempt.predictedTime + firstTokenTime, attempt.prefillTime,
                                    AdmissionController::firstTokenDueAt(request));
    // Without a decode endpoint that has enough free KV cache, decoding is overloaded. KV cache occupancy
    // indicates this earlier than the time to first token does.
    if (!isInTime || !decodeEndpoint) return rejectOrFail(request);
    send(request, attempt);
  }

  void decode(TrackedRequest& request) {
    const bool isLast = kvHold_.isLastAttempt(request);
    const Endpoint* endpoint =
        decodeSelector_.select(request, request.kvStateAt->cell,
                               isLast ? DecodeSelector::kAnyOccupancy : DecodeSelector::kMaxOccupancy);
    if (!endpoint || !RetryPolicy::isInScope(request, *endpoint)) {
      if (isLast || !admission_.mayDecodeLater(request)) return rejectOrFail(request);
      return reevaluateAfter(request, kvHold_.reevaluationInterval());
    }
    InFlightAttempt attempt{.endpoint = endpoint->entry.id, .phase = Phase::decode};
    attempt.predictedTime = firstTokens_.baselineTime() * speeds_.factor(*endpoint);
    attempt.kvTokens = KvMemoryEstimator::tokensNeeded(request, *endpoint);
    attempt.size = attempt.kvTokens;
    send(request, attempt);
  }

  // Sends a combined attempt if an endpoint of `role` is expected to meet the objective; returns whether an
  // attempt was sent.
  bool tryCombinedAttempt(TrackedRequest& request, Role role) {
    if (role == Role::decode) affinity_.addForRole(request, role);
    const Endpoint* endpoint = prefillSelector_.select(request, role);
    if (!endpoint || !RetryPolicy::isInScope(request, *endpoint)) return false;
    InFlightAttempt attempt{.endpoint = endpoint->entry.id, .phase = Phase::combined};
    estimatePrefill(request, *endpoint, attempt);
    attempt.predictedTime += firstTokens_.expectedTime(*endpoint);
    attempt.kvTokens = KvMemoryEstimator::tokensNeeded(request, *endpoint);
    if (!admission_.isExpectedInTime(request, attempt.predictedTime, attempt.prefillTime,
                                     request.objectiveAt))
      return false;
    if (role == Role::decode && !mayPrefillAtDecodeEndpoint(request, *endpoint, attempt)) return false;
    send(request, attempt);
    return true;
  }

  bool mayPrefillAtDecodeEndpoint(const TrackedRequest& request, const Endpoint& endpoint,
                                  const InFlightAttempt& attempt) const {
    return request.attempts == 0 &&
           memory_.occupancy(endpoint, attempt.kvTokens) <= DecodeSelector::kMaxOccupancyToAdmit;
  }

  void estimatePrefill(const TrackedRequest& request, const Endpoint& endpoint,
                       InFlightAttempt& attempt) const {
    attempt.expectedCachedTokens = prefixes_.cachedTokens(request, endpoint);
    attempt.size = request.promptTokensAt(endpoint.entry) - attempt.expectedCachedTokens;
    attempt.prefillTime = prefills_.prefillTime(request, endpoint);
    attempt.predictedTime = prefills_.totalTime(request, endpoint);
  }

  // Releases a KV state whose hold time has expired, so that the prompt is prefilled again. Returns whether
  // it had expired.
  bool releaseExpiredState(TrackedRequest& request) {
    if (!kvHold_.isExpired(request)) return false;
    request.kvStateAt.reset();
    context_.emit(Release{request.arrival.id});
    return true;
  }

  void reevaluateAfter(const TrackedRequest& request, Micros delay) {
    setRequestTimer(request.arrival.id, TimerPurpose::reevaluation, std::max(kMinReevaluationDelay, delay));
  }

  void setRequestTimer(RequestId id, TimerPurpose purpose, Micros delay) {
    context_.setTimer(timerIdFor(id, purpose), delay, id);
  }

  // ---- attempts ----

  // If attempts can be cancelled, the policy enforces the timeout itself, because it can then extend the
  // timeout of an attempt at a busy endpoint.
  void send(TrackedRequest& request, InFlightAttempt attempt) {
    const RequestId id = request.arrival.id;
    attempt.timeout = retryPolicy_.timeoutFor(request, attempt);
    attemptTracker_.recordSend(request, attempt);
    const bool policyEnforcesTimeout = settings_.canCancel && attempt.timeout > 0;
    context_.emit(Send{id, attempt.endpoint, policyEnforcesTimeout ? 0 : attempt.timeout});
    if (policyEnforcesTimeout) setRequestTimer(id, TimerPurpose::attemptTimeout, attempt.timeout);
  }

  void on(const StreamStarted& event) {
    if (TrackedRequest* request = findInFlightRequest(event.id, event.attempt))
      attemptTracker_.recordStart(*request);
  }

  void on(const AttemptEnded& event) {
    TrackedRequest* request = findInFlightRequest(event.id, event.attempt);
    if (request == nullptr) return;
    attemptTracker_.recordEnd(*request, event);
    if (event.requestEnded) request->ended = true;
    if (request->ended) return finish(*request);
    advance(*request);
  }

  // An endpoint that was active after the attempt was sent is busy, not failing. Abandoning the attempt would
  // leave its load at the endpoint as wasted work and aggravate the overload. The attempt is therefore
  // cancelled only if the endpoint has been silent or, where the activity belonged to later attempts, the
  // connection is stalled.
  void checkAttemptTimeout(TrackedRequest& request) {
    if (!request.attempt || request.attempt->started || request.attempt->timeout == 0) return;
    const RequestId id = request.arrival.id;
    InFlightAttempt& attempt = *request.attempt;
    const Micros remainingTime = attempt.sentAt + attempt.timeout - context_.now();
    if (remainingTime > 0 || isEndpointBusy(id, attempt))
      return setRequestTimer(id, TimerPurpose::attemptTimeout, std::max(remainingTime, attempt.timeout / 2));
    context_.emit(Cancel{id, attempt.number});
    attempt.timeout = 0;
  }

  bool isEndpointBusy(RequestId id, const InFlightAttempt& attempt) {
    const Endpoint& endpoint = registry_.at(attempt.endpoint);
    const InFlightAttempt* awaitingAttempt = endpoint.awaitingResponse.find(id);
    const bool isStalled = awaitingAttempt && timeouts_.isStalled(*awaitingAttempt, 1);
    return OutlierDetector::wasActiveAfter(endpoint, attempt.sentAt) && !isStalled;
  }

  TrackedRequest* findInFlightRequest(RequestId id, int number) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || !found->second.attempt || found->second.attempt->number != number)
      return nullptr;
    return &found->second;
  }

  // ---- end of a request: exactly one final response, then all KV state is released ----

  void on(const RequestCancelled& event) {
    const auto found = requests_.find(event.id);
    if (found == requests_.end()) return;
    found->second.cancelled = true;
    finish(found->second);
  }

  void rejectOrFail(TrackedRequest& request) {
    if (!RetryPolicy::mayReject(request)) return fail(request);
    const auto reason = retryPolicy_.hasUsedAllAttempts(request) ? RejectionReason::noAttemptsLeft
                                                                 : RejectionReason::overloaded;
    context_.emit(Reject{request.arrival.id, admission_.retryAfter(request), reason});
    finish(request);
  }

  void fail(TrackedRequest& request) {
    context_.emit(Fail{request.arrival.id});
    finish(request);
  }

  // Keeps a request with an attempt in flight until that attempt ends, since the attempt may still create a
  // KV state that has to be released.
  void finish(TrackedRequest& request) {
    const RequestId id = request.arrival.id;
    request.ended = true;
    if (request.attempt && !request.attempt->started && settings_.canCancel)
      context_.emit(Cancel{id, request.attempt->number});
    context_.emit(Release{id});
    if (!request.attempt) requests_.erase(id);
  }

  // ---- counts and timers ----

  void on(const PromptCounted& event) {
    const auto found = requests_.find(event.id);
    if (found != requests_.end()) found->second.arrival.counts = event.counts;
  }

  void on(const TimerFired& event) {
    const TimerPurpose purpose = purposeOf(event.id);
    if (purpose == TimerPurpose::update) return update();
    const auto found = requests_.find(requestIdOf(event.id));
    if (found == requests_.end() || found->second.ended) return;
    TrackedRequest& request = found->second;
    const bool hasStarted = request.attempt && request.attempt->started;
    if (purpose == TimerPurpose::attemptTimeout) return checkAttemptTimeout(request);
    if (purpose == TimerPurpose::reevaluation && !request.attempt) return advance(request);
    if (purpose == TimerPurpose::deadline && !hasStarted) rejectOrFail(request);
  }

  // Periodic maintenance; computes the aggregates that are too expensive to compute for each request.
  void update() {
    isUpdateScheduled_ = true;
    context_.setTimer(timerIdFor({0}, TimerPurpose::update), kUpdateInterval);
    if (settings_.discovery == Discovery::poll && !isSubscribed_) context_.emit(Subscribe{});
    affinity_.expire();
    slowStart_.update();
    queues_.update();
    memory_.update();
    sample_.update();
    outliers_.sendProbes();
    registry_.removeUnused();
    outliers_.eraseRemoved();
    prefixes_.expire();
  }

  const Settings settings_;
  DecisionContext context_;
  // Hash key of this router, so that routers break ties between equal endpoints differently.
  const PrefixKey routerKey_;
  const EstimatedTime smallestObjective_ = smallestTtftObjective(settings_);
  TrackedRequests requests_;
  EndpointRegistry registry_{routerKey_};
  bool isSubscribed_ = false;
  bool isUpdateScheduled_ = false;

  // Each module is declared after the modules that it references.
  PrefillCostModel costModel_ = initialCostModel(settings_);
  AttemptTimeouts timeouts_{context_, smallestObjective_};
  TrafficSample sample_{registry_, requests_, settings_.routers};
  PrefixCacheIndex prefixes_{context_};
  AffinityHashing affinity_{context_, registry_, routerKey_};
  SpeedEstimator speeds_{context_};
  SlowStart slowStart_{context_, registry_, settings_, routerKey_};
  QueueEstimator queues_{{context_, registry_, costModel_, timeouts_, sample_, slowStart_},
                         smallestObjective_};
  FirstTokenEstimator firstTokens_{{context_, queues_, sample_}, smallestObjective_};
  KvMemoryEstimator memory_{context_, registry_, sample_};
  RejectionEstimator rejections_{context_};
  OutlierDetector outliers_{{context_, registry_, requests_, timeouts_, settings_}};
  RetryPolicy retryPolicy_{{context_, settings_, timeouts_, firstTokens_}};
  CandidateFinder candidates_{{registry_, outliers_, slowStart_, rejections_, prefixes_}, routerKey_};
  PrefillEstimator prefills_{{costModel_, prefixes_, queues_, speeds_, sample_}};
  PrefillSelector prefillSelector_{
      {context_, registry_, candidates_, prefills_, prefixes_, rejections_}, routerKey_, smallestObjective_};
  DecodeSelector decodeSelector_{
      {candidates_, memory_, rejections_, speeds_}, routerKey_, smallestObjective_};
  AdmissionController admission_{{context_, settings_, registry_, candidates_, prefills_, firstTokens_},
                                 smallestObjective_};
  KvHoldPolicy kvHold_{context_, settings_, smallestObjective_};
  CombinedShare combinedShare_{{context_, registry_, firstTokens_, prefillSelector_, prefills_, queues_}};
  AttemptTracker attemptTracker_{{context_, settings_, registry_, timeouts_, costModel_, prefixes_, affinity_,
                                  speeds_, queues_, firstTokens_, memory_, rejections_, outliers_,
                                  slowStart_}};
};

RoutingPolicy::RoutingPolicy(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
RoutingPolicy::RoutingPolicy(RoutingPolicy&&) noexcept = default;
RoutingPolicy& RoutingPolicy::operator=(RoutingPolicy&&) noexcept = default;
RoutingPolicy::~RoutingPolicy() = default;

void RoutingPolicy::handle(Micros now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

}  // namespace garnethook
