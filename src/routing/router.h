// The life of a request between its front and its engines. Tells the decision module every event and carries
// out every action of it; decides nothing about where a request goes. Time, timers and engines come by
// interface, so that the same code runs on sockets and in simulated time.
//
// What it decides by itself stands in modules of its own: when a running stream is ended (stream_guard.h),
// what is released when (held_states.h), which ending is allowed (final_rules.h), and the last word on what
// would break a rule (rule_guard.h).
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "policy/routing_policy.h"
#include "routing/execution_history.h"
#include "routing/kv_reservation_tracker.h"
#include "routing/rule_guard.h"
#include "routing/stream_guard.h"
#include "routing/types.h"
#include "timing/owned_timers.h"

namespace garnethook::routing {

struct Options {
  Settings settings;
  std::uint64_t seed = 1;
  std::string instance;  // beginning of work ids; unique among routers and their restarts
  std::size_t openRequests = 20'000;
  StreamGuard::Options streams;
  KvReservationTracker::Options held;
  Micros stopRetryAfter = 1'000'000;  // told to clients that are refused because the router goes down
};

struct Counters {
  std::uint64_t taken = 0;
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t left = 0;  // the client went away first
  std::uint64_t attempts = 0;
  std::uint64_t tokens = 0;
  std::uint64_t dropped = 0;        // late pieces of attempts that were over
  std::uint64_t failedActions = 0;  // that threw when they were carried out
  std::map<FailureReason, std::uint64_t> causes;
  std::map<Outcome, std::uint64_t> outcomes;
};

// What happened, for logs and recordings. Called at once; must not call the router.
class Observer {
 public:
  virtual ~Observer() = default;
  virtual void onAttempt(const AttemptSpec&) {}
  virtual void onAttemptEnded(AttemptId, EndpointId, const AttemptResult&) {}
  // An engine read the prompt and told how many tokens it has.
  virtual void onPromptRead(EndpointId, const Request&, double /*tokens*/) {}
  virtual void onCompletion(RequestId, const Request&, const Completion&, Micros /*took*/) {}
  virtual void onCancelled(RequestId) {}
  virtual void onModuleLog(const std::string&) {}
  virtual void onActionFailed(const std::string& /*what*/) {}
  // A rule would have been broken, or was: see RuleGuard.
  virtual void onViolation(Violation, RequestId, const Request&) {}
  // An engine is asked to let go of what it holds for a request, and how that ended.
  virtual void onRelease(EndpointId, RequestId, std::string_view /*workId*/) {}
  virtual void onReleaseEnded(EndpointId, RequestId, bool /*ok*/) {}
  // Every event given to the decision module and what it answered (recordings for replays).
  virtual void onDecision(Micros, const Event&, const std::vector<Action>&) {}
};

class Router final : public EngineClientEvents {
 public:
  Router(const Options& options, timing::Timers& timers, EngineClient& engines, Observer& observer);
  ~Router() override = default;

  // Takes a request. `client` gets its tokens and the one final answer, the latter maybe before this returns;
  // it must live until then or until leave().
  RequestId accept(Request request, Client& client);
  // The client is gone, or wants no more: nothing is called on it any more, engines are told to stop.
  void cancel(RequestId id);
  // As leave(), and the client is told the ending first.
  void abort(RequestId id, FailureReason cause, const std::string& text);
  // The counts of a request that is open, anew. Others are left alone.
  void updateTokenCounts(RequestId id, std::vector<PromptCount> counts);
  // Requests whose answer has not begun.
  void forEachPending(const std::function<void(RequestId, const Request&)>& call) const;
  // What the list of engines tells; see EndpointUpdate.
  void onList(const EndpointUpdate& list);
  // Every request that is still open gets its final answer now; new ones are refused.
  void stop();

  void onTokens(AttemptId attempt, std::string_view text, std::uint32_t count,
                std::span<const std::uint32_t> ids) override;
  void onAttemptEnded(AttemptId attempt, const AttemptResult& result) override;
  void onProbeEnded(EndpointId endpoint, bool ok, const std::optional<LoadReport>& report) override;
  void onReleaseEnded(EndpointId endpoint, RequestId request, bool ok) override;
  void onLivenessChecked(AttemptId attempt, bool alive) override;

