/// Manages requests between their frontend and their engines. Reports every event to the routing policy and
/// executes every action that the policy returns; makes no routing decisions itself. Time, timers and engines
/// are accessed through interfaces, so that the same code runs on sockets and in simulated time.
///
/// Router connects components that each own one concern: the active requests (request_table.h), attempts
/// (attempt_runner.h), responses (token_relay.h, stream_guard.h), completions (request_completer.h), KV
/// reservations (kv_reservation_releaser.h), the policy's events (policy_event_queue.h), the platform's rules
/// (rule_enforcer.h) and the state of endpoints (endpoint_directory.h).
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "policy/routing_policy.h"
#include "routing/attempt_runner.h"
#include "routing/completion.h"
#include "routing/counters.h"
#include "routing/endpoint_directory.h"
#include "routing/engine_client.h"
#include "routing/kv_reservation_releaser.h"
#include "routing/observer.h"
#include "routing/options.h"
#include "routing/policy_event_queue.h"
#include "routing/request_completer.h"
#include "routing/request_table.h"
#include "routing/router_context.h"
#include "routing/rule_enforcer.h"
#include "routing/stream_guard.h"
#include "routing/token_relay.h"
#include "timing/owned_timers.h"

namespace garnethook::routing {

/// A router. Not thread-safe: all calls and events must occur on one thread.
class Router final : public EngineClientEvents, private ActionExecutor {
 public:
  /// `timers`, `engines` and `observer` must outlive the router. Throws std::invalid_argument if the policy
  /// does not support the settings.
  Router(const Options& options, timing::Timers& timers, EngineClient& engines, Observer& observer);
  ~Router() override = default;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Accepts a request. `client` receives its tokens and one completion, the latter possibly before this
  /// function returns. `client` must stay valid until the completion or until cancel().
  RequestId accept(Request request, Client& client);
  /// Cancels a request because its client disconnected or cancelled it. Ends its attempt; the client receives
  /// no further calls.
  void cancel(RequestId id);
  /// Stops reading the response to a request from its engine because its client does not read it, or goes on.
  void pauseResponse(RequestId id, bool paused);
  /// Like cancel(), but the client first receives a completion with the disposition `failed`.
  void abort(RequestId id, FailureReason reason, const std::string& text);
  /// Replaces the token counts of a request; does nothing if the request is not pending.
  void updateTokenCounts(RequestId id, std::vector<PromptCount> counts);
  /// Calls `callback` for each pending request whose response has not started.
  void forEachAwaitingResponse(const std::function<void(RequestId, const Request&)>& callback) const {
    requests_.forEachAwaitingResponse(callback);
  }
  /// Handles an update of the endpoint list.
  void onEndpointUpdate(const EndpointUpdate& update);
  /// Completes every pending request immediately; new requests are rejected.
  void stop();

  void onTokens(AttemptId attempt, std::string_view text, std::uint32_t count,
                std::span<const std::uint32_t> ids) override;
  void onStreamProgress(AttemptId attempt) override { tokens_.onStreamProgress(attempt); }
  void onAttemptEnded(AttemptId attempt, const AttemptResult& result) override;
  void onProbeEnded(EndpointId endpoint, bool ok, const std::optional<LoadReport>& report) override;
  void onReleaseEnded(const ReleaseCall& call, bool ok) override;

  /// Counters since the start of the router.
  const Counters& counters() const { return counters_; }
  /// KV reservations and their releases.
  const KvReservationTracker& kvReservations() const { return reservations_.tracker(); }
  /// Rule checks, with the numbers of violations.
  const RuleGuard& ruleGuard() const { return rules_.guard(); }
  /// Number of requests without a completion.
  std::size_t pendingRequests() const { return requests_.pendingCount(); }
  /// Number of requests that are pending or have an attempt in flight.
  std::size_t activeRequests() const { return requests_.size(); }
  /// Number of timers that are running for requests, streams and the policy.
  std::size_t runningTimers() const { return timers_.size(); }
  /// Settings of the routing policy.
  const Settings& settings() const { return options_.settings; }

 private:
  void execute(const Action& action) override;
  void onEventsProcessed() override { eraseFinished(); }
  void execute(const Send& send);
  void execute(const Cancel& cancel);
  void execute(const Reject& reject);
  void execute(const Fail& fail);
  void execute(const Release& release);
  void execute(const SetTimer& setTimer);
  void cancelPolicyTimers(ActiveRequest& active);
  void execute(const Probe& probe);
  void execute(const Subscribe&) {}
  void execute(const Log& log);
  void reportNotSent(const Send& send, ActiveRequest* active);
  std::optional<Completion> rejectionOnArrival(const ActiveRequest& active) const;
  bool isPastDeadline(const ActiveRequest& active) const;
  ActiveRequest* findPending(RequestId id);
  void eraseFinished();

  Options options_;
  Counters counters_;
  timing::OwnedTimers timers_;
  RouterContext context_;
  EndpointDirectory endpoints_;
  RequestTable requests_;
  RuleEnforcer rules_;
  KvReservationReleaser reservations_;
  PolicyEventQueue events_;
  RequestCompleter completer_;
  AttemptRunner::Dependencies deps_;
  AttemptRunner attempts_;
  StreamGuard streamGuard_;
  TokenRelay tokens_;
  bool isStopping_ = false;
};

}  // namespace garnethook::routing
