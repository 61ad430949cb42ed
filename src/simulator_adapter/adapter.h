// The simulator's wire: reads batches of event lines, hosts the module's instances, prints their actions.
// Translation only; nothing is decided here.
#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "deployment_config/deployment_config.h"
#include "policy/routing_policy.h"

namespace garnethook::simulator_adapter {

// A line that can't be understood; names the field at fault.
using LineError = deployment_config::FieldError;

// An instance's start: its settings and the seed of its random numbers.
struct DeploymentConfig : deployment_config::DeploymentConfig {
  std::uint64_t seed = 0;
};

DeploymentConfig parseProvision(std::string_view line);

class Decider {
 public:
  virtual ~Decider() = default;
  virtual void handle(Micros now, const Event& event, std::vector<Action>& actions) = 0;
};
using DeciderFactory = std::function<std::unique_ptr<Decider>(const Settings&, std::uint64_t seed)>;

// The factory that makes real instances.
std::unique_ptr<Decider> makeBrain(const Settings& settings, std::uint64_t seed);

// Serves batches until the input ends. Returns the process's exit code: 0 when the input ended between
// batches, 1 when it was cut inside one.
int serve(std::istream& in, std::ostream& out, std::ostream& errors,
          const DeciderFactory& factory = makeBrain);

}  // namespace garnethook::simulator_adapter
