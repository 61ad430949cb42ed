// The network between routers and the engines of one zone: refuses, resets, or carries nothing for a while.
// It alone sees when a router closes a connection that is cut off.
#include <poll.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <random>
#include <thread>
#include <vector>

#include "peers.h"
#include "sockets.h"

namespace garnethook::soak {
namespace {

constexpr Micros kTurn = 10 * kMillisecond;
constexpr Micros kConnectWithin = kSecond;
constexpr int kResetPercent = 30;  // of connections during a trouble with resets

class Proxy {
 public:
  explicit Proxy(const PeerOptions& options)
      : plan_(options.plan()),
        zone_(options.number == 0 ? "a" : "b"),
        log_(options.logFile("proxy-" + zone_)) {}

  void run() {
    std::vector<std::thread> threads;
    for (int engine = 0; engine < plan_.engines(); ++engine)
      if (plan_.zone(engine) == zone_) threads.emplace_back([this, engine] { listen(engine); });
    for (std::thread& thread : threads) thread.join();
  }

 private:
  Micros end() const { return plan_.start + plan_.length + kAfterDay; }

  void listen(int engine) {
    const std::string name = "e" + std::to_string(engine);
    Socket listener = listenAt(plan_.proxyPort(engine));
    while (monotonicNow() < end()) {
      if (silent(name)) {
        listener.close();
        keepSilence(plan_.proxyPort(engine), name);
        continue;
      }
      if (plan_.isActive("refuse", name, monotonicNow())) {
        listener.close();
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        continue;
      }
      if (!listener) listener = listenAt(plan_.proxyPort(engine));
      Socket socket = acceptFrom(listener, kTurn);
      if (socket)
        std::thread([this, engine, name, s = std::move(socket)]() mutable {
          carry(s, engine, name);
        }).detach();
    }
  }

  bool silent(const std::string& engine) const {
    const Micros now = monotonicNow();
    return plan_.isActive("silent", engine, now) || plan_.isActive("cut", zone_, now);
  }

  // New connections get no answer at all, as from a machine that is cut off: the system's queue of a listener
  // that accepts nothing is full, and drops what comes.
  void keepSilence(int port, const std::string& name) const {
    const Socket listener = listenAt(port, 0);
    constexpr std::size_t kFill = 4;
    std::vector<Socket> fillers;
    while (silent(name)) {
      if (fillers.size() < kFill) fillers.push_back(connectTo("127.0.0.1", port, kTurn));
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  // Carries bytes both ways until one side closes.
  void carry(Socket& router, int engine, const std::string& name) {
    const int routerNumber = Plan::routerOf(router.localHost());
    Socket upstream = connectTo("127.0.0.1", plan_.enginePort(engine), kConnectWithin);
    if (!upstream) return router.reset();
    const std::string link = " engine=" + name + " port=" + std::to_string(upstream.localPort());
    log_.write("link" + link + " router=r" + std::to_string(routerNumber));
    std::mt19937_64 random(plan_.seed + static_cast<std::uint64_t>(upstream.localPort()));
    Micros resetAt = end();
    const Micros since = monotonicNow();
    while (monotonicNow() < end()) {
      if (fellSilent(name, since)) {
        log_.write("silenced" + link);
        router.awaitPeerClose(end() - monotonicNow());  // nothing is carried any more, and nobody is told
        log_.write("closed" + link + " by=router");
        return awaitSilentEnd(upstream);
      }
      if (plan_.isActive("held", name, monotonicNow()) && !deliverLate(router, upstream, name, link)) return;
      if (silent(name)) {
        const bool waited = awaitVoice(router, name);
        log_.write("closed" + link + (waited ? " by=network" : " by=router"));
        if (waited) router.reset();  // it is back, and knows nothing of this connection
        return upstream.reset();
      }
      if (resetAt == end() && plan_.isActive("reset", name, monotonicNow()))
        resetAt = random() % 100 < kResetPercent
                      ? monotonicNow() + static_cast<Micros>(random() % 200) * kMillisecond
                      : end() + 1;
      if (monotonicNow() >= resetAt) {
        log_.write("closed" + link + " by=network");
        router.reset();
        return upstream.reset();
      }
      if (!turn(router, upstream, link)) return;
    }
  }

  // Whether this connection, open since then, has fallen silent for good: new ones are sound.
  bool fellSilent(const std::string& engine, Micros since) const {
    const Micros now = monotonicNow();
    return std::any_of(plan_.plannedFaults.begin(), plan_.plannedFaults.end(), [&](const Fault& t) {
      const bool isMeant = t.kind == "deaf" && (t.target == engine || t.target == "all");
      return isMeant && since < plan_.start + t.from && now >= plan_.start + t.from;
    });
  }

  // The engine hears nothing of the router's close for a while.
  void awaitSilentEnd(const Socket& upstream) const { upstream.awaitPeerClose(2 * kSecond); }

  // Holds back what the router sends until the trouble is over, and then delivers it, also where the router
  // has closed meanwhile. False: the connection has ended.
  bool deliverLate(Socket& router, Socket& upstream, const std::string& name, const std::string& link) {
    std::string held;
    bool isOpen = true;
    while (plan_.isActive("held", name, monotonicNow())) {
      bool broken = false;
      const auto bytes = isOpen ? router.read(kTurn, broken) : std::nullopt;
      if (!isOpen) std::this_thread::sleep_for(std::chrono::microseconds(kTurn));
      if (bytes) held += *bytes;
      if (!isOpen || (!broken && !(bytes && bytes->empty()))) continue;
      isOpen = false;
      log_.write("closed" + link + " by=router");
    }
    if (!held.empty()) {
      log_.write("late" + link);
      upstream.write(held);
    }
    if (!isOpen) std::this_thread::sleep_for(std::chrono::microseconds(kTurn));  // it begins before the close
    return isOpen;
  }

  // Waits while nothing is carried; false: the router has closed meanwhile.
  bool awaitVoice(Socket& router, const std::string& name) const {
    while (silent(name))
      if (router.awaitPeerClose(kTurn)) return false;
    return true;
  }

  bool turn(Socket& router, Socket& upstream, const std::string& link) {
    pollfd sides[2] = {{router.descriptor(), POLLIN | POLLRDHUP, 0}, {upstream.descriptor(), POLLIN, 0}};
    if (::poll(sides, 2, static_cast<int>(kTurn / 1000)) <= 0) return true;
    bool broken = false;
    if (sides[0].revents != 0) {
      const auto bytes = router.read(0, broken);
      if (broken || (bytes && bytes->empty())) {
        log_.write("closed" + link + " by=router");
        return false;
      }
      if (bytes && !upstream.write(*bytes)) {
        log_.write("closed" + link + " by=engine");
        router.reset();
        return false;
      }
    }
    if (sides[1].revents != 0) {
      const auto bytes = upstream.read(0, broken);
      if (broken) router.reset();
      if (broken || (bytes && bytes->empty())) {
        log_.write("closed" + link + " by=engine");
        return false;
      }
      if (bytes) router.write(*bytes);
    }
    return true;
  }

  Plan plan_;
  std::string zone_;
  EventLog log_;
};

}  // namespace

void runProxy(const PeerOptions& options) { Proxy(options).run(); }

}  // namespace garnethook::soak
