// Fault soak of `garnethook run`: routers, engines, network, discovery and clients as processes on loopback,
// with overlapping faults. Exit status: 0 no rule was violated, 1 a rule was violated, 2 the soak could not
// run.
//
// Usage: fault_soak --program PATH --shim PATH [--seed N] [--seeds COUNT] [--seconds S] [--folder DIR]
//        [--faults SPEC] [--clock SPEC] [--keep]
#include <signal.h>
#include <sys/prctl.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <memory>
#include <thread>

#include "oracle.h"
#include "peers.h"
#include "process/child_process.h"
#include "sockets.h"

namespace garnethook::soak {
namespace {

using test::ChildOptions;
using test::ChildProcess;
namespace fs = std::filesystem;

constexpr Micros kReadyTimeout = 10 * kSecond;
constexpr Micros kInServiceAfterSignal = 300 * kMillisecond;  // the platform's frontend still uses the router
constexpr Micros kKillDetectedAfter = 300 * kMillisecond;
constexpr Micros kPollInterval = 5 * kMillisecond;

struct Options {
  std::string self;
  std::string program;
  std::string shim;
  std::string folder;
  std::string faults = "auto";
  std::string clock = "auto";
  std::uint64_t seed = 1;
  int seeds = 1;
  int seconds = 12;
  int portBase = 21000;
  bool keep = false;
};

// Transient errors that Linux documents for the program's system calls.
constexpr const char* kAllCallErrors =
    "recv:EINTR:2,recv:ENOMEM:1,recv:SHORT:3,send:EINTR:2,send:ENOBUFS:1,send:ENOMEM:1,send:SHORT:2,"
    "accept:ECONNABORTED:2,accept:ENFILE:2,accept:EPROTO:1,accept:EINTR:1,accept:ENOBUFS:1,accept:ENETDOWN:1,"
    "socket:ENFILE:1,socket:ENOBUFS:1,socket:EMFILE:1,connect:EADDRNOTAVAIL:1,connect:ENETUNREACH:1,"
    "connect:EINTR:2,epoll_wait:EINTR:5,epoll_ctl:ENOMEM:1,epoll_ctl:ENOSPC:1,poll:EINTR:2,poll:ENOMEM:1,"
    "getpeername:ENOBUFS:2,close:EINTR:2,open:EMFILE:10,open:EINTR:10,read:EINTR:10,write:EINTR:1";
constexpr const char* kInterruptedWaits = "epoll_wait:EINTR:20,poll:EINTR:5,recv:EINTR:5,send:EINTR:5";

std::string callFaultsFor(const Options& options, std::uint64_t seed) {
  if (options.faults != "auto") return options.faults;
  switch (seed % 4) {
    case 1: return kAllCallErrors;
    case 2: return kInterruptedWaits;
    default: return "";
  }
}

std::string clockStepsFor(const Options& options, std::uint64_t seed) {
  if (options.clock != "auto") return options.clock;
  switch (seed % 3) {
    case 1: return "3000:3600000,6000:-7200000,9000:5000";
    case 2: return "0:3600000,4000:-3000";
    default: return "";
  }
}

// A router process and the faults that are planned for it.
class RouterProcess {
 public:
  RouterProcess(const Options& options, const PeerOptions& peer, const Plan& plan, const EventLog& log,
                int number)
      : options_(options),
        peer_(peer),
        plan_(plan),
        log_(log),
        number_(number),
        name_("r" + std::to_string(number)) {
    for (const Fault& fault : plan.plannedFaults)
      if (fault.target == name_) faults_.push_back(fault);
    std::sort(faults_.begin(), faults_.end(),
              [](const Fault& left, const Fault& right) { return left.from < right.from; });
    start();
  }

  bool ready() const { return ready_; }

  // Must be called every few milliseconds.
  void poll() {
    const Micros now = monotonicNow();
    checkExit(now);
    checkReady(now);
    while (ready_ && nextFault_ < faults_.size() && now >= plan_.start + faults_[nextFault_].from)
      applyFault(faults_[nextFault_++]);
    if (resumeAt_ != 0 && now >= resumeAt_) {
      process_->signal(SIGCONT);
      resumeAt_ = 0;
    }
    if (removeFromServiceAt_ != 0 && now >= removeFromServiceAt_) removeFromService();
    if (killAt_ != 0 && now >= killAt_) {
      log_.write("overdue router=" + name_);
      process_->signal(SIGKILL);
      killAt_ = 0;
    }
  }

  // Starts a graceful shutdown; returns true once the process has exited.
  bool finish() {
    if (!finishing_) {
      finishing_ = exited_ = true;
      if (resumeAt_ != 0) process_->signal(SIGCONT);
      process_->signal(SIGTERM);
    }
    return process_->ended();
  }

