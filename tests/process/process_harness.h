// Test harness that runs the program as a child process, with engines, discovery and clients on the test's
// event loop.
#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "child_process.h"
#include "scripted_discovery.h"
#include "support/loop_runner.h"
#include "support/platform_peers.h"

namespace garnethook::test {

inline constexpr net::Micros kMillisecond = 1000;
inline constexpr net::Micros kSecond = 1'000'000;

/// A unique temporary folder, removed with its contents on destruction.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "garnethook-process-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
    path_ = pattern;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  std::string file(const std::string& name) const { return (path_ / name).string(); }

 private:
  std::filesystem::path path_;
};

/// Returns the address in the "listening" line of a log; empty if there is none.
inline std::string listeningAddress(const std::string& text) {
  const auto line = text.find("listening");
  if (line == std::string::npos) return {};
  constexpr std::string_view key = R"("address":")";
  const auto from = text.find(key, line);
  if (from == std::string::npos) return {};
  const auto end = text.find('"', from + key.size());
  if (end == std::string::npos) return {};
  return text.substr(from + key.size(), end - from - key.size());
}

/// A prefill engine, two decode engines, discovery and the program that routes between them.
class ProcessHarness : public LoopRunner {
 public:
  ProcessHarness()
      : prefillEngine(loop),
        decodeEngine(loop),
        otherDecodeEngine(loop),
        discovery(loop),
        configFile(folder.file("config.json")),
        standardErrorFile(folder.file("errors")) {
    prefillEngine.script = [](ScriptedEngine::Request& request) {
      answerControlRequest(request) || (request.stream->send(kPrefillResponse), true);
    };
    decodeEngine.script = otherDecodeEngine.script = [](ScriptedEngine::Request& request) {
      answerControlRequest(request) || (request.stream->send(kCompleteStream), true);
    };
    endpointEntries = memberText("r", prefillEngine, "m1") + "," + memberText("w", decodeEngine, "m2");
    discovery.list = listText(1, true, endpointEntries);
    writeConfig(platformConfigText(discovery.address()));
  }
  ~ProcessHarness() {
    if (testing::Test::HasFailure() && !standardErrorIsPipe)
      std::cerr << "standard error of the program:\n" << standardError() << std::endl;
    program.reset();
    stopLoop();
  }

