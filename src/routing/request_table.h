/// The active requests of a router.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/active_request.h"

namespace garnethook::routing {

/// Owns the active requests, and knows which of them are pending (without a completion) and which are
/// finished (to be erased once the events at hand are processed).
class RequestTable {
 public:
  /// Adds a request. `instance`: beginning of the trace id of a request that brings none. References to
  /// requests are valid until their erase().
  ActiveRequest& add(Request request, Client& client, Micros now, const std::string& instance);
  /// The request; null where it is not active.
  ActiveRequest* find(RequestId id);
  /// The request; null where it is not active.
  const ActiveRequest* find(RequestId id) const;
  /// The request, where this attempt of it is in flight; else null.
  ActiveRequest* findInFlight(AttemptId attempt);
  /// The request, where this attempt is in flight and its answer has not begun; else null.
  ActiveRequest* findUnstarted(AttemptId attempt);
  /// Whether the request is active.
  bool contains(RequestId id) const { return requests_.contains(id.value); }
  /// Ends the pending request: its client is returned and is not referred to any more.
  Client& finish(ActiveRequest& active);
  /// Forgets a finished request.
  void erase(RequestId id) { requests_.erase(id.value); }

  /// The requests that finish() was called for since clearFinished(), in that order.
  const std::vector<RequestId>& finished() const { return finished_; }
  /// Empties finished().
  void clearFinished() { finished_.clear(); }
  /// Requests without a completion.
  std::size_t pendingCount() const { return pendingCount_; }
  /// Pending requests, and those with an attempt still in flight.
  std::size_t size() const { return requests_.size(); }
  /// Pending requests in the order of their arrival.
  std::vector<RequestId> pendingIds() const;
  /// Calls back for each pending request whose answer has not begun.
  void forEachAwaitingResponse(const std::function<void(RequestId, const Request&)>& callback) const;

 private:
  std::unordered_map<std::uint64_t, ActiveRequest> requests_;
  std::vector<RequestId> finished_;
  std::size_t pendingCount_ = 0;
  std::uint64_t nextId_ = 1;
};

}  // namespace garnethook::routing
