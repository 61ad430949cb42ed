/// @file
/// Carries KV release calls to endpoints: where each is tried, when the next endpoint is tried as well, and
/// how the calls share the connections that are kept for them.
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

/// Sends each release call along its route, and along it once more, until an endpoint has taken it. Lives on
/// the loop's thread.
class ReleaseDispatcher {
 public:
  /// Told how a call ended: `taken`: an endpoint has taken it.
  using Done = std::function<void(const routing::ReleaseCall& call, bool taken)>;

  /// @param loop runs everything; must outlive the dispatcher
  /// @param connections to the endpoints; must outlive the dispatcher
  /// @param kvReleaseTimeout time for a release, in microseconds
  /// @param ownZone this router's zone, as the endpoint list names it
  /// @param done called once for each call, in a later turn of the loop
  ReleaseDispatcher(net::Loop& loop, engine::ConnectionPool& connections, Micros kvReleaseTimeout,
                    std::string ownZone, Done done);

  /// Starts a call. `traceId`: by which endpoints know the request.
  void start(const routing::ReleaseCall& call, const std::string& traceId);
  /// Calls that wait for a connection. Probes have to let them go first.
  std::size_t waitingCalls() const { return waiting_.size(); }

 private:
  // A call that is under way at one endpoint or several.
  struct PendingCall {
    routing::ReleaseCall call;
    std::string traceId;
    std::vector<EndpointId> route;
    std::size_t nextTry = 0;      // counts on through the passes
    std::size_t outstanding = 0;  // tries without an answer
    bool isWaiting = false;       // for a connection
    bool isFinished = false;
  };
  using PendingCallPointer = std::shared_ptr<PendingCall>;

  static std::size_t triesOf(const PendingCall& pending);
  std::size_t maxOutstandingAt() const;
  void enqueue(const PendingCallPointer& pending);
  void sendWaiting();
  bool canSend(PendingCall& pending);
  bool isTooBusy(EndpointId endpoint) const;
  void send(const PendingCallPointer& pending);
  void scheduleNextTry(const PendingCallPointer& pending);
  void onAnswer(const PendingCallPointer& pending, EndpointId target, int status);
  void finish(const PendingCallPointer& pending, bool taken);

  net::Loop& loop_;
  engine::ConnectionPool& connections_;
  Micros hedgeDelay_;
  std::string ownZone_;
  Done done_;
  std::deque<PendingCallPointer> waiting_;
  std::unordered_map<std::uint64_t, std::size_t> outstandingAt_;  // tries without an answer, by endpoint
  timing::Alarm waitAlarm_;
  timing::OwnedTimers timers_;
};

}  // namespace garnethook::platform
