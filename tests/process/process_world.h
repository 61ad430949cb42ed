// The built program as a child process, with engines, discovery and clients on the test's own loop.
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

/// A folder of its own for each test, removed with what it holds.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "garnethook-process-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
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

/// The address that the line "listening" of a log tells; empty where there is none.
inline std::string addressIn(const std::string& text) {
  const auto line = text.find("listening");
  if (line == std::string::npos) return {};
  constexpr std::string_view key = R"("address":")";
  const auto from = text.find(key, line);
  if (from == std::string::npos) return {};
  const auto end = text.find('"', from + key.size());
  if (end == std::string::npos) return {};
  return text.substr(from + key.size(), end - from - key.size());
}

/// A reader, two writers, discovery and the program that routes between them.
class ProcessWorld : public LoopRunner {
 public:
  ProcessWorld()
      : reader(loop),
        writer(loop),
        otherWriter(loop),
        discovery(loop),
        configFile(folder.file("config.json")),
        standardErrorFile(folder.file("errors")) {
    reader.script = [](ScriptedEngine::Request& request) {
      answerControlRequest(request) || (request.stream->send(kPrefillResponse), true);
    };
    writer.script = otherWriter.script = [](ScriptedEngine::Request& request) {
      answerControlRequest(request) || (request.stream->send(kCompleteStream), true);
    };
    members = memberText("r", reader, "m1") + "," + memberText("w", writer, "m2");
    discovery.list = listText(1, true, members);
    writeConfig(platformConfigText(discovery.address()));
  }
  ~ProcessWorld() {
    if (testing::Test::HasFailure() && !keepsStandardErrorFile)
      std::cerr << "standard error of the program:\n" << standardError() << std::endl;
    program.reset();
    stopLoop();
  }

  /// Replaces the configuration file in one step.
  void writeConfig(const std::string& text) {
    const std::string draft = configFile + ".draft";
    std::ofstream(draft, std::ios::binary) << text;
    std::filesystem::rename(draft, configFile);
  }
  /// From its next start on, the program listens at an address of this process alone, which is known without
  /// its log: a line of that may be lost.
  void listenAtOwnAddress() {
    constexpr std::string_view any = R"("listen":"127.0.0.1:0")";
    const auto pid = static_cast<unsigned>(::getpid());
    listening = "127." + std::to_string(100 + (pid >> 16) % 100) + "." + std::to_string((pid >> 8) & 255) +
                "." + std::to_string(pid & 255) + ":18080";
    std::string text = platformConfigText(discovery.address());
    text.replace(text.find(any), any.size(), R"("listen":")" + listening + "\"");
    writeConfig(text);
  }
  /// Starts the program; `descriptors`: its limit of them, 0 for the test's own.
  void launch(rlim_t descriptors = 0) {
    if (!keepsStandardErrorFile) std::filesystem::remove(standardErrorFile);
    program.reset();
    std::vector<std::string> environment = faults;
    environment.push_back("RELAY_CONFIG=" + configFile);
    program = std::make_unique<ChildProcess>(ChildOptions{
        {GARNETHOOK_PROGRAM, "run", "--log", level}, environment, standardErrorFile, descriptors});
  }
  /// From its next start on, system calls of the program fail by these variables (fault_shim.cpp).
  void loadFaults(const std::vector<std::string>& variables) {
    faults = variables;
    faults.push_back("LD_PRELOAD=" GARNETHOOK_FAULT_SHIM);
    faults.push_back("ASAN_OPTIONS=verify_asan_link_order=0");
  }
  /// Starts the program and waits until it says that it is ready.
  void start(rlim_t descriptors = 0) {
    launch(descriptors);
    ASSERT_TRUE(waitUntilReady()) << standardError();
  }
  /// Waits for `GET /-/ready` = 200.
  bool waitUntilReady(net::Micros limit = 10 * kSecond) {
    std::unique_ptr<RawClient> requester;
    return until([&] { return readyNow(requester); }, limit);
  }
  /// What the program wrote on its standard error.
  std::string standardError() const {
    std::ifstream file(standardErrorFile, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(file), {});
  }
  /// How many of its lines hold the text, or both texts.
  std::size_t linesWith(std::string_view part, std::string_view other = {}) const {
    std::istringstream lines(standardError());
    std::size_t found = 0;
    for (std::string line; std::getline(lines, line);)
      if (line.find(part) != std::string::npos && line.find(other) != std::string::npos) ++found;
    return found;
  }
  /// The address at which the program listens, as its log tells; empty before that.
  std::string address() const { return listening.empty() ? addressIn(standardError()) : listening; }
  std::unique_ptr<RawClient> client() const { return clientOf(address()); }
  std::unique_ptr<RawClient> clientOf(const std::string& to) const {
    return std::make_unique<RawClient>(const_cast<net::Loop&>(loop), Poco::Net::SocketAddress(to));
  }
  /// Asks on a new connection and waits for the whole answer.
  bool isServed(const std::string& id, net::Micros limit = 10 * kSecond) {
    const auto requester = client();
    requester->ask(id);
    return until([&] { return requester->has(kFinalChunk); }, limit);
  }
  /// Waits until the program has ended by itself; its status has to be 0.
  void expectGracefulExit(net::Micros limit = 8 * kSecond) {
    ASSERT_TRUE(until([&] { return program->ended(); }, limit)) << "it still runs";
    EXPECT_EQ(program->exitStatus(), 0);
    EXPECT_EQ(linesWith(R"("draining")"), 1u);
    EXPECT_EQ(linesWith(R"("drained")"), 1u);
  }
  /// Whether an engine was sent work with this id.
  bool seenAtEngines(const std::string& id) const {
    for (const ScriptedEngine* engine : {&reader, &writer, &otherWriter})
      for (const auto& request : engine->seen)
        if (request.head.method == "POST" && http1::find(request.head.fields, "x-trace-id") == id)
          return true;
    return false;
  }

  TemporaryFolder folder;
  ScriptedEngine reader;
  ScriptedEngine writer;
  ScriptedEngine otherWriter;
  ScriptedDiscovery discovery;
  std::string configFile;
  std::string standardErrorFile;
  std::string members;
  std::vector<std::string> faults;
  std::string level = "info";
  bool keepsStandardErrorFile = false;  // it is a pipe of the test's own
  std::string listening;                // where the log can't be read: the address
  std::unique_ptr<ChildProcess> program;

 private:
  bool readyNow(std::unique_ptr<RawClient>& requester) const {
    if (requester && requester->has("HTTP/1.1 200")) return true;
    if (requester && !requester->closed && !requester->has("HTTP/1.1 503")) return false;
    requester.reset();
    const std::string to = address();
    if (to.empty()) return false;
    requester = clientOf(to);
    requester->stream.send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    return false;
  }
};

}  // namespace garnethook::test
