#include "routing/request_completer.h"

namespace garnethook::routing {

void RequestCompleter::complete(ActiveRequest& active, Completion completion) {
  if (!active.hasResponseStarted()) rules_.checkCompletionTime(active);
  Client& client = requests_.finish(active);
  count(completion);
  if (completion.disposition != Disposition::completed) {
    completion.usage = active.usage;
    completion.usage.outputTokens = active.nextTokenIndex;
  }
  context_.observer.onCompletion(active.id, active.request, completion,
                                 context_.timers.now() - active.arrivedAt);
  client.onCompletion(completion);
}

void RequestCompleter::count(const Completion& completion) {
  Counters& counters = context_.counters;
  switch (completion.disposition) {
    case Disposition::completed: ++counters.completed; return;
    case Disposition::rejected: ++counters.rejected; break;
    case Disposition::failed: ++counters.failed; break;
  }
  ++counters.failureReasons[completion.failureReason];
}

}  // namespace garnethook::routing
