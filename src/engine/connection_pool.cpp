#include "engine/connection_pool.h"

#include <algorithm>
#include <utility>

namespace garnethook::engine {

void ConnectionPool::post(std::function<void()> task) {
  loop_.post([task = std::move(task), alive = alive_] {
    if (*alive) task();
  });
}

// ---- endpoints ----

ConnectionPool::Endpoint* ConnectionPool::findEndpoint(EndpointId id) {
  const auto found = endpoints_.find(id.value);
  return found == endpoints_.end() ? nullptr : &found->second;
}

const membership::EndpointSpec* ConnectionPool::find(EndpointId endpoint) const {
  const auto found = endpoints_.find(endpoint.value);
  return found == endpoints_.end() || !found->second.isResolved ? nullptr : &found->second.spec;
}

bool ConnectionPool::isRunning(EndpointId endpoint) const {
  const auto found = endpoints_.find(endpoint.value);
  return found != endpoints_.end() && found->second.isListed &&
         found->second.spec.state == EndpointState::running;
}

const std::vector<EndpointId>& ConnectionPool::listedEndpoints() const {
  if (!listedEndpoints_) {
    listedEndpoints_.emplace();
    for (const auto& [id, endpoint] : endpoints_)
      if (endpoint.isListed && endpoint.isResolved) listedEndpoints_->push_back({id});
    std::sort(listedEndpoints_->begin(), listedEndpoints_->end());
  }
  return *listedEndpoints_;
}

Responsiveness ConnectionPool::responsiveness(EndpointId endpoint) const {
  const auto found = endpoints_.find(endpoint.value);
  return found == endpoints_.end() ? Responsiveness::unknown : found->second.responsiveness;
}

Micros ConnectionPool::lastReceivedAt(EndpointId endpoint) const {
  const auto found = endpoints_.find(endpoint.value);
  return found == endpoints_.end() ? 0 : found->second.lastReceivedAt;
}

void ConnectionPool::update(const membership::EndpointMap& endpoints) {
  std::unordered_set<std::uint64_t> listed;
  for (const auto& [name, spec] : endpoints) listed.insert(spec.id.value);
  for (auto& [id, endpoint] : endpoints_)
    if (!listed.contains(id)) markUnlisted(endpoint);
  apply(endpoints);
}

void ConnectionPool::apply(const membership::EndpointMap& changes) {
  listedEndpoints_.reset();
  for (const auto& [name, spec] : changes) {
    if (spec.state != EndpointState::removed)
      addOrUpdate(spec);
    else if (Endpoint* const existing = findEndpoint(spec.id))
      markUnlisted(*existing);
  }
  removeUnlisted();
}

void ConnectionPool::addOrUpdate(const membership::EndpointSpec& spec) {
  Endpoint& endpoint = endpoints_[spec.id.value];
  const bool hasAddressChanged = endpoint.spec.host != spec.host || endpoint.spec.port != spec.port;
  if (hasAddressChanged || endpoint.spec.startedAt != spec.startedAt) {
    closeIdle(endpoint);
    endpoint.responsiveness = Responsiveness::unknown;
  }
  endpoint.spec = spec;
  endpoint.isListed = true;
  if (!hasAddressChanged && endpoint.isResolved) return;
  try {
    endpoint.address = Poco::Net::SocketAddress(spec.host, spec.port);
    endpoint.isResolved = true;
  } catch (const Poco::Exception&) {
    endpoint.isResolved = false;  // attempts at this endpoint fail without a connection
  }
}

void ConnectionPool::markUnlisted(Endpoint& endpoint) {
  if (std::exchange(endpoint.isListed, false)) endpoint.unlistedAt = loop_.now();
  closeIdle(endpoint);
  unlistedEndpoints_.insert(endpoint.spec.id.value);
}

// Removes endpoints that left the list once their exchanges have ended and the retention time for releases
// has passed.
void ConnectionPool::removeUnlisted() {
  std::erase_if(unlistedEndpoints_, [this](std::uint64_t id) {
    const auto found = endpoints_.find(id);
    if (found == endpoints_.end() || found->second.isListed) return true;
    const bool isRetained = loop_.now() - found->second.unlistedAt < options_.unlistedRetention;
    if (found->second.busyCount > 0 || isRetained) return false;
    endpointsWithIdle_.erase(&found->second);
    endpoints_.erase(found);
    return true;
  });
}

// ---- limits ----

bool ConnectionPool::isAttemptLimitReached(EndpointId endpoint) const {
  const auto found = endpoints_.find(endpoint.value);
  if (found == endpoints_.end()) return false;
  return found->second.busyCount >= options_.connections ||
         (options_.totalConnections > 0 && attempts_.size() >= options_.totalConnections);
}

bool ConnectionPool::isControlLimitReached() const {
  return options_.controlConnections > 0 && busy_.size() - attempts_.size() >= options_.controlConnections;
}

// If the limit on the total number of connections is reached, closes the connection that has been idle for
// the longest time at the endpoint with the most idle connections.
void ConnectionPool::evictIdleAtLimit() {
  if (options_.totalConnections == 0 || busy_.size() + idleCount_ < options_.totalConnections) return;
  std::erase_if(endpointsWithIdle_, [](const Endpoint* endpoint) { return endpoint->idle.empty(); });
  Endpoint* largest = nullptr;
  for (Endpoint* endpoint : endpointsWithIdle_)
    if (largest == nullptr || endpoint->idle.size() > largest->idle.size()) largest = endpoint;
  if (largest == nullptr) return;
  discard(std::move(largest->idle.front()), ConnectionCloseReason::evicted);
  largest->idle.erase(largest->idle.begin());
  --idleCount_;
}

// ---- idle connections ----

void ConnectionPool::addIdle(Endpoint& endpoint, std::unique_ptr<Connection> connection) {
  connection->markIdle();
  endpoint.idle.push_back(std::move(connection));
  endpointsWithIdle_.insert(&endpoint);
  ++idleCount_;
}

void ConnectionPool::closeIdle(Endpoint& endpoint) {
  idleCount_ -= endpoint.idle.size();
  for (auto& connection : endpoint.idle)
    discard(std::move(connection), ConnectionCloseReason::endpointChanged);
  endpoint.idle.clear();
}

// Takes the connection that has been idle for the shortest time, skipping those on which a stray response may
// still arrive. If its idle time rules out reuse, older ones are not tried. Returns null if none may be used.
std::unique_ptr<Connection> ConnectionPool::takeIdle(Endpoint& endpoint, ConnectionReuse reuse) {
  if (reuse == ConnectionReuse::never) return nullptr;
  const bool nonRepeatable = reuse == ConnectionReuse::onlyIfProven;
  for (std::size_t index = endpoint.idle.size(); index-- > 0;) {
    const Micros idleTime = endpoint.idle[index]->idleTime();
    if (ReusePolicy::mayReceiveStrayResponse(idleTime)) continue;
    if (!reusePolicy_.mayReuse(idleTime, nonRepeatable, loop_.now())) return nullptr;
    auto connection = std::move(endpoint.idle[index]);
    endpoint.idle.erase(endpoint.idle.begin() + static_cast<std::ptrdiff_t>(index));
    --idleCount_;
    if (connection->isReusable()) return connection;
    discard(std::move(connection), ConnectionCloseReason::unreadInputOnReuse);
  }
  return nullptr;
}

// A connection is often discarded from within one of its own methods, so it is destroyed in the next
// iteration of the loop.
void ConnectionPool::discard(std::unique_ptr<Connection> connection, ConnectionCloseReason reason) {
  closedCallback_(connection->describeClose(reason));
  loop_.post([owned = std::shared_ptr<Connection>(std::move(connection))] {});
}

// ---- exchanges ----

void ConnectionPool::start(EndpointId endpoint, std::unique_ptr<Exchange> exchange, std::string request,
                           Micros timeout, ConnectionReuse reuse) {
  acquire(endpoints_.at(endpoint.value), reuse)
      .start(std::move(exchange), fixedRequest(std::move(request)), timeout);
}

void ConnectionPool::start(routing::AttemptId attempt, EndpointId endpoint,
                           std::unique_ptr<Exchange> exchange, RequestWriter request, ConnectionReuse reuse) {
  Endpoint& target = endpoints_.at(endpoint.value);
  // A refusal by an endpoint with other open connections is most likely transient, so it is retried once.
  const bool retryIfRefused = target.busyCount > 0 || !target.idle.empty();
  Connection& connection = acquire(target, reuse);
  connection.attempt = attempt;
  attempts_[attempt] = &connection;
  connection.start(std::move(exchange), std::move(request), 0, retryIfRefused);
}

Connection& ConnectionPool::acquire(Endpoint& endpoint, ConnectionReuse reuse) {
  std::unique_ptr<Connection> owned = takeIdle(endpoint, reuse);
  if (!owned) {
    evictIdleAtLimit();
    ++opened_;
    owned = std::make_unique<Connection>(loop_, options_, endpoint.address, endpoint.spec.id,
                                         static_cast<ConnectionOwner&>(*this));
  }
  Connection& connection = *owned;
  busy_[&connection] = std::move(owned);
  ++endpoint.busyCount;
  return connection;
}

void ConnectionPool::cancel(routing::AttemptId attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end()) found->second->cancel();
}

