#include "platform/engine/platform_engine_client.h"

#include <utility>

#include "engine/control_exchange.h"
#include "platform/engine/protocol.h"
#include "platform/engine/relay_exchange.h"

namespace garnethook::platform {
namespace {

// Delay before a probe that was deferred in favour of releases is retried.
constexpr Micros kProbeRetryDelay = 20'000;

bool isSuccess(int status) { return status >= 200 && status < 300; }

}  // namespace

PlatformEngineClient::PlatformEngineClient(net::Loop& loop, const engine::Options& options,
                                           deployment_config::ReportMeanings meanings,
                                           Micros kvReleaseTimeout, std::string ownZone)
    : PooledEngineClient(loop, options),
      loop_(loop),
      meanings_(std::move(meanings)),
      timers_(loop),
      releases_(loop, connections(), kvReleaseTimeout > 0 ? kvReleaseTimeout : options.controlTimeout,
                std::move(ownZone), [this](const routing::ReleaseCall& call, bool accepted) {
                  events().onReleaseEnded(call, accepted);
                }) {}

void PlatformEngineClient::begin(const routing::AttemptSpec& attempt) {
  const auto* const spec = findForAttempt(attempt, "all connections are in use");
  if (spec == nullptr) return;
  auto writer =
      [this, endpoint = attempt.endpoint,
       request = makeAttemptRequest(*spec, attempt, loop_.now())](Micros now) -> std::optional<std::string> {
    // A draining endpoint must not receive new work, even if it was selected before it started draining.
    const bool isPastSendDeadline = request.sendDeadline > 0 && now > request.sendDeadline;
    if (isPastSendDeadline || !connections().isRunning(endpoint)) return std::nullopt;
    return formatAttemptRequest(request, now);
  };
  connections().start(attempt.attempt, attempt.endpoint,
                      std::make_unique<RelayExchange>(events(), attempt.attempt, attempt.phase, meanings_),
                      std::move(writer), engine::reuseFor(attempt));
}

void PlatformEngineClient::release(const routing::ReleaseCall& call, const std::string& traceId) {
  releases_.start(call, traceId);
}

// Releases have a deadline, so they take precedence over probes.
void PlatformEngineClient::probe(EndpointId endpoint) {
  if (releases_.waitingCallCount() > 0 || connections().isControlLimitReached()) {
    timers_.after(kProbeRetryDelay, [this, endpoint] { probe(endpoint); });
    return;
  }
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
