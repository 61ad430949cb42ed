/// The active requests of a router.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/active_request.h"

namespace garnethook::routing {

/// Owns the active requests and tracks which of them are pending (neither completed nor cancelled) and which
/// are finished (to be erased after the queued events are processed).
class RequestTable {
 public:
  /// Adds a request. `instance`: prefix of the generated trace id if the request has none. References to a
  /// request are valid until its erase().
  ActiveRequest& add(Request request, Client& client, Micros now, const std::string& instance);
  /// Returns the request; null if it is not active.
  ActiveRequest* find(RequestId id);
  /// Returns the request; null if it is not active.
  const ActiveRequest* find(RequestId id) const;
  /// Returns the request if this attempt of it is in flight, null otherwise.
  ActiveRequest* findInFlight(AttemptId attempt);
  /// Returns the request if this attempt is in flight and its response has not started, null otherwise.
  ActiveRequest* findUnstarted(AttemptId attempt);
  /// Whether the request is active.
  bool contains(RequestId id) const { return requests_.contains(id.value); }
  /// Marks a pending request as finished. Returns its client and removes the reference to it.
  Client& finish(ActiveRequest& active);
  /// Erases a finished request.
  void erase(RequestId id) { requests_.erase(id.value); }

  /// Requests for which finish() was called since clearFinished(), in the order of the calls.
  const std::vector<RequestId>& finished() const { return finished_; }
  /// Empties finished().
  void clearFinished() { finished_.clear(); }
  /// Number of pending requests.
  std::size_t pendingCount() const { return pendingCount_; }
  /// Number of requests that are pending or have an attempt in flight.
  std::size_t size() const { return requests_.size(); }
  /// Returns the pending requests in the order of their arrival.
  std::vector<RequestId> pendingIds() const;
  /// Calls `callback` for each pending request whose response has not started.
  void forEachAwaitingResponse(const std::function<void(RequestId, const Request&)>& callback) const;

 private:
  std::unordered_map<std::uint64_t, ActiveRequest> requests_;
  std::vector<RequestId> finished_;
  std::size_t pendingCount_ = 0;
  std::uint64_t nextId_ = 1;
};

}  // namespace garnethook::routing
