#include "platform/engine/release_dispatcher.h"

#include <algorithm>
#include <utility>

#include "engine/control_exchange.h"
#include "platform/engine/protocol.h"

namespace garnethook::platform {
namespace {

// How often calls that wait for a connection look for one: probes and other exchanges free some as well.
constexpr Micros kWaitInterval = 10'000;
// How often a route is followed. The second time finds endpoints that were out of reach for a moment.
constexpr std::size_t kPasses = 2;
// An endpoint that does not answer may keep one in this many of the connections for releases.
constexpr std::size_t kShareOfOneEndpoint = 3;

bool isSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

ReleaseDispatcher::ReleaseDispatcher(net::Loop& loop, engine::ConnectionPool& connections,
                                     Micros kvReleaseTimeout, std::string ownZone, Done done)
    : loop_(loop),
      connections_(connections),
      hedgeDelay_(releaseHedgeDelay(kvReleaseTimeout)),
      ownZone_(std::move(ownZone)),
      done_(std::move(done)),
      waitAlarm_(loop),
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

std::size_t ReleaseDispatcher::triesOf(const PendingCall& pending) { return kPasses * pending.route.size(); }

// ---- calls that wait for a connection: the first come, first served ----

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
  if (!waiting_.empty()) waitAlarm_.start(kWaitInterval, [this] { sendWaiting(); });
}

// Whether the call's next target may be tried now. One at which too many calls wait for an answer gives way
// to others of this pass: in a cut all calls would wait for the same silent endpoint.
bool ReleaseDispatcher::canSend(PendingCall& pending) {
  if (pending.nextTry >= triesOf(pending)) return true;
  const std::size_t position = pending.nextTry % pending.route.size();
  const auto next = pending.route.begin() + static_cast<std::ptrdiff_t>(position);
  const auto idle = std::find_if(next, pending.route.end(), [this](EndpointId id) { return !isTooBusy(id); });
  if (idle == pending.route.end()) return false;
  std::rotate(next, idle, idle + 1);
  return true;
}

std::size_t ReleaseDispatcher::maxOutstandingAt() const {
  return std::max<std::size_t>(1, connections_.options().controlConnections / kShareOfOneEndpoint);
}

bool ReleaseDispatcher::isTooBusy(EndpointId endpoint) const {
  if (connections_.options().controlConnections == 0) return false;
  const auto found = outstandingAt_.find(endpoint.value);
  return found != outstandingAt_.end() && found->second >= maxOutstandingAt();
}

// ---- one call ----

// A release may be sent any number of times, so the next endpoint is tried while another is still waited for.
void ReleaseDispatcher::send(const PendingCallPointer& pending) {
  while (pending->nextTry < triesOf(*pending) &&
         connections_.find(pending->route[pending->nextTry % pending->route.size()]) == nullptr)
    ++pending->nextTry;
  if (pending->nextTry >= triesOf(*pending)) {
    if (pending->outstanding == 0) finish(pending, false);
    return;
  }
  const EndpointId target = pending->route[pending->nextTry % pending->route.size()];
  // Kept connections may be dead without a sign, all of them at once: only the first try is made on one.
  const bool mayReuse = pending->nextTry == 0 && !pending->call.isRetry;
  ++pending->nextTry;
  scheduleNextTry(pending);
  auto done = [this, pending, target](int status, const std::optional<LoadReport>&) {
    onAnswer(pending, target, status);
  };
  connections_.start(
      target, std::make_unique<engine::ControlExchange>(std::move(done)),
      formatControlRequest(*connections_.find(target), "DELETE", releasePath(pending->traceId)),
      connections_.options().controlTimeout,
      mayReuse ? engine::ConnectionReuse::allowed : engine::ConnectionReuse::never);
  ++pending->outstanding;
  ++outstandingAt_[target.value];
}

void ReleaseDispatcher::scheduleNextTry(const PendingCallPointer& pending) {
  if (pending->nextTry >= triesOf(*pending)) return;
  timers_.after(hedgeDelay_, [this, pending, expected = pending->nextTry] {
    if (pending->isFinished || pending->nextTry != expected) return;
    enqueue(pending);
    sendWaiting();
  });
}

// The exchange still counts as under way, so calls that wait are sent in the next turn.
void ReleaseDispatcher::onAnswer(const PendingCallPointer& pending, EndpointId target, int status) {
  --pending->outstanding;
  if (const auto found = outstandingAt_.find(target.value); --found->second == 0) outstandingAt_.erase(found);
  if (isSuccess(status)) finish(pending, true);
  if (!pending->isFinished) enqueue(pending);
  if (!waiting_.empty()) waitAlarm_.start(0, [this] { sendWaiting(); });
}

void ReleaseDispatcher::finish(const PendingCallPointer& pending, bool taken) {
  if (std::exchange(pending->isFinished, true)) return;
  connections_.post([this, call = pending->call, taken] { done_(call, taken); });
}

}  // namespace garnethook::platform
