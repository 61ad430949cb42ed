// The whole path, in one run: the same closed-loop clients straight at stand-in engines, and through a
// router. Three processes on loopback: stand-ins, router, clients. Prints streams and tokens a second,
// first-token latencies, CPU and memory; asserts nothing. Engines are stand-ins with times near zero.
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
  std::vector<Micros> firsts;
  std::uint64_t served = 0;
  std::uint64_t failed = 0;
  std::uint64_t tokens = 0;
  double seconds = 0;
  double q(double p) {
    if (firsts.empty()) return 0;
    std::sort(firsts.begin(), firsts.end());
    return static_cast<double>(firsts[static_cast<std::size_t>(p * static_cast<double>(firsts.size() - 1))]) /
           1000;
  }
};

std::string prompt(std::uint64_t n) { return std::string(2000, 'p') + " question " + std::to_string(n); }

class ThroughRouter {
 public:
  ThroughRouter(net::Loop& loop, std::uint16_t port, std::uint64_t total, std::size_t atOnce, bool waitForEnd)
      : loop_(loop), total_(total), waitForEnd_(waitForEnd) {
    for (std::size_t i = 0; i < std::max<std::size_t>(1, atOnce / 1000 + 3); ++i)
      channels_.push_back(std::make_unique<client::Channel>(loop, Poco::Net::SocketAddress("127.0.0.1", port),
                                                            client::Channel::Options{}));
    for (std::size_t i = 0; i < atOnce; ++i) calls_.push_back(std::make_unique<Call>(*this, i));
  }
  void start() {
    begin_ = loop_.now();
    for (auto& c : calls_) c->next();
  }
  // Opens them over time, as clients come: `perTurn` every 10 ms.
  void startSlowly(std::size_t perTurn, std::size_t from = 0) {
    for (std::size_t i = from; i < std::min(calls_.size(), from + perTurn); ++i) calls_[i]->next();
    if (from + perTurn < calls_.size())
      loop_.after(10'000, [=, this] { startSlowly(perTurn, from + perTurn); });
  }
  Figures figures;
  std::size_t first = 0;

 private:
  struct Call final : client::CallEvents {
    Call(ThroughRouter& o, std::size_t i) : owner(o), index(i) {}
    void next() {
      if (owner.started_ >= owner.total_) return;
      v1::GenerateRequest r;
      r.set_prompt(prompt(owner.started_++));
      r.set_max_output_tokens(32);
      sent = owner.loop_.now();
      waiting = true;
      owner.channels_[index % owner.channels_.size()]->call("/garnethook.v1.Generation/Generate",
                                                            r.SerializeAsString(), 120'000'000, *this);
    }
    void onMessage(std::string_view m) override {
      v1::GenerateEvent e;
      e.ParseFromArray(m.data(), static_cast<int>(m.size()));
      owner.figures.tokens += e.tokens().count();
      if (!std::exchange(waiting, false)) return;
      owner.figures.firsts.push_back(owner.loop_.now() - sent);
      if (++owner.first == owner.total_ && !owner.waitForEnd_) owner.loop_.stop();
    }
    void onStatus(const grpc::Status& s, const http2::Headers&, bool) override {
      if (!owner.waitForEnd_) {  // refused while many come at once: again, as a client would
        --owner.started_;
        owner.loop_.after(300'000, [this] { next(); });
        return;
      }
      ++(s.code == grpc::Code::ok ? owner.figures.served : owner.figures.failed);
      if (s.code != grpc::Code::ok && owner.figures.failed < 3)
        std::fprintf(stderr, "%s\n", s.message.c_str());
      if (owner.figures.served + owner.figures.failed == owner.total_) {
        owner.figures.seconds = static_cast<double>(owner.loop_.now() - owner.begin_) / 1e6;
        return owner.loop_.stop();
      }
      next();
    }
    ThroughRouter& owner;
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

// The same requests straight at the engines: read at one, written at another, in turn.
class Straight final : public routing::EngineClientEvents {
 public:
  Straight(net::Loop& loop, const membership::EndpointMap& engines, std::uint64_t total, std::size_t atOnce)
      : loop_(loop), total_(total), atOnce_(atOnce), engines_(loop, {.connections = 50'000, .idle = 2'000}) {
    engines_.setEvents(*this);
    engines_.update(engines);
    for (const auto& [name, e] : engines) (e.kind == "prefill" ? readers_ : writers_).push_back(e.id);
  }
  void start() {
    begin_ = loop_.now();
    for (std::size_t i = 0; i < atOnce_; ++i) next();
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
    State& s = states_[id.value];
    s.request.prompt = std::make_shared<const std::string>(prompt(started_));
    s.request.maxOutput = 32;
    s.sent = loop_.now();
    engines_.begin(
        {{id, 0}, readers_[started_ % readers_.size()], routing::Phase::prefill, &s.request, "straight", {}});
  }
  void onTokens(routing::AttemptId a, std::string_view, std::uint32_t count,
                std::span<const std::uint32_t>) override {
    State& s = states_[a.request.value];
    figures.tokens += count;
    if (std::exchange(s.first, false)) figures.firsts.push_back(loop_.now() - s.sent);
  }
  void onAttemptEnded(routing::AttemptId a, const routing::AttemptResult& r) override {
    State& s = states_[a.request.value];
    if (r.outcome == Outcome::prefillDone) {
      s.kvTransferParams = r.kvTransferParams;
      engines_.begin({{a.request, 1},
                      writers_[a.request.value % writers_.size()],
                      routing::Phase::decode,
                      &s.request,
                      "straight",
                      s.kvTransferParams});
      return;
    }
    ++(r.outcome == Outcome::completed ? figures.served : figures.failed);
    states_.erase(a.request.value);
    if (figures.served + figures.failed == total_) {
      figures.seconds = static_cast<double>(loop_.now() - begin_) / 1e6;
      return loop_.stop();
    }
    next();
  }
  void onProbeEnded(EndpointId, bool, const std::optional<LoadReport>&) override {}
  void onReleaseEnded(EndpointId, RequestId, bool) override {}
  net::Loop& loop_;
  std::uint64_t total_;
  std::size_t atOnce_;
  engine::HttpEngineClient engines_;
  std::vector<EndpointId> readers_, writers_;
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
        for (const auto& e : fleet.engines()) e->faults.stallAfter = 1;
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
      for (const std::size_t atOnce : {1, 64, 512}) {
        const std::uint64_t n = atOnce == 1 ? total / 20 : total;
        net::Loop one;
        std::vector<membership::EndpointListError> errors;
        Straight straight(one, membership::readEndpointList(config::JsonFile::load(list), {}, errors), n,
                          atOnce);
        straight.start();
        one.run();
        net::Loop two;
        ThroughRouter through(two, port, n, atOnce, true);
        const double cpu = router.cpuSeconds();
        through.start();
        two.run();
        Figures& s = straight.figures;
        Figures& t = through.figures;
        std::printf(
            "%3zu at once, %llu streams: straight %.0f streams/s %.0f tokens/s, router %.0f streams/s %.0f "
            "tokens/s, ratio %.2f; "
            "first token p50 %.2f -> %.2f ms, p99 %.2f -> %.2f ms; router CPU %.0f us a stream; failed %llu "
            "and %llu\n",
            atOnce, static_cast<unsigned long long>(n), s.served / s.seconds, s.tokens / s.seconds,
            t.served / t.seconds, t.tokens / t.seconds, t.served / t.seconds / (s.served / s.seconds),
            s.q(0.5), t.q(0.5), s.q(0.99), t.q(0.99),
            (router.cpuSeconds() - cpu) * 1e6 / static_cast<double>(n),
            static_cast<unsigned long long>(s.failed), static_cast<unsigned long long>(t.failed));
      }
    } else {
      net::Loop loop;
      const double before = router.megabytes();
      ThroughRouter through(loop, port, idle, idle, false);
      through.startSlowly(6);
      loop.after(60'000'000, [&] { loop.stop(); });
      loop.run();
      std::printf(
          "%zu idle streams open (first token came, then quiet): router memory %.1f -> %.1f MB, %.1f KB a "
          "stream\n",
          through.first, before, router.megabytes(),
          (router.megabytes() - before) * 1024 /
              static_cast<double>(std::max<std::size_t>(1, through.first)));
    }
    std::fflush(stdout);
  }
  std::filesystem::remove_all(folder);
  return 0;
}
