#include "platform/engine/platform_engines.h"

#include <utility>

#include "engine/attempt.h"
#include "platform/engine/protocol.h"
#include "platform/engine/relay_exchange.h"
#include "platform/engine/release_route.h"

namespace garnethook::platform {

void PlatformEngines::begin(const routing::Order& order) {
  const auto* spec = pool_.find(order.server);
  if (spec == nullptr || pool_.full(order.server)) {
    const bool full = spec != nullptr;
    return pool_.later([this, id = order.attempt, full] {
      events_->onAttemptEnded(id, {.outcome = full ? Outcome::full : Outcome::connectFailed,
                                   .text = full ? "all connections are in use" : "no address of the engine"});
    });
  }
  pool_.run(order.attempt, order.server,
            std::make_unique<RelayExchange>(*events_, order.attempt, order.job, meanings_),
            requestText(*spec, order), order.costly);
}

void PlatformEngines::release(ServerId server, RequestId request, const std::string& workId) {
  std::vector<ReleaseCandidate> listed;
  for (const ServerId id : pool_.listed()) {
    const auto& spec = *pool_.find(id);
    listed.push_back({id, spec.cell, spec.state == ServerState::running});
  }
  releaseAt(releaseRoute(server, std::move(listed), request.value), 0, server, request, workId);
}

void PlatformEngines::releaseAt(std::vector<ServerId> route, std::size_t at, ServerId holder,
                                RequestId request, const std::string& workId) {
  while (at < route.size() && pool_.find(route[at]) == nullptr) ++at;
  if (at == route.size())
    return pool_.later([this, holder, request] { events_->onReleaseEnded(holder, request, false); });
  const ServerId target = route[at];
  auto done = [this, route = std::move(route), at, holder, request, workId](
                  int status, const std::optional<LoadReport>&) mutable {
    if (status >= 200 && status < 300) return events_->onReleaseEnded(holder, request, true);
    releaseAt(std::move(route), at + 1, holder, request, workId);
  };
  pool_.run(target, std::make_unique<engine::ControlExchange>(std::move(done)),
            callText(*pool_.find(target), "DELETE", releaseTarget(workId)), pool_.options().controlTimeout);
}

void PlatformEngines::probe(ServerId server) {
  const auto* spec = pool_.find(server);
  if (spec == nullptr)
    return pool_.later([this, server] { events_->onProbeEnded(server, false, std::nullopt); });
  auto done = [this, server](int status, const std::string& body) {
    events_->onProbeEnded(server, status >= 200 && status < 300, parseReport(body, meanings_));
  };
  pool_.run(server, std::make_unique<engine::DocumentExchange>(std::move(done)),
            callText(*spec, "GET", pool_.options().probePath), pool_.options().controlTimeout);
}

}  // namespace garnethook::platform
