/// @file
/// Sends KV release calls to endpoints: selects the endpoints of each call, hedges the call over further
/// endpoints, and shares the connections reserved for control requests between calls.
#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine/connection_pool.h"
#include "platform/engine/release_route.h"
#include "routing/release_call.h"
#include "timing/owned_timers.h"

namespace garnethook::platform {

/// Sends each release call to the endpoints of its route in order, in up to two passes, until an endpoint has
/// accepted it. Runs on the event loop's thread.
class ReleaseDispatcher {
 public:
  /// Reports the result of a call; `accepted` is true if an endpoint accepted it.
  using CompletionCallback = std::function<void(const routing::ReleaseCall& call, bool accepted)>;

  /// @param loop event loop that runs all I/O and callbacks; must outlive the dispatcher
  /// @param connections connections to the endpoints; must outlive the dispatcher
  /// @param kvReleaseTimeout time limit for a release, in microseconds
  /// @param ownZone name of this router's zone in the endpoint list
  /// @param onCompleted called once for each call, in a later iteration of the event loop
  ReleaseDispatcher(net::Loop& loop, engine::ConnectionPool& connections, Micros kvReleaseTimeout,
                    std::string ownZone, CompletionCallback onCompleted);

  /// Starts a call.
  /// @param call the release call
  /// @param traceId trace id by which endpoints identify the request
  void start(const routing::ReleaseCall& call, const std::string& traceId);
  /// Number of calls that wait for a connection. Probes must be deferred while there are any.
  std::size_t waitingCallCount() const { return waiting_.size(); }

 private:
  // A call in progress at one or more endpoints.
  struct PendingCall {
    routing::ReleaseCall call;
    std::string traceId;
    std::vector<EndpointId> route;
    std::size_t nextTryIndex = 0;  // keeps counting across passes
    std::size_t outstanding = 0;   // tries without a response
    bool isWaiting = false;        // queued for a connection
    bool isFinished = false;
  };
  using PendingCallPointer = std::shared_ptr<PendingCall>;

  static std::size_t maxTries(const PendingCall& pending);
  std::size_t maxOutstandingPerEndpoint() const;
  void enqueue(const PendingCallPointer& pending);
  void sendWaiting();
  bool canSend(PendingCall& pending);
  bool isAtOutstandingLimit(EndpointId endpoint) const;
  void send(const PendingCallPointer& pending);
  void scheduleNextTry(const PendingCallPointer& pending);
  void onResponse(const PendingCallPointer& pending, EndpointId target, int status);
  void finish(const PendingCallPointer& pending, bool accepted);

  net::Loop& loop_;
  engine::ConnectionPool& connections_;
  Micros hedgeDelay_;
  std::string ownZone_;
  CompletionCallback onCompleted_;
  std::deque<PendingCallPointer> waiting_;
  // Tries without a response, by endpoint id.
  std::unordered_map<std::uint64_t, std::size_t> outstandingByEndpoint_;
  timing::Alarm waitingCallAlarm_;
  timing::OwnedTimers timers_;
};

}  // namespace garnethook::platform
