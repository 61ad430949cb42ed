#include "app/commands.h"

#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>

#include "app/signals.h"
#include "client/channel.h"
#include "fake_engine/fleet.h"
#include "fault_scenario/day_import.h"
#include "fault_scenario/runner.h"
#include "membership/endpoint_list_merge.h"
#include "server/router_server.h"

namespace garnethook::app {
namespace {

// Creates a directory in the system's temporary directory and removes it in the destructor.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "garnethook-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
      throw std::runtime_error("cannot create a temporary directory " + pattern);
    path_ = pattern;
  }
  ~TemporaryFolder() {
    std::error_code ignoredError;
    std::filesystem::remove_all(path_, ignoredError);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

std::uint64_t randomSeed() {
  std::random_device device;
  return std::uint64_t{device()} << 32 | device();
}

std::string instanceName(std::uint64_t seed) {
  char text[24];
  std::snprintf(text, sizeof text, "gh%016llx", static_cast<unsigned long long>(seed));
  return text;
}

server::RouterSettings loadSettings(const std::string& path) {
  auto settings = server::readSettings(config::Node(config::JsonFile::load(path)));
  // Paths in the file are relative to its directory.
  const auto folder = std::filesystem::path(path).parent_path();
  const auto resolvePath = [&](std::string& relativePath) {
    if (!relativePath.empty() && !std::filesystem::path(relativePath).is_absolute())
      relativePath = (folder / relativePath).string();
  };
  resolvePath(settings.listPath);
  resolvePath(settings.stateFolder);
  resolvePath(settings.log.file);
  for (auto& tokeniserFile : settings.counting.files) resolvePath(tokeniserFile.path);
  return settings;
}

constexpr std::string_view kDemoRouter = R"({
  "classes": [ { "name": "chat", "aim_ms": 1000, "aim_ms_per_1000_tokens": 60, "deadline_ms": 30000, "token_aim_ms": 50 } ],
  "kinds": [ { "name": "prefill", "role": "reader", "memory_tokens": 200000 },
             { "name": "decode", "role": "writer", "memory_tokens": 150000 } ],
  "engines": { "release_path": "/v1/kv/release", "poll_ms": 100 }
})";
constexpr std::string_view kDemoFleet = R"({ "engines": [
  { "name": "prefill", "count": 2, "kind": "prefill", "role": "reader", "cell": "rack", "memory_tokens": 200000 },
  { "name": "decode", "count": 2, "kind": "decode", "role": "writer", "cell": "rack", "memory_tokens": 150000, "token_ms": 30 }
] })";

class AskCall final : public client::CallEvents {
 public:
  explicit AskCall(std::function<void(int)> done) : done_(std::move(done)) {}
  void onMessage(std::string_view message) override {
    v1::GenerateEvent event;
    if (!event.ParseFromArray(message.data(), static_cast<int>(message.size()))) return;
    if (event.has_tokens()) std::cout << event.tokens().text() << std::flush;
    if (event.has_finish()) finish_ = event.finish();
  }
  void onStatus(const grpc::Status& status, const http2::Headers&, bool) override {
    std::cout << std::endl;
    if (status.code == grpc::Code::ok) {
      const auto& tokenUsage = finish_.usage();
      std::cerr << "served: " << tokenUsage.output_tokens() << " tokens, "
                << (finish_.reason() == v1::Finish::LENGTH ? "output limit reached" : "stopped")
                << "; prompt " << tokenUsage.prompt_tokens() << " tokens, " << tokenUsage.cached_tokens()
                << " of them cached; attempts " << tokenUsage.attempts() << '\n';
      return done_(0);
    }
    std::cerr << grpc::name(status.code) << ": " << status.message << '\n';
    if (status.retryAfterMs && *status.retryAfterMs >= 0)
      std::cerr << "retry after " << *status.retryAfterMs << " ms\n";
    done_(1);
  }

 private:
  std::function<void(int)> done_;
  v1::Finish finish_;
};

