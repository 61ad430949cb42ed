// Engines over HTTP/1.1: pooled, bounded connections on the loop, one exchange at a time on each.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine/connection.h"
#include "engine/options.h"
#include "membership/engine_list.h"
#include "routing/types.h"

namespace garnethook::engine {

class HttpEngines final : public routing::Engines, private ConnectionOwner {
 public:
  HttpEngines(net::Loop& loop, const Options& options);
  ~HttpEngines() override;
  // Before the first call of any other.
  void setEvents(routing::EngineEvents& events) { events_ = &events; }

  // The engines as listed now. Exchanges with one that left go on; its idle connections are closed.
  void update(const membership::EngineMap& engines);

  void begin(const routing::Order& order) override;
  void cancel(routing::AttemptId attempt) override;
  void release(ServerId server, RequestId request, const std::string& workId) override;
  void probe(ServerId server) override;
  // GET of a document at most 256 KiB long; `done` comes later, with status 0 where there is no answer.
  void fetch(ServerId server, const std::string& path, std::function<void(int, const std::string&)> done);
  // Reads no more of the attempt's answer, so that the engine's socket fills; and goes on.
  void pause(routing::AttemptId attempt, bool paused);

  const std::string& tokeniserPath() const { return options_.tokeniserPath; }
  std::size_t busyConnections() const { return busy_.size(); }
  std::size_t attempts() const { return attempts_.size(); }

 private:
  struct Engine {
    membership::EngineSpec spec;
    Poco::Net::SocketAddress address;
    bool resolved = false;
    bool listed = false;
    std::vector<std::unique_ptr<Connection>> idle;
    std::size_t busy = 0;
  };
  struct AttemptHash {
    std::size_t operator()(const routing::AttemptId& a) const {
      return static_cast<std::size_t>(a.request.value * 31 + static_cast<std::uint64_t>(a.number));
    }
  };

  void onFree(Connection& connection, bool reusable) override;
  Engine* find(ServerId server);
  Connection& connect(Engine& e);
  void control(ServerId server, std::string_view method, const std::string& path, const std::string& workId,
               std::string_view body, std::function<void(int, const std::optional<LoadReport>&)> done);
  void later(std::function<void()> task);
  void discard(std::unique_ptr<Connection> connection);
  void closeIdle(Engine& e);

  net::Loop& loop_;
  Options options_;
  routing::EngineEvents* events_ = nullptr;
  std::unordered_map<std::uint64_t, Engine> engines_;
  std::unordered_map<Connection*, std::unique_ptr<Connection>> busy_;
  std::unordered_map<routing::AttemptId, Connection*, AttemptHash> attempts_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace garnethook::engine
