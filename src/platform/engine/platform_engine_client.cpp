#include "platform/engine/platform_engine_client.h"

#include <utility>

#include "engine/attempt.h"
#include "platform/engine/protocol.h"
#include "platform/engine/relay_exchange.h"

namespace garnethook::platform {
namespace {

// An answer takes a few milliseconds; what is held has 300 ms more than the settings say.
constexpr Micros kConfirmWithin = 120'000;
constexpr Micros kControlPause = 10'000;  // before a release that found no free connection looks again

}  // namespace

void PlatformEngineClient::begin(const routing::AttemptSpec& order) {
  const auto* spec = pool_.find(order.endpoint);
  if (spec == nullptr || pool_.full(order.endpoint)) {
    const bool full = spec != nullptr;
    return pool_.later([this, id = order.attempt, full] {
      events_->onAttemptEnded(id, {.outcome = full ? Outcome::rejected : Outcome::connectFailed,
                                   .leftRouter = false,
                                   .text = full ? "all connections are in use" : "no address of the engine"});
    });
  }
  auto write = [this, endpoint = order.endpoint, request = engineRequest(*spec, order, loop_.now())](
                   Micros now) -> std::optional<std::string> {
    // Whoever drains may get nothing new, though it was chosen before that was known.
    if (!pool_.running(endpoint) || (request.sendBy > 0 && now > request.sendBy)) return std::nullopt;
    return requestText(request, now);
  };
  pool_.run(order.attempt, order.endpoint,
            std::make_unique<RelayExchange>(*events_, order.attempt, order.phase, meanings_),
            std::move(write), engine::reuseFor(order));
}

void PlatformEngineClient::release(EndpointId endpoint, RequestId request, const std::string& traceId) {
  std::vector<ReleaseCandidate> listed;
  for (const EndpointId id : releaseWindow(pool_.listed(), endpoint, request.value)) {
    const auto& spec = *pool_.find(id);
    listed.push_back({id, spec.cell, spec.zone, spec.state == EndpointState::running, pool_.word(id)});
  }
  auto release = std::make_shared<Release>();
  release->route = releaseRoute(endpoint, ownZone_, std::move(listed), request.value);
  release->holder = endpoint;
  release->request = request;
  release->traceId = traceId;
  askNext(release);
}

// A release may be said any number of times, so the next engine is asked while another is still waited for.
void PlatformEngineClient::askNext(const std::shared_ptr<Release>& release) {
  // In a cut many releases wait for engines that say nothing: they take turns.
  if (pool_.controlsFull()) {
    timers_.after(kControlPause, [this, release] {
      if (!release->over) askNext(release);
    });
    return;
  }
  auto& at = release->next;
  while (at < release->route.size() && pool_.find(release->route[at]) == nullptr) ++at;
  if (at == release->route.size()) {
    if (release->out == 0) end(release, false);
    return;
  }
  const EndpointId target = release->route[at++];
  ++release->out;
  auto done = [this, release](int status, const std::optional<LoadReport>&) {
    --release->out;
    if (release->over) return;
    if (status >= 200 && status < 300) return end(release, true);
    askNext(release);
  };
  pool_.run(target, std::make_unique<engine::ControlExchange>(std::move(done)),
            callText(*pool_.find(target), "DELETE", releaseTarget(release->traceId)),
            pool_.options().controlTimeout);
  if (at < release->route.size())
    timers_.after(hedge_, [this, release, after = at] {
      if (!release->over && release->next == after) askNext(release);
    });
}

void PlatformEngineClient::end(const std::shared_ptr<Release>& release, bool ok) {
  if (std::exchange(release->over, true)) return;
  pool_.later([this, holder = release->holder, request = release->request, ok] {
    events_->onReleaseEnded(holder, request, ok);
  });
}

// Any answer is a sign of life, whatever its status.
void PlatformEngineClient::checkLiveness(routing::AttemptId attempt, EndpointId endpoint) {
  const auto* spec = pool_.find(endpoint);
  if (spec == nullptr) return pool_.later([this, attempt] { events_->onLivenessChecked(attempt, false); });
  auto done = [this, attempt](int status, const std::string&) {
    events_->onLivenessChecked(attempt, status != 0);
  };
  pool_.run(endpoint, std::make_unique<engine::DocumentExchange>(std::move(done)),
            callText(*spec, "GET", pool_.options().probePath), kConfirmWithin);
}

void PlatformEngineClient::probe(EndpointId endpoint) {
  const auto* spec = pool_.find(endpoint);
  if (spec == nullptr)
    return pool_.later([this, endpoint] { events_->onProbeEnded(endpoint, false, std::nullopt); });
  auto done = [this, endpoint](int status, const std::string& body) {
    events_->onProbeEnded(endpoint, status >= 200 && status < 300, parseReport(body, meanings_));
  };
  pool_.run(endpoint, std::make_unique<engine::DocumentExchange>(std::move(done)),
            callText(*spec, "GET", pool_.options().probePath), pool_.options().controlTimeout);
}

}  // namespace garnethook::platform
