// One router on the platform, put together: configuration, discovery, engines, the router core, the front;
// its reload and its end.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "log/log.h"
#include "membership/start_times.h"
#include "platform/config/platform_config.h"
#include "platform/discovery/watch.h"
#include "platform/engine/platform_engine_client.h"
#include "platform/http_frontend/http_frontend.h"
#include "platform/process/resource_budget.h"
#include "routing/router.h"

namespace garnethook::platform {

class RouterProcess final : private routing::Observer {
 public:
  // Listens at once; throws Poco::Net::NetException where that fails.
  RouterProcess(net::Loop& loop, PlatformConfig config, log::Log log);
  ~RouterProcess() override;

  // What a new file tells, as far as it can be heard by a running router: discovery's address.
  void reload(const PlatformConfig& config);
  // Takes requests a little longer, finishes what it has, then calls `done`.
  void drain(std::function<void()> done);

  Poco::Net::SocketAddress address() const { return frontend_->address(); }
  const routing::Router& router() const { return *router_; }
  const HttpFrontend& front() const { return *frontend_; }
  const EndpointList& list() const { return list_; }
  std::string summary() const;

 private:
  static routing::Options routingOptions(const PlatformConfig& config, const ResourceBudget& budget);
  static engine::Options engineOptions(const PlatformConfig& config, const ResourceBudget& budget);
  static HttpFrontend::Options frontOptions(const ResourceBudget& budget);

  void onUpdate(const EndpointListUpdate& update);
  void reportErrors(const std::vector<std::string>& errors);
  void tell(EndpointUpdate::Kind kind, const membership::EndpointMap& entries);
  void checkDrained();
  void report();
  bool ready() const;
  std::string nameOf(EndpointId id) const;
  void onRejected(int status, std::string_view text);
  void onConnectionClosed(CloseReason reason, std::string_view trace, bool owed);
  std::string closesByReason() const;

  void onAttempt(const routing::AttemptSpec& order) override;
  void onAttemptEnded(routing::AttemptId id, EndpointId endpoint,
                      const routing::AttemptResult& result) override;
  void onCompletion(RequestId id, const routing::Request& request, const routing::Completion& ending,
                    Micros took) override;
  void onCancelled(RequestId id) override;
  void onPolicyLog(const std::string& text) override;
  void onActionFailed(const std::string& what) override;
  void onViolation(routing::Violation violation, RequestId id, const routing::Request& request) override;
  void onRelease(EndpointId endpoint, RequestId id, std::string_view traceId) override;
  void onReleaseEnded(EndpointId endpoint, RequestId id, bool ok) override;

  net::Loop& loop_;
  PlatformConfig config_;
  log::Log log_;
  Times times_;
  ResourceBudget budget_;
  membership::KindAndZoneNames names_;
  EndpointList list_;
  membership::StartTimes starts_;
  std::map<std::uint64_t, std::string> engineNames_;
  PlatformEngineClient engines_;
  std::unique_ptr<routing::Router> router_;
  std::unique_ptr<HttpFrontend> frontend_;
  std::unique_ptr<Watch> watch_;
  timing::Alarm drainAlarm_;
  timing::Alarm reportAlarm_;
  Micros startedAt_;
  std::set<std::string, std::less<>> turnedAway_;  // causes that were logged since the latest report
  bool listHeard_ = false;
  bool draining_ = false;
  std::function<void()> drained_;
};

}  // namespace garnethook::platform
