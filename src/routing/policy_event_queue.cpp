#include "routing/policy_event_queue.h"

#include <utility>

namespace garnethook::routing {

PolicyEventQueue::PolicyEventQueue(const RouterContext& context, ActionExecutor& executor)
    : context_(context), executor_(executor), policy_(context.options.settings, context.options.seed) {}

void PolicyEventQueue::enqueue(Event event) {
  events_.push_back(std::move(event));
  if (!isProcessing_) processEvents();
}

void PolicyEventQueue::processEvents() {
  isProcessing_ = true;
  std::vector<Action> actions;
  while (nextEventIndex_ < events_.size()) {
    const Event event = std::move(events_[nextEventIndex_++]);
    actions.clear();
    const Micros now = context_.timers.now();
    policy_.handle(now, event, actions);
    context_.observer.onDecision(now, event, actions);
    executeAll(actions);
  }
  events_.clear();
  nextEventIndex_ = 0;
  isProcessing_ = false;
  executor_.onEventsProcessed();
}

// An action that throws must not prevent the remaining actions, nor block the queue for all later events.
void PolicyEventQueue::executeAll(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    try {
      executor_.execute(action);
    } catch (const std::exception& error) {
      ++context_.counters.failedActions;
      context_.observer.onActionFailed(error.what());
    }
  }
}

}  // namespace garnethook::routing
