// Dispatch of events, and the steps of a request. The modules that Impl holds decide what each step needs;
// the order of the steps can be read off Impl::advance.
//
// The usual path follows MemServe: a request is prefilled where that costs least, by a fitted cost model of
// prompt length and cached share plus the endpoint's queue, and is then decoded in that endpoint's cell where
// most room is. Everything else acts only when something fails or is overloaded.
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

// What a timer is for; its identifier holds the request's number and this.
enum class TimerPurpose : std::uint64_t { deadline, reevaluation, update, attemptTimeout };
constexpr std::uint64_t kTimerPurposes = 4;

TimerId timerFor(RequestId id, TimerPurpose purpose) {
  return {id.value * kTimerPurposes + static_cast<std::uint64_t>(purpose)};
}
TimerPurpose purposeOf(TimerId id) { return static_cast<TimerPurpose>(id.value % kTimerPurposes); }
RequestId requestOf(TimerId id) { return {id.value / kTimerPurposes}; }

}  // namespace

class RoutingPolicy::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed)
      : settings_(validated(settings)), context_(seed), routerHashKey_{mixBits(seed + 1)} {}

  void handle(Micros now, const Event& event, std::vector<Action>& actions) {
    context_.begin(now, actions);
    outliers_.invalidateOutages();
    if (!isUpdating_) update();
    std::visit([this](const auto& kindOfEvent) { on(kindOfEvent); }, event);
  }

 private:
  // ---- endpoints ----

  void on(const EndpointUpdate& list) {
    using Kind = EndpointUpdate::Kind;
    isSubscribed_ = list.kind != Kind::failure && list.kind != Kind::staleCopy;
    if (list.kind == Kind::failure) return;
    if (list.kind != Kind::delta)
      for (auto& [id, endpoint] : registry_.all()) endpoint.isListed = false;
    for (const EndpointEntry& entry : list.entries) updateEndpoint(entry);
    registry_.rebuildIndex();
    outliers_.invalidateOutages();
    affinity_.updateWeights();
  }

  void updateEndpoint(const EndpointEntry& entry) {
    Endpoint& endpoint = registry_.at(entry.id);
    if (endpoint.entry.startedAt != entry.startedAt) forgetBeforeRestart(endpoint);
    endpoint.entry = entry;
    endpoint.isListed = entry.state == EndpointState::running;
    const bool isKnownKind = entry.kind && *entry.kind < settings_.kinds.size();
    endpoint.role = isKnownKind ? settings_.kinds[*entry.kind].role : Role::decode;
    endpoint.memoryTokens = isKnownKind ? settings_.kinds[*entry.kind].memoryTokens : 0;
  }

  void forgetBeforeRestart(Endpoint& endpoint) {
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
    if (event.report) attempts_.recordReport(*endpoint, *event.report);
    outliers_.recordProbe(event.endpoint, *endpoint, event.ok);
  }

  // ---- steps of a request ----

  void on(const RequestArrived& arrival) {
    if (requests_.contains(arrival.id)) return;
    TrackedRequest& request = requests_[arrival.id];
    request.arrival = arrival;
    if (!arrival.requestClass || *arrival.requestClass >= settings_.classes.size()) return fail(request);
    request.requestClass = settings_.classes[*arrival.requestClass];
    const EstimatedTime perKiloToken = toEstimate(request.requestClass.ttftObjectivePerKiloToken);
    request.objectiveAt = context_.now() + request.requestClass.ttftObjective +
                          toMicros(perKiloToken * arrival.promptTokens / 1000);
    request.deadline = context_.now() + arrival.remaining;
    slowStart_.recordArrival(request);
    context_.setTimer(timerFor(arrival.id, TimerPurpose::deadline), std::max<Micros>(0, arrival.remaining));
    advance(request);
  }

  // Decides what comes next for a request without an attempt in flight.
  void advance(TrackedRequest& request) {
    if (!retries_.mayTry(request)) return rejectOrFail(request);
    if (request.kvStateAt && !releaseExpiredState(request)) return decode(request);
    affinity_.assign(request);
    if (combinedShare_.shouldExecute(request) && executeWhole(request, Role::combined)) return;
    if (const Endpoint* endpoint = prefillSelector_.select(request, Role::prefill))
      return prefill(request, *endpoint);
    if (executeWhole(request, Role::combined)) return;
    if (settings_.decodeEndpointsPrefill && executeWhole(request, Role::decode)) return;
    if (!admission_.mayPrefillLater(request)) return rejectOrFail(request);
    reevaluateAfter(request, admission_.reevaluationInterval());
  }

  void prefill(TrackedRequest& request, const Endpoint& endpoint) {
    InFlightAttempt attempt{.endpoint = endpoint.entry.id, .phase = Phase::prefill};
    estimatePrefill(request, endpoint, attempt);
    attempt.reportedDelay = queues_.reportedDelay(endpoint);
    const Endpoint* next =
        decodeSelector_.select(request, endpoint.entry.cell, DecodeSelector::kMaxOccupancyToAdmit);
    const EstimatedTime firstToken = next ? firstTokens_.expectedTime(*next) : firstTokens_.fleetTime();
    const bool isInTime =
        admission_.isExpectedInTime(request, attempt.predictedTime + firstToken, attempt.prefillTime,
                                    AdmissionController::firstTokenDueAt(request));
    // Without room to decode anywhere there is a jam, which memory shows before first tokens do.
    if (!isInTime || !next) return rejectOrFail(request);
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

  // Sends both phases to one endpoint, if one of that role is expected to be in time.
  bool executeWhole(TrackedRequest& request, Role role) {
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

  // Releases a KV state that was held for too long, so that the prompt is prefilled anew.
  bool releaseExpiredState(TrackedRequest& request) {
    if (!kvHold_.isExpired(request)) return false;
    request.kvStateAt.reset();
    context_.emit(Release{request.arrival.id});
    return true;
  }

  void reevaluateAfter(const TrackedRequest& request, Micros delay) {
    context_.setTimer(timerFor(request.arrival.id, TimerPurpose::reevaluation),
                      std::max(kMinReevaluationDelay, delay));
  }

  // ---- attempts ----

  // With cancellation the policy watches the timeout itself, as it may then give a busy endpoint more time.
  void send(TrackedRequest& request, InFlightAttempt attempt) {
    const RequestId id = request.arrival.id;
    attempt.timeout = retries_.timeoutFor(request, attempt);
    attempts_.recordSend(request, attempt);
    const bool isWatched = settings_.canCancel && attempt.timeout > 0;
    context_.emit(Send{id, attempt.endpoint, isWatched ? 0 : attempt.timeout});
    if (isWatched) context_.setTimer(timerFor(id, TimerPurpose::attemptTimeout), attempt.timeout);
  }

  void on(const StreamStarted& event) {
    if (TrackedRequest* request = findAttempt(event.id, event.attempt)) attempts_.recordStart(*request);
  }

  void on(const AttemptEnded& event) {
    TrackedRequest* request = findAttempt(event.id, event.attempt);
    if (request == nullptr) return;
    attempts_.recordEnd(*request, event);
    if (event.requestEnded) request->ended = true;
    if (request->ended) return finish(*request);
    advance(*request);
  }

  // An endpoint that gave a sign since the send is busy, not failing: giving up on it would leave its load
  // behind as waste and make a jam worse. So only silence ends the attempt: of the endpoint or, where the
  // sign was for a later attempt, of the connection.
  void checkAttemptTimeout(TrackedRequest& request) {
    if (!request.attempt || request.attempt->started || request.attempt->timeout == 0) return;
    const RequestId id = request.arrival.id;
    InFlightAttempt& attempt = *request.attempt;
    const Micros left = attempt.sentAt + attempt.timeout - context_.now();
    if (left > 0 || isBusyWith(id, attempt))
      return context_.setTimer(timerFor(id, TimerPurpose::attemptTimeout),
                               std::max(left, attempt.timeout / 2));
    context_.emit(Cancel{id, attempt.number});
    attempt.timeout = 0;
  }

  bool isBusyWith(RequestId id, const InFlightAttempt& attempt) {
    const Endpoint& endpoint = registry_.at(attempt.endpoint);
    const InFlightAttempt* awaiting = endpoint.awaiting.find(id);
    const bool isStalled = awaiting && timeouts_.isStalled(*awaiting, 1);
    return OutlierDetector::wasActiveAfter(endpoint, attempt.sentAt) && !isStalled;
  }

  TrackedRequest* findAttempt(RequestId id, int number) {
    const auto at = requests_.find(id);
    if (at == requests_.end() || !at->second.attempt || at->second.attempt->number != number) return nullptr;
    return &at->second;
  }

  // ---- a request's end: one final answer, then nothing is held ----

  void on(const RequestCancelled& event) {
    const auto at = requests_.find(event.id);
    if (at == requests_.end()) return;
    at->second.cancelled = true;
    finish(at->second);
  }

  void rejectOrFail(TrackedRequest& request) {
    if (!RetryPolicy::mayReject(request)) return fail(request);
    context_.emit(Reject{request.arrival.id, admission_.retryAfter(request)});
    finish(request);
  }

  void fail(TrackedRequest& request) {
    context_.emit(Fail{request.arrival.id});
    finish(request);
  }

  // A request with an attempt in flight is forgotten at the attempt's end, which may leave a KV state.
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
    const auto at = requests_.find(event.id);
    if (at != requests_.end()) at->second.arrival.counts = event.counts;
  }

  void on(const TimerFired& event) {
    const TimerPurpose purpose = purposeOf(event.id);
    if (purpose == TimerPurpose::update) return update();
    const auto at = requests_.find(requestOf(event.id));
    if (at == requests_.end() || at->second.ended) return;
    TrackedRequest& request = at->second;
    const bool hasStarted = request.attempt && request.attempt->started;
    if (purpose == TimerPurpose::attemptTimeout) return checkAttemptTimeout(request);
    if (purpose == TimerPurpose::reevaluation && !request.attempt) return advance(request);
    if (purpose == TimerPurpose::deadline && !hasStarted) rejectOrFail(request);
  }

  // Regular upkeep; measures what is too dear to be measured for each request.
  void update() {
    isUpdating_ = true;
    context_.setTimer(timerFor({0}, TimerPurpose::update), kUpdateInterval);
    if (settings_.discovery == Discovery::poll && !isSubscribed_) context_.emit(Subscribe{});
    affinity_.expire();
    slowStart_.update();
    queues_.update();
    memory_.update();
    sample_.update();
    outliers_.sendProbes();
    registry_.removeUnused();
    outliers_.forgetRemoved();
    prefixes_.expire();
  }

  const Settings settings_;
  DecisionContext context_;
  const PrefixKey routerHashKey_;  // this router's own order of the endpoints, where they are alike
  const EstimatedTime smallestObjective_ = smallestTtftObjective(settings_);
  TrackedRequests requests_;
  EndpointRegistry registry_{routerHashKey_};
  bool isSubscribed_ = false;
  bool isUpdating_ = false;

  // Each module after those that it works with.
  PrefillCostModel costModel_ = initialCostModel(settings_);
  AttemptTimeouts timeouts_{context_, smallestObjective_};
  TrafficSample sample_{registry_, requests_, settings_.routers};
  PrefixCacheIndex prefixes_{context_};
  AffinityHashing affinity_{context_, registry_, routerHashKey_};
  SpeedEstimator speeds_{context_};
  SlowStart slowStart_{context_, registry_, settings_, routerHashKey_};
  QueueEstimator queues_{{context_, registry_, costModel_, timeouts_, sample_, slowStart_},
                         smallestObjective_};
  FirstTokenEstimator firstTokens_{{context_, queues_, sample_}, smallestObjective_};
  KvMemoryEstimator memory_{context_, registry_, sample_};
  RejectionEstimator rejections_{context_};
  OutlierDetector outliers_{{context_, registry_, requests_, timeouts_, settings_}};
  RetryPolicy retries_{{context_, settings_, timeouts_, firstTokens_}};
  CandidateFinder candidates_{{registry_, outliers_, slowStart_, rejections_, prefixes_}, routerHashKey_};
  PrefillEstimator prefills_{{costModel_, prefixes_, queues_, speeds_, sample_}};
  PrefillSelector prefillSelector_{{context_, registry_, candidates_, prefills_, prefixes_, rejections_},
                                   routerHashKey_,
                                   smallestObjective_};
  DecodeSelector decodeSelector_{
      {candidates_, memory_, rejections_, speeds_}, routerHashKey_, smallestObjective_};
  AdmissionController admission_{{context_, settings_, registry_, candidates_, prefills_, firstTokens_},
                                 smallestObjective_};
  KvHoldPolicy kvHold_{context_, settings_, smallestObjective_};
  CombinedShare combinedShare_{{context_, registry_, firstTokens_, prefillSelector_, prefills_, queues_}};
  AttemptTracker attempts_{{context_, registry_, timeouts_, costModel_, prefixes_, affinity_, speeds_,
                            queues_, firstTokens_, memory_, rejections_, outliers_, slowStart_}};
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
