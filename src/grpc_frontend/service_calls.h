/// Standard gRPC services: grpc.health.v1.Health and server reflection (v1 and v1alpha).
#pragma once

#include <functional>
#include <set>

#include "grpc_frontend/call.h"

namespace garnethook::grpc_frontend {

/// Serving status of the process (service "") and of garnethook.v1.Generation, with listeners for changes.
class HealthState {
 public:
  /// Called after each change.
  using Listener = std::function<void()>;
  /// Whether the router accepts requests.
  bool serving() const { return serving_; }
  /// Sets the status and notifies the listeners if it changed.
  void set(bool serving);
  /// Adds a listener, which stays registered for as long as the returned object exists.
  std::shared_ptr<Listener> watch(Listener listener);

 private:
  bool serving_ = false;
  std::vector<std::weak_ptr<Listener>> listeners_;
};

/// Creates a call of grpc.health.v1.Health/Check.
std::unique_ptr<Call> makeHealthCheckCall(const HealthState& health, CallOutput& output);
/// Creates a call of grpc.health.v1.Health/Watch.
std::unique_ptr<Call> makeHealthWatchCall(HealthState& health, CallOutput& output);
/// Creates a call of server reflection; both versions have the same messages on the wire.
std::unique_ptr<Call> makeReflectionCall(CallOutput& output);

}  // namespace garnethook::grpc_frontend
