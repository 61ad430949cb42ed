// Measures the end-to-end path: the same closed-loop clients call fake engines directly and through a router.
// Fake engines, router and clients run in three processes on loopback. Prints streams and tokens per second,
// first-token latencies, CPU and memory; asserts nothing. The fake engines simulate durations near zero.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "client/channel.h"
#include "engine/http_engine_client.h"
#include "fake_engine/fleet.h"
#include "membership/endpoint_list_merge.h"
#include "server/router_server.h"

namespace {

using namespace garnethook;

constexpr const char* kFleet = R"({ "engines": [
  { "name": "read", "count": 2, "kind": "prefill", "role": "reader", "slots": 100000, "read_base_ms": 0, "read_tokens_per_s": 1e9, "memory_tokens": 1e9 },
  { "name": "write", "count": 2, "kind": "decode", "role": "writer", "slots": 100000, "token_ms": 1, "link_tokens_per_s": 1e9, "memory_tokens": 1e9 } ] })";
constexpr const char* kRouter = R"({ "classes": [ { "name": "chat", "aim_ms": 20000, "deadline_ms": 60000 } ],
  "kinds": [ { "name": "prefill", "role": "reader", "memory_tokens": 1e9 }, { "name": "decode", "role": "writer", "memory_tokens": 1e9 } ],
  "open_requests": 100000, "streams": { "silence_ms": 600000 },
  "grpc": { "streams_per_connection": 10000 },
  "engines": { "release_path": "/v1/kv/release", "connections": 50000, "idle_connections": 2000, "poll_ms": 100 } })";