void ConnectionPool::pauseReading(routing::AttemptId attempt, bool paused) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end()) found->second->pauseReading(paused);
}

routing::DeliveryState ConnectionPool::deliveryState(routing::AttemptId attempt) const {
  const auto found = attempts_.find(attempt);
  return found == attempts_.end() ? routing::DeliveryState::undelivered : found->second->deliveryState();
}

void ConnectionPool::onResponsiveness(Connection& connection, bool isResponsive) {
  Endpoint* const endpoint = findEndpoint(connection.endpoint());
  if (endpoint == nullptr) return;
  endpoint->responsiveness = isResponsive ? Responsiveness::responsive : Responsiveness::unresponsive;
  if (isResponsive) endpoint->lastReceivedAt = loop_.now();
}

void ConnectionPool::onFinished(Connection& connection, std::optional<ConnectionCloseReason> closed) {
  Endpoint* const endpoint = findEndpoint(connection.endpoint());
  std::unique_ptr<Connection> owned = removeConnection(connection, endpoint);
  if (!owned) return;
  if (owned->attempt) attempts_.erase(*std::exchange(owned->attempt, std::nullopt));
  const bool mayBeKept = endpoint != nullptr && endpoint->isListed && endpoint->idle.size() < options_.idle;
  if (!closed && mayBeKept) return addIdle(*endpoint, std::move(owned));
  discard(std::move(owned), closed.value_or(ConnectionCloseReason::tooManyIdle));
}