  std::string errorFile() const { return peer_.folder + "/" + name_ + ".log"; }

 private:
  void configure(std::string discovery, bool truncated = false) {
    const std::string sourceAddress = Plan::sourceAddressOf(number_);
    const int port = plan_.discoveryPort(discovery == "d0" ? 0 : 1);
    std::string members;
    for (int e = 0; e < plan_.engines(); ++e)
      members += std::string(e == 0 ? "" : ",") + R"({"id":"e)" + std::to_string(e) + R"(","host_port":")" +
                 sourceAddress + ":" + std::to_string(plan_.proxyPort(e)) + R"(","locality":")" +
                 plan_.zone(e) + R"(","flavor":")" + (plan_.isPrefillEngine(e) ? "m1" : "m2") +
                 R"(","cell":)" + std::to_string(e % 2) + R"(,"phase":"ready","size":1.0,"up_since_ms":0})";
    std::string text =
        R"({"name":")" + name_ + R"(","listen":"127.0.0.1:)" + std::to_string(plan_.routerPort(number_)) +
        R"(","discovery":")" + sourceAddress + ":" + std::to_string(port) + R"(","seed":")" +
        std::to_string(number_ + 1) +
        R"(","limits":{"cores":1,"memory_mb":192,"sockets":512},
      "known":{"revision":1,"complete":true,"members":[)" +
        members + R"(]},
      "settings":{"az":")" +
        (number_ % 2 == 0 ? "a" : "b") + R"(","zones":["a","b"],"skus":["m1","m2"],"balancers":)" +
        std::to_string(plan_.routers) + R"(,"me":)" + std::to_string(number_) + R"(,"discovery":"push",
        "allowed":{"attemptsCap":4,"mayCancel":true,"probes":true,"connIdleMs":15000.0,"dialTimeoutMs":250.0,
                   "retryAfter":true,"maxRetryAfterMs":500.0},
        "familyInfo":{"kindRole":["read","write"],"memoryTokens":[200000,100000],"releaseWithinMs":500.0,
                      "tokenAimMs":[50.0,70.0,70.0]},
        "profiles":[{"name":"chat","aimMs":)" +
        ttftObjectiveMs(0) + R"(,"deadlineMs":)" + std::to_string(plan_.deadlinesMs[0]) +
        R"(,"effect":"read_like","streaming":true},
                    {"name":"keyed","aimMs":)" +
        ttftObjectiveMs(1) + R"(,"deadlineMs":)" + std::to_string(plan_.deadlinesMs[1]) +
        R"(,"effect":"idempotency_key","group":"zone",
                     "windowMs":1500.0,"streaming":true},
                    {"name":"order","aimMs":)" +
        ttftObjectiveMs(2) + R"(,"deadlineMs":)" + std::to_string(plan_.deadlinesMs[2]) +
        R"(,"effect":"non_idempotent","streaming":true}],
        "rules":{"coldFrom":0.3,"warmWithinMs":4000.0,"fallMultiple":2.5,"tipAfterMs":1500.0,"drainGraceMs":1500.0,
                 "graceToAnswerMs":8.0}}})";
    discovery_ = discovery;
    if (truncated) text.resize(text.size() / 2);
    const std::string temporaryFile = configFile() + ".draft";
    std::ofstream(temporaryFile) << text;
    fs::rename(temporaryFile, configFile());
  }
  // Returns the TTFT objective: half of the deadline.
  std::string ttftObjectiveMs(std::size_t requestClass) const {
    return std::to_string(plan_.deadlinesMs[requestClass] / 2);
  }
  std::string configFile() const { return peer_.folder + "/" + name_ + ".json"; }

  void start() {
    configure(discovery_);
    std::vector<std::string> environment{
        "RELAY_CONFIG=" + configFile(), "FAULTS=" + callFaultsFor(options_, plan_.seed),
        "CLOCK_STEPS=" + clockStepsFor(options_, plan_.seed),
        "FAULT_SEED=" +
            std::to_string(plan_.seed * 100 + static_cast<unsigned>(number_ + 10 * startCount_++))};
    if (!options_.shim.empty()) environment.push_back("LD_PRELOAD=" + options_.shim);
    environment.push_back("ASAN_OPTIONS=verify_asan_link_order=0");
    process_ = std::make_unique<ChildProcess>(
        ChildOptions{{options_.program, "run", "--log", "debug"}, environment, errorFile()});
    startedAt_ = monotonicNow();
    log_.write("started router=" + name_);
    ready_ = exited_ = false;
  }

  void checkReady(Micros now) {
    if (ready_ || exited_) return;
    Socket socket = connectTo("127.0.0.1", plan_.routerPort(number_), 50 * kMillisecond);
    HttpReader reader(socket);
    HttpMessage response;
    const bool isRequestSent =
        socket && socket.write("GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    if (isRequestSent &&
        reader.readMessage(response, now + 200 * kMillisecond) == HttpReader::Result::whole &&
        response.start.starts_with("HTTP/1.1 200")) {
      ready_ = true;
      std::ofstream(peer_.inService(number_)) << "1";
    } else if (now - startedAt_ > kReadyTimeout && !std::exchange(lateReadyLogged_, true)) {
      log_.write("late-ready router=" + name_);
    }
  }

  void checkExit(Micros now) {
    if (exited_ || !process_->ended()) {
      if (exited_ && now >= restartAt_) start();
      return;
    }
    exited_ = true;
    if (killAt_ == 0 && !exitExpected_)
      log_.write("crashed router=" + name_ + " what=status-" +
                 std::to_string(process_->exitStatus().value_or(-1)));
    killAt_ = removeFromServiceAt_ = resumeAt_ = 0;
    exitExpected_ = lateReadyLogged_ = false;
    removeFromService();
    restartAt_ = now + 200 * kMillisecond;
  }

  void removeFromService() {
    std::error_code ignored;
    fs::remove(peer_.inService(number_), ignored);
    removeFromServiceAt_ = 0;
  }

  void applyFault(const Fault& fault) {
    const Micros now = monotonicNow();
    if (fault.kind == "term") {
      process_->signal(SIGTERM);
      log_.write("terminated router=" + name_);
      removeFromServiceAt_ = now + kInServiceAfterSignal;
      killAt_ = now + plan_.killAfterSignal();
      exitExpected_ = true;
    } else if (fault.kind == "term-again") {
      if (killAt_ != 0) process_->signal(SIGTERM);
    } else if (fault.kind == "kill") {
      log_.write("killed router=" + name_);
      process_->signal(SIGKILL);
      exitExpected_ = true;
      removeFromServiceAt_ = now + kKillDetectedAfter;
    } else if (fault.kind == "hup") {
      configure(fault.detail);
      process_->signal(SIGHUP);
    } else if (fault.kind == "badhup") {
      configure(discovery_, true);
      process_->signal(SIGHUP);
    } else if (fault.kind == "pause") {
      process_->signal(SIGSTOP);
      resumeAt_ = plan_.start + fault.until;
    }
  }

  const Options& options_;
  PeerOptions peer_;
  const Plan& plan_;
  const EventLog& log_;
  int number_;
  std::string name_;
  std::string discovery_ = "d0";
  std::vector<Fault> faults_;
  std::size_t nextFault_ = 0;
  std::unique_ptr<ChildProcess> process_;
  int startCount_ = 0;
  Micros startedAt_ = 0;
  Micros restartAt_ = 0;
  Micros removeFromServiceAt_ = 0;
  Micros killAt_ = 0;
  Micros resumeAt_ = 0;
  bool ready_ = false;
  bool exited_ = false;
  bool exitExpected_ = false;
  bool lateReadyLogged_ = false;
  bool finishing_ = false;
};