struct Child {
  pid_t pid = 0;
  template <class Body>
  explicit Child(Body body) : pid(::fork()) {
    if (pid == 0) {
      body();
      ::_exit(0);
    }
  }
  ~Child() {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  double cpuSeconds() const {
    std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
    std::string skip;
    double user = 0, system = 0;
    for (int i = 1; i <= 13; ++i) in >> skip;
    in >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }
  double megabytes() const {
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    std::string word;
    while (in >> word)
      if (word == "VmRSS:") {
        double kb = 0;
        in >> kb;
        return kb / 1024;
      }
    return 0;
  }
};

struct Figures {
  std::vector<Micros> firstTokenTimes;
  std::uint64_t served = 0;
  std::uint64_t failed = 0;
  std::uint64_t tokens = 0;
  double seconds = 0;
  double latencyMsAt(double quantile) {
    if (firstTokenTimes.empty()) return 0;
    std::sort(firstTokenTimes.begin(), firstTokenTimes.end());
    return static_cast<double>(firstTokenTimes[static_cast<std::size_t>(
               quantile * static_cast<double>(firstTokenTimes.size() - 1))]) /
           1000;
  }
};

std::string prompt(std::uint64_t index) {
  return std::string(2000, 'p') + " question " + std::to_string(index);
}

class RouterClients {
 public:
  RouterClients(net::Loop& loop, std::uint16_t port, std::uint64_t total, std::size_t concurrency,
                bool waitForEnd)
      : loop_(loop), total_(total), waitForEnd_(waitForEnd) {
    for (std::size_t i = 0; i < std::max<std::size_t>(1, concurrency / 1000 + 3); ++i)
      channels_.push_back(std::make_unique<client::Channel>(loop, Poco::Net::SocketAddress("127.0.0.1", port),
                                                            client::Channel::Options{}));
    for (std::size_t i = 0; i < concurrency; ++i) calls_.push_back(std::make_unique<Call>(*this, i));
  }
  void start() {
    begin_ = loop_.now();
    for (auto& call : calls_) call->next();
  }
  // Opens `perInterval` streams every 10 ms, to spread the arrivals.
  void startGradually(std::size_t perInterval, std::size_t from = 0) {
    for (std::size_t i = from; i < std::min(calls_.size(), from + perInterval); ++i) calls_[i]->next();
    if (from + perInterval < calls_.size())
      loop_.after(10'000, [=, this] { startGradually(perInterval, from + perInterval); });
  }
  Figures figures;
  std::size_t first = 0;

 private:
  struct Call final : client::CallEvents {
    Call(RouterClients& callOwner, std::size_t callIndex) : owner(callOwner), index(callIndex) {}
    void next() {
      if (owner.started_ >= owner.total_) return;
      v1::GenerateRequest request;
      request.set_prompt(prompt(owner.started_++));
      request.set_max_output_tokens(32);
      sent = owner.loop_.now();
      waiting = true;
      owner.channels_[index % owner.channels_.size()]->call("/garnethook.v1.Generation/Generate",
                                                            request.SerializeAsString(), 120'000'000, *this);
    }
    void onMessage(std::string_view message) override {
      v1::GenerateEvent event;
      event.ParseFromArray(message.data(), static_cast<int>(message.size()));
      owner.figures.tokens += event.tokens().count();
      if (!std::exchange(waiting, false)) return;
      owner.figures.firstTokenTimes.push_back(owner.loop_.now() - sent);
      if (++owner.first == owner.total_ && !owner.waitForEnd_) owner.loop_.stop();
    }
    void onStatus(const grpc::Status& status, const http2::Headers&, bool) override {
      if (!owner.waitForEnd_) {  // rejected during the burst of arrivals; retries as a client would
        --owner.started_;
        owner.loop_.after(300'000, [this] { next(); });
        return;
      }
      ++(status.code == grpc::Code::ok ? owner.figures.served : owner.figures.failed);
      if (status.code != grpc::Code::ok && owner.figures.failed < 3)
        std::fprintf(stderr, "%s\n", status.message.c_str());
      if (owner.figures.served + owner.figures.failed == owner.total_) {
        owner.figures.seconds = static_cast<double>(owner.loop_.now() - owner.begin_) / 1e6;
        return owner.loop_.stop();
      }
      next();
    }
    RouterClients& owner;
    std::size_t index;
    Micros sent = 0;
    bool waiting = false;
  };
  net::Loop& loop_;
  std::uint64_t total_;
  bool waitForEnd_;
  std::uint64_t started_ = 0;
  Micros begin_ = 0;
  std::vector<std::unique_ptr<client::Channel>> channels_;
  std::vector<std::unique_ptr<Call>> calls_;
};

// Sends the same requests directly to the engines: prefill at one and decode at another, in rotation.
class DirectClients final : public routing::EngineClientEvents {
 public:
  DirectClients(net::Loop& loop, const membership::EndpointMap& engines, std::uint64_t total,
                std::size_t concurrency)
      : loop_(loop),
        total_(total),
        concurrency_(concurrency),
        engines_(loop, {.connections = 50'000, .idle = 2'000}) {
    engines_.setEvents(*this);
    engines_.update(engines);
    for (const auto& [name, endpoint] : engines)
      (endpoint.kind == "prefill" ? prefillEngines_ : decodeEngines_).push_back(endpoint.id);
  }
  void start() {
    begin_ = loop_.now();
    for (std::size_t i = 0; i < concurrency_; ++i) next();
  }
  Figures figures;

 private:
  struct State {
    routing::Request request;
    Micros sent = 0;
    bool first = true;
    std::string kvTransferParams;
  };
  void next() {
    if (started_ >= total_) return;
    const RequestId id{++started_};
    State& state = states_[id.value];
    state.request.prompt = std::make_shared<const std::string>(prompt(started_));
    state.request.maxOutput = 32;
    state.sent = loop_.now();
    engines_.begin({{id, 0},
                    prefillEngines_[started_ % prefillEngines_.size()],
                    routing::Phase::prefill,
                    &state.request,
                    "straight",
                    {}});
  }
  void onTokens(routing::AttemptId attempt, std::string_view, std::uint32_t count,
                std::span<const std::uint32_t>) override {
    State& state = states_[attempt.request.value];
    figures.tokens += count;
    if (std::exchange(state.first, false)) figures.firstTokenTimes.push_back(loop_.now() - state.sent);
  }
  void onAttemptEnded(routing::AttemptId attempt, const routing::AttemptResult& result) override {
    State& state = states_[attempt.request.value];
    if (result.outcome == Outcome::prefillDone) {
      state.kvTransferParams = result.kvTransferParams;
      engines_.begin({{attempt.request, 1},
                      decodeEngines_[attempt.request.value % decodeEngines_.size()],
                      routing::Phase::decode,
                      &state.request,
                      "straight",
                      state.kvTransferParams});
      return;
    }
    ++(result.outcome == Outcome::completed ? figures.served : figures.failed);
    states_.erase(attempt.request.value);
    if (figures.served + figures.failed == total_) {
      figures.seconds = static_cast<double>(loop_.now() - begin_) / 1e6;
      return loop_.stop();
    }
    next();
  }
  void onProbeEnded(EndpointId, bool, const std::optional<LoadReport>&) override {}
  void onReleaseEnded(const routing::ReleaseCall&, bool) override {}
  net::Loop& loop_;
  std::uint64_t total_;
  std::size_t concurrency_;
  engine::HttpEngineClient engines_;
  std::vector<EndpointId> prefillEngines_, decodeEngines_;
  std::map<std::uint64_t, State> states_;
  std::uint64_t started_ = 0;
  Micros begin_ = 0;
};

void awaitFile(const std::string& path) {
  for (int i = 0; i < 200 && !std::filesystem::exists(path); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
}

}  // namespace

int main(int argc, char** argv) {
  ::signal(SIGPIPE, SIG_IGN);
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  const std::uint64_t total = argc > 1 ? std::stoull(argv[1]) : 4000;
  const std::size_t idle = argc > 2 ? std::stoull(argv[2]) : 10'000;
  std::string folder = "/tmp/garnethook-bench-XXXXXX";
  if (::mkdtemp(folder.data()) == nullptr) return 2;
  for (const bool stalled : {false, true}) {
    const std::string list = folder + "/engines" + (stalled ? "2" : "1") + ".json";
    const std::string portFile = folder + "/port" + (stalled ? "2" : "1");
    const Child engines([&] {
      net::Loop loop;
      fake_engine::Recorder recorder([&] { return loop.now(); }, false);
      fake_engine::Fleet fleet(
          loop, fake_engine::readFleet(config::Node(config::JsonFile::parse("fleet", kFleet)), "engines"),
          recorder);
      if (stalled)
        for (const auto& engine : fleet.engines()) engine->faults.stallAfter = 1;
      fleet.writeList(list, 0);
      loop.run();
    });
    awaitFile(list);
    const Child router([&] {
      net::Loop loop;
      auto settings = server::readSettings(config::Node(config::JsonFile::parse("router", kRouter)), list);
      settings.listen = "127.0.0.1:0";
      server::RouterServer endpoint(
          loop, settings, 1, "bench",
          log::Log::open("bench", "", std::getenv("BENCH_LOG") ? std::getenv("BENCH_LOG") : "error"));
      std::ofstream(portFile + ".new") << endpoint.address().port();
      std::filesystem::rename(portFile + ".new", portFile);
      loop.run();
    });
    awaitFile(portFile);
    std::uint16_t port = 0;
    std::ifstream(portFile) >> port;
    if (!stalled) {
      for (const std::size_t concurrency : {1, 64, 512}) {
        const std::uint64_t streams = concurrency == 1 ? total / 20 : total;
        net::Loop directLoop;
        std::vector<membership::EndpointListError> errors;
        DirectClients direct(directLoop,
                             membership::readEndpointList(config::JsonFile::load(list), {}, errors), streams,
                             concurrency);
        direct.start();
        directLoop.run();
        net::Loop routerLoop;
        RouterClients throughRouter(routerLoop, port, streams, concurrency, true);
        const double cpu = router.cpuSeconds();
        throughRouter.start();
        routerLoop.run();
        Figures& directFigures = direct.figures;
        Figures& routerFigures = throughRouter.figures;
        std::printf(
            "%3zu concurrent, %llu streams: direct %.0f streams/s %.0f tokens/s, router %.0f streams/s %.0f "
            "tokens/s, ratio %.2f; "
            "first token p50 %.2f -> %.2f ms, p99 %.2f -> %.2f ms; router CPU %.0f us per stream; failed "
            "%llu "
            "and %llu\n",
            concurrency, static_cast<unsigned long long>(streams),
            directFigures.served / directFigures.seconds, directFigures.tokens / directFigures.seconds,
            routerFigures.served / routerFigures.seconds, routerFigures.tokens / routerFigures.seconds,
            routerFigures.served / routerFigures.seconds / (directFigures.served / directFigures.seconds),
            directFigures.latencyMsAt(0.5), routerFigures.latencyMsAt(0.5), directFigures.latencyMsAt(0.99),
            routerFigures.latencyMsAt(0.99), (router.cpuSeconds() - cpu) * 1e6 / static_cast<double>(streams),
            static_cast<unsigned long long>(directFigures.failed),
            static_cast<unsigned long long>(routerFigures.failed));
      }
    } else {
      net::Loop loop;
      const double before = router.megabytes();
      RouterClients throughRouter(loop, port, idle, idle, false);
      throughRouter.startGradually(6);
      loop.after(60'000'000, [&] { loop.stop(); });
      loop.run();
      std::printf(
          "%zu idle streams open (stalled after the first token): router memory %.1f -> %.1f MB, %.1f KB per "
          "stream\n",
          throughRouter.first, before, router.megabytes(),
          (router.megabytes() - before) * 1024 /
              static_cast<double>(std::max<std::size_t>(1, throughRouter.first)));
    }
    std::fflush(stdout);
  }
  std::filesystem::remove_all(folder);
  return 0;
}
