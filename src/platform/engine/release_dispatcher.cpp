#include "platform/engine/release_dispatcher.h"

#include <algorithm>
#include <utility>

#include "engine/control_exchange.h"
#include "platform/engine/protocol.h"

namespace garnethook::platform {
namespace {

// Interval at which waiting calls check for a free connection, since probes and other exchanges free
// connections too.
constexpr Micros kWaitingCallPollInterval = 10'000;
// Number of passes over a route. The second pass reaches endpoints that were briefly unreachable.
constexpr std::size_t kRoutePasses = 2;
// An endpoint that does not respond may occupy at most 1/kConnectionShareDivisor of the control connections.
constexpr std::size_t kConnectionShareDivisor = 3;

bool isSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

ReleaseDispatcher::ReleaseDispatcher(net::Loop& loop, engine::ConnectionPool& connections,
                                     Micros kvReleaseTimeout, std::string ownZone,
                                     CompletionCallback onCompleted)
    : loop_(loop),
      connections_(connections),
      hedgeDelay_(releaseHedgeDelay(kvReleaseTimeout)),
      ownZone_(std::move(ownZone)),
      onCompleted_(std::move(onCompleted)),
      waitingCallAlarm_(loop),
      timers_(loop) {}

void ReleaseDispatcher::start(const routing::ReleaseCall& call, const std::string& traceId) {
  std::vector<ReleaseCandidate> candidates;
  for (const EndpointId id :
       selectReleaseCandidates(connections_.listedEndpoints(), call.endpoint, call.request.value)) {
    const auto& spec = *connections_.find(id);
    candidates.push_back(
        {id, spec.cell, spec.zone, spec.state == EndpointState::running, connections_.responsiveness(id)});
  }
  auto pending = std::make_shared<PendingCall>();
  pending->call = call;
  pending->traceId = traceId;
  pending->route = releaseRoute(call.endpoint, ownZone_, std::move(candidates), call.request.value);
  enqueue(pending);
  sendWaiting();
}

std::size_t ReleaseDispatcher::maxTries(const PendingCall& pending) {
  return kRoutePasses * pending.route.size();
}

// ---- calls that wait for a connection, in FIFO order ----

void ReleaseDispatcher::enqueue(const PendingCallPointer& pending) {
  if (!std::exchange(pending->isWaiting, true)) waiting_.push_back(pending);
}

void ReleaseDispatcher::sendWaiting() {
  for (auto item = waiting_.begin(); item != waiting_.end() && !connections_.isControlLimitReached();) {
    const PendingCallPointer pending = *item;
    if (!pending->isFinished && !canSend(*pending)) {
      ++item;
      continue;
    }
    item = waiting_.erase(item);
    pending->isWaiting = false;
    if (!pending->isFinished) send(pending);
  }
  if (!waiting_.empty()) waitingCallAlarm_.start(kWaitingCallPollInterval, [this] { sendWaiting(); });
}

// Whether the call's next target may be tried now. A target with too many outstanding tries yields to the
// next available endpoint of this pass; otherwise, in a network partition, all calls would wait for the same
// unresponsive endpoint.
bool ReleaseDispatcher::canSend(PendingCall& pending) {
  if (pending.nextTryIndex >= maxTries(pending)) return true;
  const std::size_t position = pending.nextTryIndex % pending.route.size();
  const auto next = pending.route.begin() + static_cast<std::ptrdiff_t>(position);
  const auto available =
      std::find_if(next, pending.route.end(), [this](EndpointId id) { return !isAtOutstandingLimit(id); });
  if (available == pending.route.end()) return false;
  std::rotate(next, available, available + 1);
  return true;
}

std::size_t ReleaseDispatcher::maxOutstandingPerEndpoint() const {
  return std::max<std::size_t>(1, connections_.options().controlConnections / kConnectionShareDivisor);
}

bool ReleaseDispatcher::isAtOutstandingLimit(EndpointId endpoint) const {
  if (connections_.options().controlConnections == 0) return false;
  const auto found = outstandingByEndpoint_.find(endpoint.value);
  return found != outstandingByEndpoint_.end() && found->second >= maxOutstandingPerEndpoint();
}

// ---- one call ----

// A release is idempotent, so the next endpoint is tried while a response from another is outstanding.
void ReleaseDispatcher::send(const PendingCallPointer& pending) {
  while (pending->nextTryIndex < maxTries(*pending) &&
         connections_.find(pending->route[pending->nextTryIndex % pending->route.size()]) == nullptr)
    ++pending->nextTryIndex;
  if (pending->nextTryIndex >= maxTries(*pending)) {
    if (pending->outstanding == 0) finish(pending, false);
    return;
  }
  const EndpointId target = pending->route[pending->nextTryIndex % pending->route.size()];
  // Idle connections may all be dead without any indication, so only the first try of a call may reuse one.
  const bool mayReuse = pending->nextTryIndex == 0 && !pending->call.isRetry;
  ++pending->nextTryIndex;
  scheduleNextTry(pending);
  auto done = [this, pending, target](int status, const std::optional<LoadReport>&) {
    onResponse(pending, target, status);
  };
  connections_.start(
      target, std::make_unique<engine::ControlExchange>(std::move(done)),
      formatControlRequest(*connections_.find(target), "DELETE", releasePath(pending->traceId)),
      connections_.options().controlTimeout,
      mayReuse ? engine::ConnectionReuse::allowed : engine::ConnectionReuse::never);
  ++pending->outstanding;
  ++outstandingByEndpoint_[target.value];
}

void ReleaseDispatcher::scheduleNextTry(const PendingCallPointer& pending) {
  if (pending->nextTryIndex >= maxTries(*pending)) return;
  timers_.after(hedgeDelay_, [this, pending, expected = pending->nextTryIndex] {
    if (pending->isFinished || pending->nextTryIndex != expected) return;
    enqueue(pending);
    sendWaiting();
  });
}

// The exchange still counts as active, so waiting calls are sent in the next iteration of the event loop.
void ReleaseDispatcher::onResponse(const PendingCallPointer& pending, EndpointId target, int status) {
  --pending->outstanding;
  if (const auto found = outstandingByEndpoint_.find(target.value); --found->second == 0)
    outstandingByEndpoint_.erase(found);
  if (isSuccess(status)) finish(pending, true);
  if (!pending->isFinished) enqueue(pending);
  if (!waiting_.empty()) waitingCallAlarm_.start(0, [this] { sendWaiting(); });
}

void ReleaseDispatcher::finish(const PendingCallPointer& pending, bool accepted) {
  if (std::exchange(pending->isFinished, true)) return;
  connections_.post([this, call = pending->call, accepted] { onCompleted_(call, accepted); });
}

}  // namespace garnethook::platform
