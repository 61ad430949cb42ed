/// Passes events to the routing policy and executes the actions that it returns.
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
  /// Called when all enqueued events have been processed.
  virtual void onEventsProcessed() = 0;
};

/// Queue of events for the policy. An event that results from executing an action is processed after the
/// current event, so that calls of the policy are never nested.
class PolicyEventQueue {
 public:
  /// `context` and `executor` must outlive this object. Throws std::invalid_argument if the policy does not
  /// support the settings.
  PolicyEventQueue(const RouterContext& context, ActionExecutor& executor);
  /// Adds an event. Processes it before returning, unless events are already being processed.
  void enqueue(Event event);

 private:
  void processEvents();
  void executeAll(const std::vector<Action>& actions);

  const RouterContext& context_;
  ActionExecutor& executor_;
  RoutingPolicy policy_;
  std::vector<Event> events_;
  std::size_t nextEventIndex_ = 0;
  bool isProcessing_ = false;
};

}  // namespace garnethook::routing
