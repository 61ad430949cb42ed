// Measures the time to first token of short prompts end to end (client, router and fake engines in separate
// processes, connected over loopback): without other load and during a flood of 1 MB prompts, each with a
// router that counts tokens and with one that estimates them.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <thread>

#include "client/channel.h"
#include "fake_engine/fleet.h"
#include "fake_engine/generated_vocabulary.h"
#include "garnethook/v1/generate.pb.h"
#include "server/router_server.h"

namespace {

using namespace garnethook;

class Child {
 public:
  explicit Child(const std::function<void()>& body) : pid_(::fork()) {
    if (pid_ != 0) return;
    body();
    ::_exit(0);
  }
  ~Child() {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

 private:
  pid_t pid_;
};

void awaitFile(const std::string& path) {
  while (!std::filesystem::exists(path)) std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

struct Call final : client::CallEvents {
  Call(net::Loop& callLoop, std::vector<double>* latencies)
      : loop(callLoop), firstTokenMs(latencies), sentAt(callLoop.now()) {}
  void onMessage(std::string_view) override {
    if (firstTokenMs != nullptr && !std::exchange(receivedFirst, true))
      firstTokenMs->push_back(static_cast<double>(loop.now() - sentAt) / 1000);
  }
  void onStatus(const grpc::Status& status, const http2::Headers&, bool) override {
    ok = status.code == grpc::Code::ok;
  }
  net::Loop& loop;
  std::vector<double>* firstTokenMs;
  Micros sentAt;
  bool receivedFirst = false;
  bool ok = false;
};

std::string randomWords(std::mt19937_64& random, std::size_t bytes) {
  std::string text;
  while (text.size() < bytes) {
    text += ' ';
    for (std::size_t letters = 2 + random() % 9; letters > 0; --letters)
      text += static_cast<char>('a' + random() % 26);
  }
  return text;
}

std::vector<double> run(std::uint16_t port, bool flood, std::size_t& served) {
  net::Loop loop;
  const Poco::Net::SocketAddress to("127.0.0.1", port);
  client::Channel shortChannel(loop, to, {});
  client::Channel longChannel(loop, to, {});
  std::mt19937_64 random(3);
  const std::string longText = randomWords(random, 1'000'000);
  std::vector<double> firstTokenMs;
  std::vector<std::unique_ptr<Call>> calls;
  const auto send = [&](client::Channel& channel, std::string prompt, std::vector<double>* times) {
    v1::GenerateRequest request;
    request.set_prompt(std::move(prompt));
    request.set_max_output_tokens(2);
    calls.push_back(std::make_unique<Call>(loop, times));
    channel.call("/garnethook.v1.Generation/Generate", request.SerializeAsString(), 5'000'000, *calls.back());
  };
  int remaining = 800;
  std::function<void()> next = [&] {
    if (remaining-- == 0) {
      loop.after(1'000'000, [&] { loop.stop(); });
      return;
    }
    if (flood && remaining % 20 == 0) send(longChannel, std::to_string(remaining) + longText, nullptr);
    send(shortChannel, randomWords(random, 4000), &firstTokenMs);
    loop.after(5000, next);
  };
  loop.after(300'000, next);
  loop.run();
  served = static_cast<std::size_t>(
      std::count_if(calls.begin(), calls.end(), [](const auto& call) { return call->ok; }));
  std::sort(firstTokenMs.begin(), firstTokenMs.end());
  return firstTokenMs;
}

}  // namespace

int main() {
  ::signal(SIGPIPE, SIG_IGN);
  std::string folder = "/tmp/garnethook-bench-XXXXXX";
  if (::mkdtemp(folder.data()) == nullptr) return 2;
  std::ofstream(folder + "/made.tiktoken") << fake_engine::generateRanks(1);
  const std::string list = folder + "/engines.json";
  // These engines assume one token per four characters and prefill in almost no time, so that the router
  // dominates the measurement.
  const Child engines([&] {
    net::Loop loop;
    fake_engine::Recorder recorder([&] { return loop.now(); }, false);
    fake_engine::Fleet fleet(
        loop,
        fake_engine::readFleet(config::Node(config::JsonFile::parse("fleet", R"({ "engines": [
      { "name": "mixed", "count": 4, "kind": "mixed", "role": "both", "cell": "c", "slots": 256, "queue": 256, "read_tokens_per_s": 1e9,
        "read_base_ms": 0, "memory_tokens": 1e9, "token_ms": 0.1 } ] })")),
                               "engines"),
        recorder);
    fleet.writeList(list, 0);
    loop.run();
  });
  awaitFile(list);
  double quiet = 0;
  for (const auto& [name, counts, flood] :
       {std::tuple{"quiet, counted", true, false}, std::tuple{"flood, counted", true, true},
        std::tuple{"quiet, estimated", false, false}, std::tuple{"flood, estimated", false, true}}) {
    const std::string portFile = folder + "/port" + std::to_string(counts) + std::to_string(flood);
    const Child router([&] {
      net::Loop loop;
      std::string text = R"({ "classes": [ { "name": "chat", "aim_ms": 1000, "deadline_ms": 5000 } ],
        "kinds": [ { "name": "mixed", "role": "both", "memory_tokens": 1000000000 } ], "engines": {})";
      if (counts)
        text +=
            R"(, "tokenisers": [ { "name": "made", "version": "1", "format": "ranks", "pattern": "cl100k_base", "file": ")" +
            folder +
            R"(/made.tiktoken" } ], "counting": { "usual": "made", "usual_version": "1", "inline_bytes": 0 })";
      auto settings = server::readSettings(config::Node(config::JsonFile::parse("router", text + "}")), list);
      settings.listen = "127.0.0.1:0";
      server::RouterServer server(loop, settings, 1, "bench", log::Log::none());
      std::ofstream(portFile + ".new") << server.address().port();
      std::filesystem::rename(portFile + ".new", portFile);
      loop.run();
    });
    awaitFile(portFile);
    std::uint16_t port = 0;
    std::ifstream(portFile) >> port;
    std::size_t served = 0;
    const auto latencies = run(port, flood, served);
    if (latencies.empty()) return 1;
    const auto latencyAt = [&](double quantile) {
      return latencies[static_cast<std::size_t>(quantile * static_cast<double>(latencies.size() - 1))];
    };
    if (!flood) quiet = latencyAt(0.99);
    std::printf(
        "%-18s %zu first tokens of 800, %zu requests served in total; p50 %.2f ms, p99 %.2f ms (x%.1f of "
        "quiet)\n",
        name, latencies.size(), served, latencyAt(0.5), latencyAt(0.99), latencyAt(0.99) / quiet);
    std::fflush(stdout);
  }
  std::filesystem::remove_all(folder);
  return 0;
}
