/// Log lines of a running router about requests, attempts, connections and the endpoint list. The names of
/// events and keys are listed in docs/on-call.md.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "engine/connection_close_reason.h"
#include "log/log.h"
#include "platform/discovery/endpoint_list.h"
#include "platform/discovery/watch_error.h"
#include "platform/http_frontend/close_reason.h"
#include "routing/router.h"

namespace garnethook::platform {

/// Observes the router and writes a log line for each event. Runs on the loop's thread.
class RouterLogger final : public routing::Observer {
 public:
  /// `classNames`: names of the request classes, in the order of the settings.
  RouterLogger(log::Log log, std::vector<std::string> classNames);

  /// Logs the unusable entries of a list: one line per cause, with the number of entries.
  void logEntryErrors(const std::vector<EntryError>& errors);

  /// Logs the stored copy of an earlier list, which is not in use yet.
  void logStoredList(const EndpointList& list);

  /// Logs a change of the endpoint list, and stores the endpoint names for later lines.
  void logEndpointList(const EndpointListChange& change, const EndpointList& list);

  /// Logs an error of the discovery watch.
  void logWatchError(const std::string& address, const WatchError& error);

  /// Logs a request that could not be decoded or asked for an unknown resource. Writes one line per cause
  /// between two calls of `resetRejectionCauses`; the status line counts all rejections.
  void logRejection(int status, std::string_view cause);

  /// Allows each cause of rejections to be logged again.
  void resetRejectionCauses() { loggedRejectionCauses_.clear(); }

  /// Logs the end of a client's connection. `trace`: trace id of its open request; `wasResponsePending`: that
  /// request had not received its response, which violates a rule.
  void logConnectionClosed(CloseReason reason, std::string_view trace, bool wasResponsePending);

  /// Logs the close of a connection to an engine.
  void logEngineConnectionClosed(const engine::ClosedConnection& connection);

  /// Logs an exception from an action of the router or a task of the loop.
  void onActionFailed(const std::string& what) override;

 private:
  struct KnownEndpoint {
    std::string name;
    timing::UnixTime reportedStart;
  };
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
  void onReleaseDue(routing::AttemptId id, EndpointId endpoint, routing::DeliveryState delivery) override;
  void onKvReservation(const routing::KvReservationEvent& event) override;
  void onEndpointRestarted(const routing::EndpointRestartEvent& event) override;

  log::Log log_;
  std::vector<std::string> classNames_;
  std::map<std::uint64_t, KnownEndpoint> endpoints_;
  std::set<std::string, std::less<>> loggedRejectionCauses_;  // since the last reset
};

}  // namespace garnethook::platform
