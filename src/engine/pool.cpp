#include "engine/pool.h"

#include <algorithm>
#include <utility>

namespace garnethook::engine {

void Pool::later(std::function<void()> task) {
  loop_.post([task = std::move(task), alive = alive_] {
    if (*alive) task();
  });
}

const membership::EndpointSpec* Pool::find(EndpointId endpoint) const {
  const auto at = engines_.find(endpoint.value);
  return at == engines_.end() || !at->second.resolved ? nullptr : &at->second.spec;
}

bool Pool::running(EndpointId endpoint) const {
  const auto at = engines_.find(endpoint.value);
  return at != engines_.end() && at->second.listed && at->second.spec.state == EndpointState::running;
}

const std::vector<EndpointId>& Pool::listed() const {
  if (!listed_) {
    listed_.emplace();
    for (const auto& [id, e] : engines_)
      if (e.listed && e.resolved) listed_->push_back({id});
    std::sort(listed_->begin(), listed_->end());
  }
  return *listed_;
}

Word Pool::word(EndpointId endpoint) const {
  const auto at = engines_.find(endpoint.value);
  return at == engines_.end() ? Word::none : at->second.word;
}

void Pool::onHeard(Connection& connection, bool sound) {
  const auto at = engines_.find(connection.endpoint().value);
  if (at != engines_.end()) at->second.word = sound ? Word::heard : Word::lost;
}

bool Pool::full(EndpointId endpoint) const {
  const auto at = engines_.find(endpoint.value);
  return at != engines_.end() &&
         (at->second.busy >= options_.connections ||
          (options_.allConnections > 0 && attempts_.size() >= options_.allConnections));
}

bool Pool::controlsFull() const {
  return options_.controlConnections > 0 && busy_.size() - attempts_.size() >= options_.controlConnections;
}

void Pool::update(const membership::EndpointMap& engines) {
  std::unordered_set<std::uint64_t> stays;
  for (const auto& [name, spec] : engines) stays.insert(spec.id.value);
  for (auto& [id, e] : engines_)
    if (!stays.contains(id)) unlist(e);
  apply(engines);
}

void Pool::apply(const membership::EndpointMap& changes) {
  listed_.reset();
  for (const auto& [name, spec] : changes) {
    const auto known = engines_.find(spec.id.value);
    if (spec.state != EndpointState::removed)
      list(spec);
    else if (known != engines_.end())
      unlist(known->second);
  }
  std::erase_if(leaving_, [this](std::uint64_t id) {
    const auto at = engines_.find(id);
    if (at == engines_.end() || at->second.listed) return true;
    if (at->second.busy > 0) return false;
    resting_.erase(&at->second);
    engines_.erase(at);
    return true;
  });
}

void Pool::list(const membership::EndpointSpec& spec) {
  Engine& e = engines_[spec.id.value];
  const bool moved = e.spec.host != spec.host || e.spec.port != spec.port;
  if (moved || e.spec.startedAt != spec.startedAt) {
    closeIdle(e);
    e.word = Word::none;
  }
  e.spec = spec;
  e.listed = true;
  if (!moved && e.resolved) return;
  try {
    e.address = Poco::Net::SocketAddress(spec.host, spec.port);
    e.resolved = true;
  } catch (const Poco::Exception&) {
    e.resolved = false;  // attempts there end with no connection
  }
}

void Pool::unlist(Engine& e) {
  e.listed = false;
  closeIdle(e);
  leaving_.insert(e.spec.id.value);
}

void Pool::keep(Engine& e, std::unique_ptr<Connection> connection) {
  connection->rest();
  e.idle.push_back(std::move(connection));
  resting_.insert(&e);
  ++idle_;
}

void Pool::closeIdle(Engine& e) {
  idle_ -= e.idle.size();
  for (auto& c : e.idle) discard(std::move(c));
  e.idle.clear();
}

// Idle connections give way to new ones where all together are bounded: the engine with most of them gives up
// the one that has rested longest.
void Pool::makeRoom() {
  if (options_.allConnections == 0 || busy_.size() + idle_ < options_.allConnections) return;
  std::erase_if(resting_, [](const Engine* e) { return e->idle.empty(); });
  Engine* most = nullptr;
  for (Engine* e : resting_)
    if (most == nullptr || e->idle.size() > most->idle.size()) most = e;
  if (most == nullptr) return;
  discard(std::move(most->idle.front()));
  most->idle.erase(most->idle.begin());
  --idle_;
}

// Of the kept connections the one that rested least, those aside that rested too short for a stray answer to
// show; where that one rested too long, no other will do. Nothing where none may be used.
std::unique_ptr<Connection> Pool::takeIdle(Engine& e, Reuse reuse) {
  if (reuse == Reuse::none) return nullptr;
  for (std::size_t at = e.idle.size(); at-- > 0;) {
    const Micros rested = e.idle[at]->rested();
    if (ReusePolicy::mayStray(rested)) continue;
    if (!reuse_.mayReuse(rested, reuse == Reuse::careful, loop_.now())) return nullptr;
    auto own = std::move(e.idle[at]);
    e.idle.erase(e.idle.begin() + static_cast<std::ptrdiff_t>(at));
    --idle_;
    if (own->usable()) return own;
    discard(std::move(own));
  }
  return nullptr;
}

Connection& Pool::connect(Engine& e, Reuse reuse) {
  std::unique_ptr<Connection> own = takeIdle(e, reuse);
  if (!own) {
    makeRoom();
    ++opened_;
    own = std::make_unique<Connection>(loop_, options_, e.address, e.spec.id,
                                       static_cast<ConnectionOwner&>(*this));
  }
  Connection& c = *own;
  busy_[&c] = std::move(own);
  ++e.busy;
  return c;
}

void Pool::onFree(Connection& connection, bool reusable) {
  std::unique_ptr<Connection> own;
  const auto engine = engines_.find(connection.endpoint().value);
  Engine* e = engine == engines_.end() ? nullptr : &engine->second;
  if (const auto at = busy_.find(&connection); at != busy_.end()) {
    own = std::move(at->second);
    busy_.erase(at);
    if (e != nullptr) --e->busy;
  } else if (e != nullptr) {
    const auto same = [&](const auto& c) { return c.get() == &connection; };
    if (const auto idle = std::find_if(e->idle.begin(), e->idle.end(), same); idle != e->idle.end()) {
      own = std::move(*idle);
      e->idle.erase(idle);
      --idle_;
    }
  }
  if (!own) return;
  if (own->attempt) attempts_.erase(*std::exchange(own->attempt, std::nullopt));
  if (reusable && e != nullptr && e->listed && e->idle.size() < options_.idle) {
    keep(*e, std::move(own));
  } else {
    discard(std::move(own));
  }
}

// Where one has died unseen, those that rested longer have most likely done so too.
void Pool::onReused(Connection& connection, Micros rested, bool dead) {
  reuse_.note(rested, dead, loop_.now());
  const auto engine = engines_.find(connection.endpoint().value);
  if (!dead || engine == engines_.end()) return;
  auto& idle = engine->second.idle;
  const auto older =
      std::partition(idle.begin(), idle.end(), [&](const auto& c) { return c->rested() < rested; });
  idle_ -= static_cast<std::size_t>(idle.end() - older);
  for (auto at = older; at != idle.end(); ++at) discard(std::move(*at));
  idle.erase(older, idle.end());
}

// A connection is often given up from within its own call, so it ends in the loop's next turn.
void Pool::discard(std::unique_ptr<Connection> connection) {
  loop_.post([c = std::shared_ptr<Connection>(std::move(connection))] {});
}

void Pool::run(EndpointId endpoint, std::unique_ptr<Exchange> exchange, std::string request, Micros limit) {
  connect(engines_.at(endpoint.value), Reuse::usual)
      .run(std::move(exchange), fixedRequest(std::move(request)), limit);
}

void Pool::run(routing::AttemptId attempt, EndpointId endpoint, std::unique_ptr<Exchange> exchange,
               RequestWriter request, Reuse reuse) {
  Engine& e = engines_.at(endpoint.value);
  // An engine that others of its connections stand with refuses one by chance, and is asked once more.
  const bool alive = e.busy > 0 || !e.idle.empty();
  Connection& c = connect(e, reuse);
  c.attempt = attempt;
  attempts_[attempt] = &c;
  c.run(std::move(exchange), std::move(request), 0, alive);
}

void Pool::abandon(routing::AttemptId attempt) {
  const auto at = attempts_.find(attempt);
  if (at != attempts_.end()) at->second->abandon();
}

routing::DeliveryState Pool::deliveryState(routing::AttemptId attempt) const {
  const auto at = attempts_.find(attempt);
  return at == attempts_.end() ? routing::DeliveryState::undelivered : at->second->deliveryState();
}

void Pool::pause(routing::AttemptId attempt, bool paused) {
  const auto at = attempts_.find(attempt);
  if (at != attempts_.end()) at->second->pause(paused);
}

}  // namespace garnethook::engine