// One run with one seed.
class SoakRun {
 public:
  SoakRun(const Options& options, std::uint64_t seed) : options_(options) {
    peer_.folder = options.folder + "/seed-" + std::to_string(seed);
    fs::remove_all(peer_.folder);
    fs::create_directories(peer_.folder);
    plan_ = generatePlan(seed, options.seconds * kSecond, options.portBase);
    plan_.start = monotonicNow() + 3 * kSecond;
    plan_.write(peer_.folder + "/plan");
  }

  bool run() {
    const EventLog log(peer_.folder + "/day.events");
    for (int i = 0; i < plan_.engines(); ++i) spawn("engine", i);
    for (int zone = 0; zone < 2; ++zone) spawn("proxy", zone);
    spawn("discovery", 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    std::vector<std::unique_ptr<RouterProcess>> routers;
    for (int i = 0; i < plan_.routers; ++i)
      routers.push_back(std::make_unique<RouterProcess>(options_, peer_, plan_, log, i));
    for (int i = 0; i < plan_.clients; ++i) spawn("clients", i);
    const Micros end = plan_.start + plan_.length + 4 * kSecond;
    while (monotonicNow() < end) {
      for (auto& router : routers) router->poll();
      std::this_thread::sleep_for(std::chrono::microseconds(kPollInterval));
    }
    finish(routers, log);
    collectViolations(routers, log);
    peers_.clear();
    return report();
  }

 private:
  void spawn(const std::string& role, int number) {
    peers_.push_back(std::make_unique<ChildProcess>(ChildOptions{
        {options_.self, "--peer", role, "--number", std::to_string(number), "--folder", peer_.folder},
        {},
        peer_.folder + "/" + role + "-" + std::to_string(number) + ".errors"}));
  }

  void finish(std::vector<std::unique_ptr<RouterProcess>>& routers, const EventLog& log) const {
    const Micros until = monotonicNow() + plan_.killAfterSignal();
    bool allExited = false;
    while (!allExited && monotonicNow() < until) {
      allExited = true;
      for (auto& router : routers) allExited = router->finish() && allExited;
      std::this_thread::sleep_for(std::chrono::microseconds(kPollInterval));
    }
    if (!allExited) log.write("overdue router=any");
  }

  // Collects the violations and sanitizer errors that the routers logged.
  static void collectViolations(const std::vector<std::unique_ptr<RouterProcess>>& routers,
                                const EventLog& log) {
    for (const auto& router : routers) {
      std::ifstream file(router->errorFile());
      for (std::string line; std::getline(file, line);) {
        const bool found = line.find("\"rule-violation\"") != std::string::npos ||
                           line.find("AddressSanitizer") != std::string::npos ||
                           line.find("runtime error") != std::string::npos;
        if (!found) continue;
        std::replace(line.begin(), line.end(), ' ', '_');
        std::replace(line.begin(), line.end(), '=', ':');
        log.write("violation router=" + fs::path(router->errorFile()).stem().string() + " what=" + line);
      }
    }
  }

  bool report() const {
    std::vector<LoggedEvent> events;
    for (const auto& file : fs::directory_iterator(peer_.folder)) {
      if (file.path().extension() != ".events") continue;
      const auto fileEvents = readEvents(file.path().string());
      events.insert(events.end(), fileEvents.begin(), fileEvents.end());
    }
    const Verdict verdict = checkInvariants(plan_, std::move(events));
    std::cout << "seed " << plan_.seed << ":";
    for (const auto& [name, count] : verdict.counts) std::cout << " " << name << " " << count << ",";
    std::cout << " breaches " << verdict.violations.size() << "\n";
    for (const Violation& violation : verdict.violations)
      std::cout << "  " << violation.at / 1000 << " ms " << violation.rule << ": " << violation.text << "\n";
    std::cout << std::flush;
    return verdict.violations.empty();
  }

  const Options& options_;
  PeerOptions peer_;
  Plan plan_;
  std::vector<std::unique_ptr<ChildProcess>> peers_;
};

int soak(Options options) {
  int failed = 0;
  for (int i = 0; i < options.seeds; ++i) {
    const std::uint64_t seed = options.seed + static_cast<std::uint64_t>(i);
    const bool passed = SoakRun(options, seed).run();
    if (!passed) ++failed;
    if (passed && !options.keep) fs::remove_all(options.folder + "/seed-" + std::to_string(seed));
  }
  std::cout << options.seeds - failed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 ? 0 : 1;
}

int runPeer(const std::string& role, const PeerOptions& options) {
  ::signal(SIGPIPE, SIG_IGN);
  if (role == "engine") runEngine(options);
  if (role == "proxy") runProxy(options);
  if (role == "discovery") runDiscovery(options);
  if (role == "clients") runClients(options);
  ::_exit(0);  // connection threads may still be running
}

}  // namespace
}  // namespace garnethook::soak

