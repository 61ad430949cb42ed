/// The commands of the program, one function each. They return the exit code of the process.
#pragma once

#include <cstdint>
#include <string>

namespace garnethook::app {

/// Runs a standalone router until SIGTERM or SIGINT.
int serve(const std::string& configPath);
/// Validates a settings file, its tokeniser files and its endpoint list.
int check(const std::string& configPath);
/// Runs fake engines on loopback until SIGTERM or SIGINT.
int standIn(const std::string& configPath);

/// Options of demo().
struct DemoOptions {
  std::string listen = "127.0.0.1:7070";  ///< address of the router
  std::string once;                       ///< prompt to send, after which the command exits; empty: none
};
/// Runs a router with a few fake engines.
int demo(const DemoOptions& options);

/// Options of ask().
struct AskOptions {
  std::string text;                   ///< the prompt
  std::string to = "127.0.0.1:7070";  ///< address of the router
  std::string requestClass;           ///< empty: the router's first class
  std::string session;                ///< session key; empty: none
  std::uint32_t output = 0;           ///< maximum number of output tokens; 0: the router's default
  double timeoutSeconds = 30;         ///< deadline
};
/// Sends a prompt to a router and prints the response as it arrives.
int ask(const AskOptions& options);

/// Options of drill().
struct DrillOptions {
  std::string script;            ///< fault scenario
  std::string day;               ///< a day of the bench, converted to a fault scenario; replaces `script`
  std::string writeTo;           ///< with `day`: file to which the scenario is written instead of running it
  std::string recording;         ///< file for the recorded events; empty: none
  std::string logLevel = "off";  ///< of the routers
  bool estimateTokens = false;   ///< routers estimate token counts, overriding the script
};
/// Runs a fault scenario on loopback and audits its recording.
int drill(const DrillOptions& options);
/// Audits a recording of drill().
int auditFile(const std::string& recording);

/// Runs the router on the platform, configured by the environment variables RELAY_NAME, RELAY_LISTEN,
/// RELAY_DISCOVERY and RELAY_CONFIG. SIGTERM starts a graceful shutdown, SIGHUP reloads the configuration.
int run(const std::string& logLevel);

}  // namespace garnethook::app