std::string askMessage(const AskOptions& options) {
  v1::GenerateRequest request;
  request.set_prompt(options.text);
  request.set_request_class(options.requestClass);
  request.set_session(options.session);
  request.set_max_output_tokens(options.output);
  return request.SerializeAsString();
}

constexpr const char* kGenerateMethod = "/garnethook.v1.Generation/Generate";

int reportError(const std::exception& e) {
  std::cerr << e.what() << '\n';
  return 2;
}

}  // namespace

int check(const std::string& configPath) {
  try {
    const auto settings = loadSettings(configPath);
    std::cout << configPath << ": valid; " << settings.classNames.size() << " classes, "
              << settings.names.kinds.size() << " engine kinds, " << settings.names.zones.size()
              << " zones\n";
    for (const auto& tokeniserFile : settings.counting.files)
      std::cout << tokeniserFile.path << ": " << counting::text(tokeniserFile.version) << ": "
                << tokeniser::loadFile(tokeniserFile.path, tokeniserFile.options)->describe() << '\n';
    std::vector<membership::EndpointListError> errors;
    const auto list = membership::readEndpointList(config::JsonFile::load(settings.listPath), {}, errors);
    for (const auto& error : errors) std::cerr << error.message << '\n';
    std::cout << settings.listPath << ": " << list.size() << " engines\n";
    return errors.empty() ? 0 : 1;
  } catch (const std::exception& e) { return reportError(e); }
}

int serve(const std::string& configPath) {
  try {
    const auto settings = loadSettings(configPath);
    const auto log = log::Log::open("garnethook", settings.log.file, settings.log.level);
    const auto ownLoop = net::Loop::create();
    net::Loop& loop = *ownLoop;
    const std::uint64_t seed = randomSeed();
    std::unique_ptr<server::RouterServer> router;
    bool isDraining = false;
    const Signals signals(loop, [&](int signal) {
      if (signal == SIGHUP) {
        try {
          router->reload(loadSettings(configPath));
        } catch (const std::exception& e) { log.error("reload-failed", {{"trouble", e.what()}}); }
      } else if (!std::exchange(isDraining, true)) {
        router->drain([&] { loop.stop(); });
      }
    });
    router = std::make_unique<server::RouterServer>(loop, settings, seed, instanceName(seed), log);
    loop.run();
    router.reset();
    log.flush();
    return 0;
  } catch (const std::exception& e) { return reportError(e); } catch (...) {
    std::cerr << "unknown error\n";
    return 2;
  }
}

int standIn(const std::string& configPath) {
  try {
    const config::Node root(config::JsonFile::load(configPath));
    std::filesystem::path list = root.text("list", "");
    if (!list.empty() && list.is_relative()) list = std::filesystem::path(configPath).parent_path() / list;
    const auto engines = fake_engine::readFleet(root, "engines");
    root.done();
    net::Loop loop;
    const Signals signals(loop, [&](int) { loop.stop(); });
    fake_engine::Recorder recorder([&] { return loop.now(); });
    fake_engine::Fleet fleet(loop, engines, recorder);
    for (const auto& fakeEngine : fleet.engines())
      std::cout << fakeEngine->options().name << " " << fakeEngine->options().host << ":"
                << fakeEngine->port() << '\n';
    if (!list.empty()) fleet.writeList(list.string(), 0);
    std::cout << std::flush;
    loop.run();
    return 0;
  } catch (const std::exception& e) { return reportError(e); }
}

