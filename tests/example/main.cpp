// A minimal program that embeds the routing policy: settings, an endpoint list and one request.
#include <iostream>

#include "policy/routing_policy.h"

int main() {
  using namespace garnethook;
  Settings settings;
  settings.classes = {
      {.ttftObjective = 1'000'000, .deadline = 5'000'000, .timePerOutputTokenObjective = 50'000}};
  settings.kinds = {{Role::prefill, 200'000}, {Role::decode, 150'000}};
  settings.maxAttempts = 4;
  settings.kvReleaseTimeout = 500'000;
  RoutingPolicy policy(settings, 42);

  std::vector<Action> actions;
  const EndpointEntry prefill{.id = {11}, .zone = 0, .kind = 0};
  const EndpointEntry decode{.id = {12}, .zone = 0, .kind = 1};
  policy.handle(0, EndpointUpdate{EndpointUpdate::Kind::snapshot, {prefill, decode}}, actions);
  policy.handle(1000,
                RequestArrived{.id = {1}, .requestClass = 0, .remaining = 5'000'000, .promptTokens = 900},
                actions);
  for (const Action& action : actions)
    if (const auto* send = std::get_if<Send>(&action))
      std::cout << "request " << send->id.value << " goes to endpoint " << send->endpoint.value << '\n';
}
