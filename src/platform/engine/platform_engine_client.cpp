#include "platform/engine/platform_engine_client.h"

#include <utility>

#include "engine/control_exchange.h"
#include "platform/engine/protocol.h"
#include "platform/engine/relay_exchange.h"

namespace garnethook::platform {
namespace {

// A response takes a few milliseconds; the time for a release is 300 ms longer than the settings say.
constexpr Micros kLivenessTimeout = 120'000;
// Before a release that found no free connection tries again.
constexpr Micros kControlRetryDelay = 10'000;

bool isSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

PlatformEngineClient::PlatformEngineClient(net::Loop& loop, const engine::Options& options,
                                           deployment_config::ReportMeanings meanings,
                                           Micros kvReleaseTimeout, std::string ownZone, bool canProbe)
    : PooledEngineClient(loop, options),
      loop_(loop),
      meanings_(std::move(meanings)),
      hedgeDelay_(releaseHedgeDelay(kvReleaseTimeout > 0 ? kvReleaseTimeout : options.controlTimeout)),
      ownZone_(std::move(ownZone)),
      canProbe_(canProbe),
      timers_(loop) {}

void PlatformEngineClient::begin(const routing::AttemptSpec& attempt) {
  const auto* const spec = findForAttempt(attempt, "all connections are in use");
  if (spec == nullptr) return;
  auto writer =
      [this, endpoint = attempt.endpoint,
       request = makeAttemptRequest(*spec, attempt, loop_.now())](Micros now) -> std::optional<std::string> {
    // A draining endpoint may get nothing new, though it was chosen before it was known to drain.
    const bool isTooLate = request.sendBy > 0 && now > request.sendBy;
    if (isTooLate || !connections().isRunning(endpoint)) return std::nullopt;
    return formatAttemptRequest(request, now);
  };
  connections().start(attempt.attempt, attempt.endpoint,
                      std::make_unique<RelayExchange>(events(), attempt.attempt, attempt.phase, meanings_),
                      std::move(writer), engine::reuseFor(attempt));
}

void PlatformEngineClient::release(const routing::ReleaseCall& call, const std::string& traceId) {
  std::vector<ReleaseCandidate> candidates;
  for (const EndpointId id :
       selectReleaseCandidates(connections().listedEndpoints(), call.endpoint, call.request.value)) {
    const auto& spec = *connections().find(id);
    candidates.push_back(
        {id, spec.cell, spec.zone, spec.state == EndpointState::running, connections().responsiveness(id)});
  }
  auto release = std::make_shared<PendingRelease>();
  release->route = releaseRoute(call.endpoint, ownZone_, std::move(candidates), call.request.value);
  release->call = call;
  release->traceId = traceId;
  tryNextTarget(release);
}

// A release may be sent any number of times, so the next endpoint is tried while another is still waited for.
void PlatformEngineClient::tryNextTarget(const std::shared_ptr<PendingRelease>& release) {
  // In a partition many releases wait for silent endpoints: they take turns.
  if (connections().isControlFull()) {
    timers_.after(kControlRetryDelay, [this, release] {
      if (!release->isFinished) tryNextTarget(release);
    });
    return;
  }
  const auto& route = release->route;
  auto& next = release->nextTarget;
  while (next < route.size() && connections().find(route[next]) == nullptr) ++next;
  if (next == route.size()) {
    if (release->outstanding == 0) finishRelease(release, false);
    return;
  }
  sendRelease(release, route[next++]);
  if (next == route.size()) return;
  timers_.after(hedgeDelay_, [this, release, expected = next] {
    if (!release->isFinished && release->nextTarget == expected) tryNextTarget(release);
  });
}

void PlatformEngineClient::sendRelease(const std::shared_ptr<PendingRelease>& release, EndpointId target) {
  ++release->outstanding;
  auto done = [this, release](int status, const std::optional<LoadReport>&) {
    --release->outstanding;
    if (release->isFinished) return;
    if (isSuccess(status)) return finishRelease(release, true);
    tryNextTarget(release);
  };
  connections().start(
      target, std::make_unique<engine::ControlExchange>(std::move(done)),
      formatControlRequest(*connections().find(target), "DELETE", releasePath(release->traceId)),
      connections().options().controlTimeout);
}

void PlatformEngineClient::finishRelease(const std::shared_ptr<PendingRelease>& release, bool succeeded) {
  if (std::exchange(release->isFinished, true)) return;
  connections().post([this, call = release->call, succeeded] { events().onReleaseEnded(call, succeeded); });
}

// Any response shows that the endpoint is alive, whatever its status.
void PlatformEngineClient::checkLiveness(routing::AttemptId attempt, EndpointId endpoint) {
  const auto* const spec = connections().find(endpoint);
  if (spec == nullptr)
    return connections().post([this, attempt] { events().onLivenessChecked(attempt, false); });
  auto done = [this, attempt](int status, const std::string&) {
    events().onLivenessChecked(attempt, status != 0);
  };
  connections().start(endpoint, std::make_unique<engine::DocumentExchange>(std::move(done)),
                      formatControlRequest(*spec, "GET", connections().options().probePath),
                      kLivenessTimeout);
}

void PlatformEngineClient::probe(EndpointId endpoint) {
  const auto* const spec = connections().find(endpoint);
  if (spec == nullptr)
    return connections().post([this, endpoint] { events().onProbeEnded(endpoint, false, std::nullopt); });
  auto done = [this, endpoint](int status, const std::string& body) {
    events().onProbeEnded(endpoint, isSuccess(status), parseLoadReport(body, meanings_));
  };
  connections().start(endpoint, std::make_unique<engine::DocumentExchange>(std::move(done)),
                      formatControlRequest(*spec, "GET", connections().options().probePath),
                      connections().options().controlTimeout);
}

}  // namespace garnethook::platform
