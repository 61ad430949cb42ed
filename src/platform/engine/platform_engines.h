// Engines by the platform's protocol, on the engine package's pooled connections.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "engine/pool.h"
#include "provision/provision.h"
#include "routing/types.h"

namespace garnethook::platform {

class PlatformEngines final : public routing::Engines {
 public:
  PlatformEngines(net::Loop& loop, const engine::Options& options, provision::ReportMeanings meanings)
      : pool_(loop, options), meanings_(std::move(meanings)) {}
  // Before the first call of any other.
  void setEvents(routing::EngineEvents& events) { events_ = &events; }

  void update(const membership::EngineMap& engines) { pool_.update(engines); }

  void begin(const routing::Order& order) override;
  void cancel(routing::AttemptId attempt) override { pool_.abandon(attempt); }
  routing::Reach reach(routing::AttemptId attempt) const override { return pool_.reach(attempt); }
  void release(ServerId server, RequestId request, const std::string& workId) override;
  void probe(ServerId server) override;

  const engine::Pool& pool() const { return pool_; }

 private:
  void releaseAt(std::vector<ServerId> route, std::size_t at, ServerId holder, RequestId request,
                 const std::string& workId);

  engine::Pool pool_;
  provision::ReportMeanings meanings_;
  routing::EngineEvents* events_ = nullptr;
};

}  // namespace garnethook::platform
