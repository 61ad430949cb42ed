/// The life of a request between its frontend and its engines. Reports every event to the routing policy and
/// executes every action of it; decides nothing about where a request goes. Time, timers and engines come by
/// interface, so that the same code runs on sockets and in simulated time.
///
/// Router ties its parts together; each owns one concern: the active requests (request_table.h), attempts
/// (attempt_runner.h), answers (token_relay.h, stream_guard.h), completions (request_completer.h), KV cache
/// reservations (kv_reservation_releaser.h), the policy's events (policy_event_queue.h), the platform's rules
/// (rule_enforcer.h) and what is known of endpoints (endpoint_directory.h).
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

/// One router. Not thread-safe: all calls and events come on one thread.
class Router final : public EngineClientEvents, private ActionExecutor {
 public:
  /// `timers`, `engines` and `observer` are referred to. Throws std::invalid_argument where the policy can't
  /// work with the settings.
  Router(const Options& options, timing::Timers& timers, EngineClient& engines, Observer& observer);
  ~Router() override = default;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /// Accepts a request. `client` receives its tokens and one completion, the latter possibly before this
  /// returns; it must live until then or until cancel().
  RequestId accept(Request request, Client& client);
  /// The client has gone, or wants no more: nothing is called on it any more, and its attempt is ended.
  void cancel(RequestId id);
  /// As cancel(), and the client receives a completion first.
  void abort(RequestId id, FailureReason reason, const std::string& text);
  /// Replaces the token counts of a pending request; others are left alone.
  void updateTokenCounts(RequestId id, std::vector<PromptCount> counts);
  /// Calls back for each pending request whose answer has not begun.
  void forEachAwaitingResponse(const std::function<void(RequestId, const Request&)>& callback) const {
    requests_.forEachAwaitingResponse(callback);
  }
  /// The list of endpoints changed.
  void onEndpointUpdate(const EndpointUpdate& update);
  /// Every pending request receives its completion now; new ones are rejected.
  void stop();

  void onTokens(AttemptId attempt, std::string_view text, std::uint32_t count,
                std::span<const std::uint32_t> ids) override;
  void onAttemptEnded(AttemptId attempt, const AttemptResult& result) override;
  void onProbeEnded(EndpointId endpoint, bool ok, const std::optional<LoadReport>& report) override;
  void onReleaseEnded(const ReleaseCall& call, bool ok) override;
  void onLivenessChecked(AttemptId attempt, bool alive) override;

  /// What was counted so far.
  const Counters& counters() const { return counters_; }
  /// KV cache reservations and their releases.
  const KvReservationTracker& kvReservations() const { return reservations_.tracker(); }
  /// Violations of rules that were counted.
  const RuleGuard& ruleGuard() const { return rules_.guard(); }
  /// Number of requests without a completion.
  std::size_t pendingRequests() const { return requests_.pendingCount(); }
  /// Number of pending requests and of those with an attempt still in flight.
  std::size_t activeRequests() const { return requests_.size(); }
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
  void execute(const Probe& probe);
  void execute(const Subscribe&) {}
  void execute(const Log& log);
  void refuseAttempt(const Send& send, ActiveRequest* active);
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
  AttemptRunner::Parts parts_;
  AttemptRunner attempts_;
  StreamGuard streamGuard_;
  TokenRelay tokens_;
  bool isStopping_ = false;
};

}  // namespace garnethook::routing
