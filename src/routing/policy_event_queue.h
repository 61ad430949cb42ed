/// Gives events to the routing policy and executes the actions that it answers with.
#pragma once

#include <cstdint>
#include <exception>
#include <vector>

#include "policy/routing_policy.h"
#include "routing/router_context.h"

namespace garnethook::routing {

/// Executes the policy's actions.
class ActionExecutor {
 public:
  virtual ~ActionExecutor() = default;
  /// Executes one action; may enqueue events.
  virtual void execute(const Action& action) = 0;
  /// All events that were enqueued have been processed.
  virtual void onEventsProcessed() = 0;
};

/// The events that wait for the policy. An event that comes from executing an action is processed after the
/// current one, so that the policy is never called from within its own answer.
class PolicyEventQueue {
 public:
  /// `context` and `executor` are referred to. Throws std::invalid_argument where the policy can't work with
  /// the settings.
  PolicyEventQueue(const RouterContext& context, ActionExecutor& executor);
  /// Adds an event. It is processed before this returns, unless events are being processed already.
  void enqueue(Event event);

 private:
  void processEvents();
  void executeAll(const std::vector<Action>& actions);

  const RouterContext& context_;
  ActionExecutor& executor_;
  RoutingPolicy policy_;
  std::vector<Event> events_;
  std::size_t nextEvent_ = 0;
  bool isProcessing_ = false;
};

}  // namespace garnethook::routing
