// One router, whole: front, core, engine client and engine list on a loop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "engine/http_engine_client.h"
#include "grpc_frontend/grpc_server.h"
#include "log/log.h"
#include "membership/endpoint_list_file.h"
#include "membership/start_times.h"
#include "net/loop.h"
#include "server/settings.h"
#include "server/token_counts.h"

namespace garnethook::server {

class RouterServer final : public routing::Observer {
 public:
  // Listens at once. `seed`: of the decision module; `instance`: beginning of its work ids.
  RouterServer(net::Loop& loop, const RouterSettings& settings, std::uint64_t seed, std::string instance,
               log::Log log);
  ~RouterServer() override;

  Poco::Net::SocketAddress address() const { return frontend_->address(); }
  // Takes no new work; open requests may end within the settings' time and get their final answer then.
  // `done` is called once all is over.
  void drain(std::function<void()> done);
  // Settings that may change while running: request limits and log level. The rest is told in the log as
  // needing a restart.
  void reload(const RouterSettings& settings);

  const routing::Router& router() const { return *router_; }
  const engine::HttpEngineClient& engines() const { return engines_; }
  const grpc_frontend::GrpcServer& front() const { return *frontend_; }
  const TokenCounts& counts() const { return counts_; }
  // Looks at the list now, not at the next poll.
  void lookAtList();
  std::string summary() const;
  // Called for each event of the decision module and its actions, before they are carried out.
  std::function<void(Micros, const Event&, const std::vector<Action>&)> onDecisionMade;

 private:
  void onAttempt(const routing::AttemptSpec& order) override;
  void onAttemptEnded(routing::AttemptId id, EndpointId server,
                      const routing::AttemptResult& result) override;
  void onPromptTokensReported(EndpointId server, const routing::Request& request, double tokens) override {
    counts_.onPromptTokensReported(server, request, tokens);
  }
  void onCompletion(RequestId id, const routing::Request& request, const routing::Completion& ending,
                    Micros took) override;
  void onCancelled(RequestId id) override;
  void onPolicyLog(const std::string& text) override;
  void onDecision(Micros now, const Event& event, const std::vector<Action>& actions) override;
  void poll();
  void tell(EndpointUpdate::Kind kind);
  void tellCounts();
  membership::MonotonicStartTimes startTimes(membership::StartTimes::Source source);
  void checkDrained();
  std::string nameOf(EndpointId id) const;

  net::Loop& loop_;
  RouterSettings settings_;
  log::Log log_;
  membership::EndpointListFile list_;
  membership::StartTimes starts_;
  std::map<std::uint64_t, std::string> names_;
  grpc_frontend::HealthState health_;
  engine::HttpEngineClient engines_;
  TokenCounts counts_;
  std::unique_ptr<routing::Router> router_;
  std::unique_ptr<grpc_frontend::GrpcServer> frontend_;
  timing::Alarm pollAlarm_;
  timing::Alarm drainAlarm_;
  Micros drainUntil_ = 0;
  std::function<void()> drained_;
};

}  // namespace garnethook::server
