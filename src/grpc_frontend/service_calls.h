// The standard services beside our own: grpc.health.v1.Health and server reflection (v1 and v1alpha).
#pragma once

#include <functional>
#include <set>

#include "grpc_frontend/call.h"

namespace garnethook::grpc_frontend {

// Health of the process ("") and of garnethook.v1.Generation, and those who watch it.
class HealthState {
 public:
  using Listener = std::function<void()>;
  bool serving() const { return serving_; }
  void set(bool serving);
  // Told at each change until the returned object is gone.
  std::shared_ptr<Listener> watch(Listener listener);

 private:
  bool serving_ = false;
  std::vector<std::weak_ptr<Listener>> listeners_;
};

std::unique_ptr<Call> healthCheck(const HealthState& health, CallOutput& output);
std::unique_ptr<Call> healthWatch(HealthState& health, CallOutput& output);
// Either version: their messages are the same on the wire.
std::unique_ptr<Call> reflection(CallOutput& output);

}  // namespace garnethook::grpc_frontend