int main(int argc, char** argv) {
  using namespace garnethook::soak;
  Options options;
  options.self = std::filesystem::read_symlink("/proc/self/exe").string();
  options.folder = (std::filesystem::temp_directory_path() / "garnethook-soak").string();
  std::string peer;
  PeerOptions peerOptions;
  CLI::App app{"Fault soak of garnethook run"};
  app.add_option("--program", options.program, "path of the router program");
  app.add_option("--shim", options.shim,
                 "library that injects system call errors; none: no errors are injected");
  app.add_option("--seed", options.seed, "seed of the first run");
  app.add_option("--seeds", options.seeds, "number of runs");
  app.add_option("--seconds", options.seconds, "length of a run in seconds");
  app.add_option("--folder", options.folder, "parent of the folders of all runs");
  app.add_option("--faults", options.faults,
                 "CALL:ERRNO:PERCENT,... instead of the faults selected by the seed");
  app.add_option("--clock", options.clock, "AFTER_MS:STEP_MS,... instead of the steps selected by the seed");
  app.add_option("--ports", options.portBase, "first port of the range in use");
  app.add_flag("--keep", options.keep, "keep the folders of runs that passed");
  app.add_option("--peer", peer, "internal: starts a peer process");
  app.add_option("--number", peerOptions.number, "internal: starts a peer process");
  CLI11_PARSE(app, argc, argv);
  try {
    if (!peer.empty()) {
      peerOptions.folder = options.folder;
      return runPeer(peer, peerOptions);
    }
    if (options.program.empty()) throw std::runtime_error("--program is missing");
    return soak(options);
  } catch (const std::exception& e) {
    std::cerr << e.what() << std::endl;
    return 2;
  }
}