  /// Replaces the configuration file atomically.
  void writeConfig(const std::string& text) {
    const std::string temporaryFile = configFile + ".draft";
    std::ofstream(temporaryFile, std::ios::binary) << text;
    std::filesystem::rename(temporaryFile, configFile);
  }
  /// Makes the program listen, from its next start on, at an address unique to this process. The address is
  /// then available without the log, of which a line may be lost.
  void useFixedAddress() {
    constexpr std::string_view defaultListen = R"("listen":"127.0.0.1:0")";
    const auto pid = static_cast<unsigned>(::getpid());
    fixedAddress = "127." + std::to_string(100 + (pid >> 16) % 100) + "." + std::to_string((pid >> 8) & 255) +
                   "." + std::to_string(pid & 255) + ":18080";
    std::string text = platformConfigText(discovery.address());
    text.replace(text.find(defaultListen), defaultListen.size(), R"("listen":")" + fixedAddress + "\"");
    writeConfig(text);
  }
  /// Starts the program; `descriptors` limits its open descriptors, 0 inherits the test's limit.
  void launch(rlim_t descriptors = 0) {
    if (!standardErrorIsPipe) std::filesystem::remove(standardErrorFile);
    program.reset();
    std::vector<std::string> environment = faultEnvironment;
    environment.push_back("RELAY_CONFIG=" + configFile);
    program = std::make_unique<ChildProcess>(ChildOptions{
        {GARNETHOOK_PROGRAM, "run", "--log", logLevel}, environment, standardErrorFile, descriptors});
  }
  /// Makes system calls of the program fail as these variables specify, from its next start on
  /// (fault_shim.cpp).
  void injectFaults(const std::vector<std::string>& variables) {
    faultEnvironment = variables;
    faultEnvironment.push_back("LD_PRELOAD=" GARNETHOOK_FAULT_SHIM);
    faultEnvironment.push_back("ASAN_OPTIONS=verify_asan_link_order=0");
  }
  /// Starts the program and waits until it reports that it is ready.
  void start(rlim_t descriptors = 0) {
    launch(descriptors);
    ASSERT_TRUE(waitUntilReady()) << standardError();
  }
  /// Waits until `GET /-/ready` returns 200.
  bool waitUntilReady(net::Micros limit = 10 * kSecond) {
    std::unique_ptr<RawClient> requester;
    return until([&] { return isReady(requester); }, limit);
  }
  /// Returns the standard error output of the program.
  std::string standardError() const {
    std::ifstream file(standardErrorFile, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(file), {});
  }
  /// Returns the number of standard error lines that contain both texts.
  std::size_t linesWith(std::string_view firstText, std::string_view secondText = {}) const {
    std::istringstream lines(standardError());
    std::size_t matches = 0;
    for (std::string line; std::getline(lines, line);)
      if (line.find(firstText) != std::string::npos && line.find(secondText) != std::string::npos) ++matches;
    return matches;
  }
  /// Returns the address at which the program listens, from its log unless fixed; empty before it is logged.
  std::string address() const {
    return fixedAddress.empty() ? listeningAddress(standardError()) : fixedAddress;
  }
  std::unique_ptr<RawClient> client() const { return connectTo(address()); }
  std::unique_ptr<RawClient> connectTo(const std::string& to) const {
    return std::make_unique<RawClient>(const_cast<net::Loop&>(loop), Poco::Net::SocketAddress(to));
  }
  /// Sends a request on a new connection and returns whether the complete response arrives in time.
  bool requestSucceeds(const std::string& id, net::Micros limit = 10 * kSecond) {
    const auto requester = client();
    requester->ask(id);
    return until([&] { return requester->has(kFinalChunk); }, limit);
  }
  /// Expects the program to drain and exit with status 0 within `limit`.
  void expectGracefulExit(net::Micros limit = 8 * kSecond) {
    ASSERT_TRUE(until([&] { return program->ended(); }, limit)) << "the program is still running";
    EXPECT_EQ(program->exitStatus(), 0);
    EXPECT_EQ(linesWith(R"("draining")"), 1u);
    EXPECT_EQ(linesWith(R"("drained")"), 1u);
  }
  /// Returns whether any engine received a prefill or decode request with this id.
  bool reachedAnEngine(const std::string& id) const {
    for (const ScriptedEngine* engine : {&prefillEngine, &decodeEngine, &otherDecodeEngine})
      for (const auto& request : engine->seen)
        if (request.head.method == "POST" && http1::find(request.head.fields, "x-trace-id") == id)
          return true;
    return false;
  }

  TemporaryFolder folder;
  ScriptedEngine prefillEngine;
  ScriptedEngine decodeEngine;
  ScriptedEngine otherDecodeEngine;
  ScriptedDiscovery discovery;
  std::string configFile;
  std::string standardErrorFile;
  std::string endpointEntries;
  std::vector<std::string> faultEnvironment;
  std::string logLevel = "info";
  bool standardErrorIsPipe = false;  // the test has created it as a pipe
  std::string fixedAddress;          // the address to use if the log can't be read
  std::unique_ptr<ChildProcess> program;

 private:
  bool isReady(std::unique_ptr<RawClient>& requester) const {
    if (requester && requester->has("HTTP/1.1 200")) return true;
    if (requester && !requester->closed && !requester->has("HTTP/1.1 503")) return false;
    requester.reset();
    const std::string to = address();
    if (to.empty()) return false;
    requester = connectTo(to);
    requester->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    return false;
  }
};

}  // namespace garnethook::test
