// First tokens of short prompts on the whole path (client, router and stand-in engines in processes of their
// own, sockets on loopback): alone, under a flood of prompts of 1 MB, and under the same flood with a router
// that estimates.
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
  Call(net::Loop& l, std::vector<double>* f) : loop(l), firsts(f), sentAt(l.now()) {}
  void onMessage(std::string_view) override {
    if (firsts != nullptr && !std::exchange(first, true))
      firsts->push_back(static_cast<double>(loop.now() - sentAt) / 1000);
  }
  void onStatus(const grpc::Status& s, const http2::Headers&, bool) override {
    ok = s.code == grpc::Code::ok;
  }
  net::Loop& loop;
  std::vector<double>* firsts;
  Micros sentAt;
  bool first = false;
  bool ok = false;
};

std::string words(std::mt19937_64& random, std::size_t bytes) {
  std::string out;
  while (out.size() < bytes) {
    out += ' ';
    for (std::size_t n = 2 + random() % 9; n > 0; --n) out += static_cast<char>('a' + random() % 26);
  }
  return out;
}

std::vector<double> run(std::uint16_t port, bool flood, std::size_t& served) {
  net::Loop loop;
  const Poco::Net::SocketAddress to("127.0.0.1", port);
  client::Channel shorts(loop, to, {});
  client::Channel longs(loop, to, {});
  std::mt19937_64 random(3);
  const std::string filling = words(random, 1'000'000);
  std::vector<double> firsts;
  std::vector<std::unique_ptr<Call>> calls;
  const auto send = [&](client::Channel& channel, std::string prompt, std::vector<double>* times) {
    v1::GenerateRequest r;
    r.set_prompt(std::move(prompt));
    r.set_max_output_tokens(2);
    calls.push_back(std::make_unique<Call>(loop, times));
    channel.call("/garnethook.v1.Generation/Generate", r.SerializeAsString(), 5'000'000, *calls.back());
  };
  int left = 800;
  std::function<void()> next = [&] {
    if (left-- == 0) {
      loop.after(1'000'000, [&] { loop.stop(); });
      return;
    }
    if (flood && left % 20 == 0) send(longs, std::to_string(left) + filling, nullptr);
    send(shorts, words(random, 4000), &firsts);
    loop.after(5000, next);
  };
  loop.after(300'000, next);
  loop.run();
  served = static_cast<std::size_t>(
      std::count_if(calls.begin(), calls.end(), [](const auto& c) { return c->ok; }));
  std::sort(firsts.begin(), firsts.end());
  return firsts;
}

}  // namespace

int main() {
  ::signal(SIGPIPE, SIG_IGN);
  std::string folder = "/tmp/garnethook-bench-XXXXXX";
  if (::mkdtemp(folder.data()) == nullptr) return 2;
  std::ofstream(folder + "/made.tiktoken") << fake_engine::generateRanks(1);
  const std::string list = folder + "/engines.json";
  // These count a token for every four characters and take any time to read nothing: what is measured is the
  // router.
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
    const auto t = run(port, flood, served);
    if (t.empty()) return 1;
    const auto at = [&](double q) {
      return t[static_cast<std::size_t>(q * static_cast<double>(t.size() - 1))];
    };
    if (!flood) quiet = at(0.99);
    std::printf(
        "%-18s %zu first tokens of 800, served in all %zu; p50 %.2f ms, p99 %.2f ms (x%.1f of quiet)\n", name,
        t.size(), served, at(0.5), at(0.99), at(0.99) / quiet);
    std::fflush(stdout);
  }
  std::filesystem::remove_all(folder);
  return 0;
}