  const Counters& counters() const { return counters_; }
  const KvReservationTracker& held() const { return held_; }
  const RuleGuard& rules() const { return rules_; }
  std::size_t open() const { return open_; }           // requests without a final answer
  std::size_t lives() const { return lives_.size(); }  // and those with an attempt out after it
  const Settings& settings() const { return options_.settings; }

 private:
  struct Out {
    int number = 0;
    EndpointId endpoint;
    Phase phase = Phase::combined;
    Micros sentAt = 0;
    bool started = false;
    bool confirmed = false;  // its engine gave a sign of life on another connection since
    Micros firstToken = 0;
    Micros lastToken = 0;
    std::uint32_t tokens = 0;
    timing::TimerKey timeout;
    timing::TimerKey unreached;
  };
  struct ActiveRequest {
    Request request;
    Client* client = nullptr;  // none once answered
    Micros arrived = 0;
    Micros usableUntil = 0;
    std::string traceId;
    int attempts = 0;
    std::optional<Out> out;
    ExecutionHistory exposed;
    std::optional<EndpointLocation> firstPlace;  // where it first may have run
    std::string kvTransferParams;
    std::optional<EndpointId> stateAt;
    std::string lastTrouble;  // of an engine, for the final answer's text
    std::uint32_t nextToken = 0;
    Usage usage;
    timing::TimerKey guard;
  };

  Phase phaseAt(EndpointId endpoint, const ActiveRequest& life) const;
  bool allowed(const Send& a, const ActiveRequest* life);
  void expose(ActiveRequest& life, const Out& out);
  void violated(Violation violation, RequestId id, const ActiveRequest* life);
  void give(Event event);
  void pump();
  void carryOut(const Action& action);
  void carry(const Send& a);
  void carry(const Cancel& a);
  void carry(const Reject& a);
  void carry(const Fail& a);
  void carry(const Release& a);
  void carry(const SetTimer& a);
  void carry(const Probe& a);
  void carry(const Subscribe&) {}
  void carry(const Log& a);
  void finish(RequestId id, ActiveRequest& life, Completion ending);
  void endAttempt(RequestId id, ActiveRequest& life, Outcome outcome, bool last);
  void breakStream(RequestId id, ActiveRequest& life, FailureReason cause, Outcome outcome,
                   const std::string& text);
  void guardStream(RequestId id);
  void stateDue(AttemptId attempt);
  ActiveRequest* unstarted(AttemptId attempt);
  bool arrivedForCertain(RequestId id, const Out& out) const;
  void releaseBeside(AttemptId attempt, const Out& out);
  void settle();
  void forgetWork(RequestId id);
  void callReleases(const std::vector<KvReservationTracker::Call>& calls);
  void lookAtReleases();
  ActiveRequest* find(RequestId id);

  Options options_;
  timing::OwnedTimers timers_;
  EngineClient& engines_;
  Observer& observer_;
  RoutingPolicy brain_;
  StreamGuard guard_;
  KvReservationTracker held_;
  RuleGuard rules_;
  std::unordered_map<std::uint64_t, ActiveRequest> lives_;
  std::unordered_map<std::uint64_t, std::string> works_;  // work ids of requests that were read somewhere
  std::unordered_map<std::uint64_t, Role> roles_;
  std::unordered_map<std::uint64_t, EndpointLocation> places_;
  std::unordered_map<std::uint64_t, Micros> starts_;  // last known start time of each engine
  std::unordered_set<std::uint64_t> running_;         // engines that the list calls running
  std::vector<Event> queue_;
  std::size_t queueAt_ = 0;
  std::vector<RequestId> done_;  // answered or left, to be settled after the pump
  bool pumping_ = false;
  bool stopping_ = false;
  std::size_t open_ = 0;
  std::uint64_t nextId_ = 1;
  Counters counters_;
  timing::Alarm releaseAlarm_;
};

}  // namespace garnethook::routing
