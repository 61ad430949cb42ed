/// @file
/// The simulator's adapter: reads batches of event lines, hosts instances of the policy, and writes their
/// actions. Translation only; nothing is decided here.
#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::simulator_adapter {

/// A hosted policy; an interface so that tests can host another one.
class HostedPolicy {
 public:
  /// Destroys the policy.
  virtual ~HostedPolicy() = default;
  /// See RoutingPolicy::handle. An exception ends the instance.
  virtual void handle(Micros now, const Event& event, std::vector<Action>& actions) = 0;
};
/// Makes a hosted policy. An exception means that the settings can't be used.
using PolicyFactory = std::function<std::unique_ptr<HostedPolicy>(const Settings&, std::uint64_t seed)>;

/// The factory that hosts RoutingPolicy.
std::unique_ptr<HostedPolicy> hostRoutingPolicy(const Settings& settings, std::uint64_t seed);

/// Serves batches until the input ends; lines that can't be understood are named on `errors`. Returns the
/// exit code of the process: 0 when the input ended between batches, 1 when it was cut inside one.
int serve(std::istream& in, std::ostream& out, std::ostream& errors,
          const PolicyFactory& factory = hostRoutingPolicy);

}  // namespace garnethook::simulator_adapter
