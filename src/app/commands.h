// The commands of the program. Each returns the process's exit code.
#pragma once

#include <cstdint>
#include <string>

namespace garnethook::app {

int serve(const std::string& configPath);
int check(const std::string& configPath);
int standIn(const std::string& configPath);

struct DemoOptions {
  std::string listen = "127.0.0.1:7070";
  std::string once;  // ask this, print the answer and end
};
int demo(const DemoOptions& options);

struct AskOptions {
  std::string text;
  std::string to = "127.0.0.1:7070";
  std::string requestClass;
  std::string session;
  std::uint32_t output = 0;
  double timeoutSeconds = 30;
};
int ask(const AskOptions& options);

struct DrillOptions {
  std::string script;
  std::string day;      // in place of a script: a day of the bench
  std::string writeTo;  // with a day: write the script there and end
  std::string recording;
  std::string logLevel = "off";
  bool guess = false;  // routers estimate tokens, whatever the script says
};
int drill(const DrillOptions& options);
int auditFile(const std::string& recording);

// The router on the platform whose environment tells all: RELAY_NAME, RELAY_LISTEN, RELAY_DISCOVERY,
// RELAY_CONFIG. SIGTERM drains it, SIGHUP reads the configuration anew.
int run(const std::string& logLevel);

}  // namespace garnethook::app
