/// Log lines of a running router: what happens to requests, attempts, connections and the endpoint list. The
/// names of events and keys are listed in docs/on-call.md.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "log/log.h"
#include "platform/discovery/endpoint_list.h"
#include "platform/discovery/watch_error.h"
#include "platform/http_frontend/close_reason.h"
#include "routing/router.h"

namespace garnethook::platform {

/// Observes the router and writes a line for each event. Runs on the loop's thread.
class RouterLogger final : public routing::Observer {
 public:
  /// `classNames`: request classes, in the order of the settings.
  RouterLogger(log::Log log, std::vector<std::string> classNames);

  /// Unusable entries of a list: one line for each cause, however many entries have it.
  void logEntryErrors(const std::vector<EntryError>& errors);

  /// The list of endpoints has changed. Also learns the names that later lines use.
  void logEndpointList(const EndpointListChange& change, const EndpointList& list);

  /// A watch of discovery failed.
  void logWatchError(const std::string& address, const WatchError& error);

  /// A client's request could not be read, or asked for nothing there is. One line for each cause between two
  /// calls of `resetRejectionCauses`; the status line counts all.
  void logRejection(int status, std::string_view cause);

  /// Lets each cause of rejections have its line again.
  void resetRejectionCauses() { loggedRejectionCauses_.clear(); }

  /// A client's connection ended. `trace`: of its open request; `wasResponseOwed`: that request still had a
  /// response to get, which violates a rule.
  void logConnectionClosed(CloseReason reason, std::string_view trace, bool wasResponseOwed);

  /// An action or a task of the loop threw. Implements routing::Observer.
  void onActionFailed(const std::string& what) override;

 private:
  std::string endpointName(EndpointId id) const;

  void onAttempt(const routing::AttemptSpec& attempt) override;
  void onAttemptEnded(routing::AttemptId id, EndpointId endpoint,
                      const routing::AttemptResult& result) override;
  void onCompletion(RequestId id, const routing::Request& request, const routing::Completion& completion,
                    Micros duration) override;
  void onCancelled(RequestId id) override;
  void onPolicyLog(const std::string& text) override;
  void onViolation(routing::Violation violation, RequestId id, const routing::Request& request) override;
  void onRelease(const routing::ReleaseCall& call, std::string_view traceId) override;
  void onReleaseEnded(const routing::ReleaseCall& call, bool ok) override;
  void onKvReservation(const routing::KvReservationEvent& event) override;

  log::Log log_;
  std::vector<std::string> classNames_;
  std::map<std::uint64_t, std::string> endpointNames_;
  std::set<std::string, std::less<>> loggedRejectionCauses_;  // since the latest reset
};

}  // namespace garnethook::platform
