/// Standalone router process: gRPC server, routing core, engine client and endpoint list on one event loop.
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

/// Owns the components of a router and connects them. Runs on the loop's thread.
class RouterServer final : public routing::Observer {
 public:
  /// Starts listening immediately.
  /// @param seed random seed of the routing policy
  /// @param instance prefix of the trace ids; unique among routers and their restarts
  RouterServer(net::Loop& loop, const RouterSettings& settings, std::uint64_t seed, std::string instance,
               log::Log log);
  ~RouterServer() override;

  /// Address on which the gRPC server listens.
  Poco::Net::SocketAddress address() const { return frontend_->address(); }
  /// Starts a graceful shutdown: accepts no new requests, and gives open requests until
  /// RouterSettings::shutdownTimeout to finish; those still open then receive a final status.
  /// @param done called once the shutdown is complete
  void drain(std::function<void()> done);
  /// Applies the settings that can change at run time: request limits, log level and tokeniser files. Logs
  /// that all other changes need a restart.
  void reload(const RouterSettings& settings);

  /// The routing core.
  const routing::Router& router() const { return *router_; }
  /// The client that sends attempts to the engines.
  const engine::HttpEngineClient& engines() const { return engines_; }
  /// The gRPC server.
  const grpc_frontend::GrpcServer& grpcServer() const { return *frontend_; }
  /// The token counting.
  const TokenCounts& counts() const { return counts_; }
  /// Reads the endpoint list immediately instead of at the next poll.
  void refreshEndpointList();
  /// One line of counters for the log.
  std::string summary() const;
  /// Called for each event of the routing policy with the resulting actions, before they are executed.
  std::function<void(Micros, const Event&, const std::vector<Action>&)> onDecisionMade;

 private:
  void onAttempt(const routing::AttemptSpec& spec) override;
  void onAttemptEnded(routing::AttemptId id, EndpointId endpointId,
                      const routing::AttemptResult& result) override;
  void onPromptTokensReported(EndpointId endpointId, const routing::Request& request,
                              double tokens) override {
    counts_.onPromptTokensReported(endpointId, request, tokens);
  }
  void onCompletion(RequestId id, const routing::Request& request, const routing::Completion& completion,
                    Micros duration) override;
  void onCancelled(RequestId id) override;
  void onEndpointRestarted(const routing::EndpointRestartEvent& event) override;
  void onPolicyLog(const std::string& policyMessage) override;
  void onDecision(Micros now, const Event& event, const std::vector<Action>& actions) override;
  void poll();
  void publishEndpoints(EndpointUpdate::Kind kind);
  void publishTokeniserChanges();
  membership::MonotonicStartTimes startTimes(membership::StartTimes::Source source);
  void checkDrained();
  std::string nameOf(EndpointId id) const;

  net::Loop& loop_;
  RouterSettings settings_;
  log::Log log_;
  membership::EndpointListFile endpointList_;
  membership::StartTimes startTimes_;
  std::map<std::uint64_t, std::string>
      names_;  // engine names by endpoint id, kept after an engine is removed
  grpc_frontend::HealthState health_;
  engine::HttpEngineClient engines_;
  TokenCounts counts_;
  std::unique_ptr<routing::Router> router_;
  std::unique_ptr<grpc_frontend::GrpcServer> frontend_;
  timing::Alarm pollAlarm_;
  timing::Alarm drainAlarm_;
  Micros drainDeadline_ = 0;
  std::function<void()> onDrained_;
};

}  // namespace garnethook::server
