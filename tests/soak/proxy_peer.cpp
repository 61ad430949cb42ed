// Proxy for the network between routers and the engines of one zone: it refuses or resets connections, or
// forwards nothing for a while. Only the proxy observes when a router closes a connection that is cut off.
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

constexpr Micros kPollInterval = 10 * kMillisecond;
constexpr Micros kConnectTimeout = kSecond;
constexpr int kResetPercent = 30;  // share of connections while a "reset" fault is active

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
  Micros end() const { return plan_.start + plan_.length + kDrainAfterRun; }

  void listen(int engine) {
    const std::string name = "e" + std::to_string(engine);
    Socket listener = listenAt(plan_.proxyPort(engine));
    while (monotonicNow() < end()) {
      if (isCutOff(name)) {
        listener.close();
        dropNewConnections(plan_.proxyPort(engine), name);
        continue;
      }
      if (plan_.isActive("refuse", name, monotonicNow())) {
        listener.close();
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        continue;
      }
      if (!listener) listener = listenAt(plan_.proxyPort(engine));
      Socket socket = acceptFrom(listener, kPollInterval);
      if (socket)
        std::thread([this, engine, name, connection = std::move(socket)]() mutable {
          forward(connection, engine, name);
        }).detach();
    }
  }

  bool isCutOff(const std::string& engine) const {
    const Micros now = monotonicNow();
    return plan_.isActive("silent", engine, now) || plan_.isActive("cut", zone_, now);
  }

  // New connections get no response, as from a host that is cut off: the backlog of a listener that accepts
  // nothing is full, so the kernel drops connection attempts.
  void dropNewConnections(int port, const std::string& name) const {
    const Socket listener = listenAt(port, 0);
    constexpr std::size_t kFillerConnections = 4;
    std::vector<Socket> fillers;
    while (isCutOff(name)) {
      if (fillers.size() < kFillerConnections) fillers.push_back(connectTo("127.0.0.1", port, kPollInterval));
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }

  // Forwards bytes in both directions until one side closes.
  void forward(Socket& router, int engine, const std::string& name) {
    const int routerNumber = Plan::routerOf(router.localHost());
    Socket upstream = connectTo("127.0.0.1", plan_.enginePort(engine), kConnectTimeout);
    if (!upstream) return router.reset();
    const std::string link = " engine=" + name + " port=" + std::to_string(upstream.localPort());
    log_.write("link" + link + " router=r" + std::to_string(routerNumber));
    std::mt19937_64 random(plan_.seed + static_cast<std::uint64_t>(upstream.localPort()));
    Micros resetAt = end();
    const Micros since = monotonicNow();
    while (monotonicNow() < end()) {
      if (isPermanentlySilent(name, since)) {
        log_.write("silenced" + link);
        router.awaitPeerClose(end() - monotonicNow());  // nothing is forwarded, and neither side is notified
        log_.write("closed" + link + " by=router");
        return awaitEngineClose(upstream);
      }
      if (plan_.isActive("held", name, monotonicNow()) && !deliverDelayed(router, upstream, name, link))
        return;
      if (isCutOff(name)) {
        const bool hasRecovered = awaitRecovery(router, name);
        log_.write("closed" + link + (hasRecovered ? " by=network" : " by=router"));
        if (hasRecovered) router.reset();  // the network is back, but the connection's state is lost
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
      if (!forwardOnce(router, upstream, link)) return;
    }
  }

  // Returns whether this connection, opened at `since`, has become silent permanently; new connections work.
  bool isPermanentlySilent(const std::string& engine, Micros since) const {
    const Micros now = monotonicNow();
    return std::any_of(plan_.plannedFaults.begin(), plan_.plannedFaults.end(), [&](const Fault& fault) {
      const bool applies = fault.kind == "deaf" && (fault.target == engine || fault.target == "all");
      return applies && since < plan_.start + fault.from && now >= plan_.start + fault.from;
    });
  }

  // The engine does not observe the router's close for a while.
  void awaitEngineClose(const Socket& upstream) const { upstream.awaitPeerClose(2 * kSecond); }

  // Buffers what the router sends until the fault is over and then delivers it, even if the router has closed
  // in the meantime. Returns false if the connection has ended.
  bool deliverDelayed(Socket& router, Socket& upstream, const std::string& name, const std::string& link) {
    std::string delayedBytes;
    bool isOpen = true;
    while (plan_.isActive("held", name, monotonicNow())) {
      bool broken = false;
      const auto bytes = isOpen ? router.read(kPollInterval, broken) : std::nullopt;
      if (!isOpen) std::this_thread::sleep_for(std::chrono::microseconds(kPollInterval));
      if (bytes) delayedBytes += *bytes;
      if (!isOpen || (!broken && !(bytes && bytes->empty()))) continue;
      isOpen = false;
      log_.write("closed" + link + " by=router");
    }
    if (!delayedBytes.empty()) {
      log_.write("late" + link);
      upstream.write(delayedBytes);
    }
    if (!isOpen)
      std::this_thread::sleep_for(
          std::chrono::microseconds(kPollInterval));  // the attempt must begin before the close
    return isOpen;
  }

  // Waits while nothing is forwarded. Returns false if the router has closed in the meantime.
  bool awaitRecovery(Socket& router, const std::string& name) const {
    while (isCutOff(name))
      if (router.awaitPeerClose(kPollInterval)) return false;
    return true;
  }

  bool forwardOnce(Socket& router, Socket& upstream, const std::string& link) {
    pollfd sides[2] = {{router.descriptor(), POLLIN | POLLRDHUP, 0}, {upstream.descriptor(), POLLIN, 0}};
    if (::poll(sides, 2, static_cast<int>(kPollInterval / 1000)) <= 0) return true;
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
