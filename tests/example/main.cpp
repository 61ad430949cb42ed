// A complete small embedding: settings, a list of servers, one request.
#include <iostream>

#include "brain.h"

int main() {
  using namespace garnethook;
  Settings settings;
  settings.classes = {{.aim = 1'000'000, .deadline = 5'000'000, .tokenAim = 50'000}};
  settings.kinds = {{Role::reader, 200'000}, {Role::writer, 150'000}};
  settings.maxAttempts = 4;
  settings.releaseWithin = 500'000;
  Brain brain(settings, 42);

  std::vector<Action> actions;
  const ServerEntry reader{.id = {11}, .zone = 0, .kind = 0};
  const ServerEntry writer{.id = {12}, .zone = 0, .kind = 1};
  brain.handle(0, ServerList{ServerList::Kind::complete, {reader, writer}}, actions);
  brain.handle(1000,
               RequestArrived{.id = {1}, .requestClass = 0, .remaining = 5'000'000, .promptTokens = 900},
               actions);
  for (const Action& action : actions)
    if (const auto* send = std::get_if<Send>(&action))
      std::cout << "request " << send->id.value << " goes to server " << send->server.value << '\n';
}
