/// @file
/// Adapter between the simulator and the routing policy: reads batches of event lines, hosts policy instances
/// and writes their actions. It only translates and makes no routing decisions.
#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <vector>

#include "policy/routing_policy.h"

namespace garnethook::simulator_adapter {

/// Interface of a hosted policy, which tests can replace.
class HostedPolicy {
 public:
  /// Destroys the policy.
  virtual ~HostedPolicy() = default;
  /// See RoutingPolicy::handle. An exception terminates the instance.
  virtual void handle(Micros now, const Event& event, std::vector<Action>& actions) = 0;
};
/// Creates a hosted policy; throws if the settings are invalid.
using PolicyFactory = std::function<std::unique_ptr<HostedPolicy>(const Settings&, std::uint64_t seed)>;

/// Creates a hosted RoutingPolicy; the default PolicyFactory.
std::unique_ptr<HostedPolicy> makeHostedRoutingPolicy(const Settings& settings, std::uint64_t seed);

/// Processes batches until the end of the input and reports malformed lines on `errors`. Returns the exit
/// code of the process: 0 if the input ended between batches, 1 if it ended inside one.
int serve(std::istream& in, std::ostream& out, std::ostream& errors,
          const PolicyFactory& factory = makeHostedRoutingPolicy);

}  // namespace garnethook::simulator_adapter
