#include "routing/request_table.h"

#include <algorithm>
#include <utility>

namespace garnethook::routing {

ActiveRequest& RequestTable::add(Request request, Client& client, Micros now, const std::string& instance) {
  const RequestId id{nextId_++};
  ActiveRequest& active = requests_[id.value];
  active.id = id;
  active.request = std::move(request);
  active.client = &client;
  active.arrivedAt = now;
  active.traceId =
      active.request.traceId.empty() ? instance + "-" + std::to_string(id.value) : active.request.traceId;
  ++pendingCount_;
  return active;
}

ActiveRequest* RequestTable::find(RequestId id) {
  const auto found = requests_.find(id.value);
  return found == requests_.end() ? nullptr : &found->second;
}

const ActiveRequest* RequestTable::find(RequestId id) const {
  const auto found = requests_.find(id.value);
  return found == requests_.end() ? nullptr : &found->second;
}

ActiveRequest* RequestTable::findInFlight(AttemptId attempt) {
  ActiveRequest* active = find(attempt.request);
  return active != nullptr && active->isInFlight(attempt.number) ? active : nullptr;
}

ActiveRequest* RequestTable::findUnstarted(AttemptId attempt) {
  ActiveRequest* active = findInFlight(attempt);
  return active != nullptr && !active->attempt->hasStarted ? active : nullptr;
}

Client& RequestTable::finish(ActiveRequest& active) {
  Client& client = *std::exchange(active.client, nullptr);
  finished_.push_back(active.id);
  --pendingCount_;
  return client;
}

std::vector<RequestId> RequestTable::pendingIds() const {
  std::vector<RequestId> ids;
  for (const auto& [id, active] : requests_)
    if (!active.isFinished()) ids.push_back({id});
  std::sort(ids.begin(), ids.end());
  return ids;
}

void RequestTable::forEachAwaitingResponse(
    const std::function<void(RequestId, const Request&)>& callback) const {
  for (const auto& [id, active] : requests_)
    if (!active.isFinished() && !active.hasResponseStarted()) callback({id}, active.request);
}

}  // namespace garnethook::routing