int demo(const DemoOptions& options) {
  try {
    const TemporaryFolder folder;
    net::Loop loop;
    std::unique_ptr<server::RouterServer> router;
    const Signals signals(loop, [&](int) { loop.stop(); });
    fake_engine::Recorder recorder([&] { return loop.now(); });
    fake_engine::Fleet fleet(
        loop,
        fake_engine::readFleet(config::Node(config::JsonFile::parse("demo fleet", kDemoFleet)), "engines"),
        recorder);
    const std::string list = folder.path() + "/engines.json";
    fleet.writeList(list, 0);
    auto settings = server::readSettings(config::Node(config::JsonFile::parse("demo", kDemoRouter)), list);
    settings.listen = options.listen;
    const std::uint64_t seed = randomSeed();
    router = std::make_unique<server::RouterServer>(
        loop, settings, seed, instanceName(seed),
        log::Log::open("demo", "", options.once.empty() ? "info" : "warn"));
    std::cout << "a router on " << router->address().toString()
              << " with two fake prefill engines and two fake decode engines\n"
              << "try:  garnethook ask --to " << router->address().toString()
              << " \"is the north depot's flag on?\"\n"
              << std::flush;
    int code = 0;
    AskCall call([&](int exitCode) {
      code = exitCode;
      loop.stop();
    });
    client::Channel channel(loop, router->address(), {});
    if (!options.once.empty())
      channel.call(kGenerateMethod, askMessage({.text = options.once}), 30'000'000, call);
    loop.run();
    return code;
  } catch (const std::exception& e) { return reportError(e); }
}

int ask(const AskOptions& options) {
  try {
    ::signal(SIGPIPE, SIG_IGN);
    net::Loop loop;
    int code = 1;
    AskCall call([&](int exitCode) {
      code = exitCode;
      loop.stop();
    });
    client::Channel channel(loop, Poco::Net::SocketAddress(options.to), {});
    channel.call(kGenerateMethod, askMessage(options), static_cast<Micros>(options.timeoutSeconds * 1e6),
                 call);
    // The router sends a final status before the deadline; this handles a router that does not.
    loop.after(static_cast<Micros>(options.timeoutSeconds * 1e6) + 1'000'000, [&] {
      std::cerr << "no final status before the deadline\n";
      loop.stop();
    });
    loop.run();
    return code;
  } catch (const Poco::Exception& e) {
    std::cerr << "--to: " << e.displayText() << '\n';
    return 2;
  } catch (const std::exception& e) { return reportError(e); }
}

int drill(const DrillOptions& options) {
  try {
    ::signal(SIGPIPE, SIG_IGN);
    const TemporaryFolder folder;
    std::shared_ptr<const config::JsonFile> file;
    if (!options.day.empty()) {
      const std::string text = fault_scenario::importDay(config::JsonFile::load(options.day), {});
      if (!options.writeTo.empty()) {
        std::ofstream scriptFile(options.writeTo);
        scriptFile << text;
        if (scriptFile.flush()) return 0;
        std::cerr << options.writeTo << ": cannot be written\n";
        return 2;
      }
      file = config::JsonFile::parse(options.day + " (as a script)", text);
    } else {
      file = config::JsonFile::load(options.script);
    }
    const auto script = fault_scenario::readScript(file, folder.path() + "/engines.json");
    const auto result = fault_scenario::run(
        script, {folder.path(), options.recording, options.logLevel, options.estimateTokens});
    fault_scenario::print(result, std::cout);
    return result.passed ? 0 : 1;
  } catch (const std::exception& e) { return reportError(e); }
}

int auditFile(const std::string& recording) {
  std::ifstream input(recording);
  if (!input) {
    std::cerr << recording << ": cannot be read\n";
    return 2;
  }
  std::vector<nlohmann::json> events;
  std::string line;
  for (int number = 1; std::getline(input, line); ++number) {
    auto event = nlohmann::json::parse(line, nullptr, false);
    if (!event.is_object()) {
      std::cerr << recording << ":" << number << ": not a JSON object\n";
      return 2;
    }
    events.push_back(std::move(event));
  }
  const auto report = fault_scenario::audit(events, {});
  for (const auto& [checkName, occurrences] : report.counts)
    std::cout << checkName << ": " << occurrences << '\n';
  for (const auto& violation : report.violations) std::cout << "VIOLATION " << violation << '\n';
  return report.passed() ? 0 : 1;
}

}  // namespace garnethook::app