// Removes a busy or idle connection from the pool's containers. Returns null if it was already discarded.
std::unique_ptr<Connection> ConnectionPool::removeConnection(Connection& connection, Endpoint* endpoint) {
  std::unique_ptr<Connection> owned;
  if (const auto busy = busy_.find(&connection); busy != busy_.end()) {
    owned = std::move(busy->second);
    busy_.erase(busy);
    if (endpoint != nullptr) --endpoint->busyCount;
  } else if (endpoint != nullptr) {
    const auto idle = std::find_if(endpoint->idle.begin(), endpoint->idle.end(),
                                   [&](const auto& candidate) { return candidate.get() == &connection; });
    if (idle == endpoint->idle.end()) return nullptr;
    owned = std::move(*idle);
    endpoint->idle.erase(idle);
    --idleCount_;
  }
  return owned;
}

// If a reused connection was dead, the endpoint's connections that have been idle for longer most likely are
// too, so they are discarded.
void ConnectionPool::onReuseOutcome(Connection& connection, Micros idleTime, bool wasDead) {
  reusePolicy_.record(idleTime, wasDead, loop_.now());
  Endpoint* const endpoint = findEndpoint(connection.endpoint());
  if (!wasDead || endpoint == nullptr) return;
  auto& idle = endpoint->idle;
  const auto firstOlder = std::partition(
      idle.begin(), idle.end(), [&](const auto& candidate) { return candidate->idleTime() < idleTime; });
  idleCount_ -= static_cast<std::size_t>(idle.end() - firstOlder);
  for (auto dead = firstOlder; dead != idle.end(); ++dead)
    discard(std::move(*dead), ConnectionCloseReason::siblingBroken);
  idle.erase(firstOlder, idle.end());
}

}  // namespace garnethook::engine
