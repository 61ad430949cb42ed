// Pooled, bounded connections to engines on the loop, one exchange at a time on each. Whatever protocol is
// spoken on them stands on this one pool.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "engine/connection.h"
#include "engine/options.h"
#include "engine/reuse_policy.h"
#include "engine/word.h"
#include "membership/endpoint_spec.h"
#include "routing/engine_client.h"

namespace garnethook::engine {

inline Reuse reuseFor(const routing::AttemptSpec& order) {
  return order.requiresNewConnection ? Reuse::none : order.nonRepeatable ? Reuse::careful : Reuse::usual;
}

class Pool final : private ConnectionOwner {
 public:
  Pool(net::Loop& loop, const Options& options) : loop_(loop), options_(options) {}
  ~Pool() override { *alive_ = false; }

  // The engines as listed now. Exchanges with one that left go on; its idle connections are closed.
  void update(const membership::EndpointMap& engines);
  // The engines that have changed; the others stay as they are.
  void apply(const membership::EndpointMap& changes);
  // Nothing where the engine is not known, or its address can't be used.
  const membership::EndpointSpec* find(EndpointId endpoint) const;
  // It is listed as running, so that it may get new work.
  bool running(EndpointId endpoint) const;
  // Every engine that is listed and has an address, in order of ids; valid until the list changes.
  const std::vector<EndpointId>& listed() const;
  Word word(EndpointId endpoint) const;
  // All connections that may be used for attempts are busy.
  bool full(EndpointId endpoint) const;
  // As many releases, probes and the like are under way as may be.
  bool controlsFull() const;

  // On an idle connection or a new one; `limit` as for Connection::run. The engine must be found. `reuse`:
  // whether a kept connection will do (reuse_policy.h).
  void run(EndpointId endpoint, std::unique_ptr<Exchange> exchange, std::string request, Micros limit);
  void run(routing::AttemptId attempt, EndpointId endpoint, std::unique_ptr<Exchange> exchange,
           RequestWriter request, Reuse reuse = Reuse::usual);
  // Ends the attempt's exchange and its connection; nothing of it is told any more.
  void abandon(routing::AttemptId attempt);
  // Attempts that are not out, or whose engine is gone: nowhere.
  routing::DeliveryState deliveryState(routing::AttemptId attempt) const;
  // Reads no more of the attempt's answer, so that the engine's socket fills; and goes on.
  void pause(routing::AttemptId attempt, bool paused);
  // Runs in the loop's next turn, unless the pool has ended by then.
  void later(std::function<void()> task);

  const Options& options() const { return options_; }
  std::size_t busyConnections() const { return busy_.size(); }
  std::size_t idleConnections() const { return idle_; }
  std::size_t attempts() const { return attempts_.size(); }
  std::uint64_t opened() const { return opened_; }  // connections, since the start

 private:
  struct Engine {
    membership::EndpointSpec spec;
    Poco::Net::SocketAddress address;
    bool resolved = false;
    bool listed = false;
    std::vector<std::unique_ptr<Connection>> idle;
    std::size_t busy = 0;
    Word word = Word::none;
  };
  struct AttemptHash {
    std::size_t operator()(const routing::AttemptId& a) const {
      return static_cast<std::size_t>(a.request.value * 31 + static_cast<std::uint64_t>(a.number));
    }
  };

  void onFree(Connection& connection, bool reusable) override;
  void onHeard(Connection& connection, bool sound) override;
  void onReused(Connection& connection, Micros rested, bool dead) override;
  Connection& connect(Engine& e, Reuse reuse);
  std::unique_ptr<Connection> takeIdle(Engine& e, Reuse reuse);
  void makeRoom();
  void discard(std::unique_ptr<Connection> connection);
  void closeIdle(Engine& e);
  void list(const membership::EndpointSpec& spec);
  void unlist(Engine& e);
  void keep(Engine& e, std::unique_ptr<Connection> connection);

  net::Loop& loop_;
  Options options_;
  std::unordered_map<std::uint64_t, Engine> engines_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> busy_;
  std::unordered_map<routing::AttemptId, Connection*, AttemptHash> attempts_;
  ReusePolicy reuse_;
  std::unordered_set<Engine*> resting_;        // with idle connections; some may have lost theirs
  std::unordered_set<std::uint64_t> leaving_;  // not listed any more, with exchanges that go on
  mutable std::optional<std::vector<EndpointId>> listed_;
  std::size_t idle_ = 0;
  std::uint64_t opened_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace garnethook::engine
