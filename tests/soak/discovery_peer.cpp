// Two discovery servers with the same endpoint list; faults apply to the first one. Logs when each change was
// sent to each router.
#include <map>
#include <thread>

#include "peers.h"
#include "sockets.h"

namespace garnethook::soak {
namespace {

constexpr Micros kPollInterval = 10 * kMillisecond;
constexpr Micros kHeartbeatInterval = 2 * kSecond;
constexpr Micros kLateListDelay = 2800 * kMillisecond;  // of a watch's first list under the fault "late"

class Discovery {
 public:
  explicit Discovery(const PeerOptions& options)
      : plan_(options.plan()), log_(options.logFile("discovery")) {}

  void run() {
    std::thread second([this] { listen(1); });
    listen(0);
    second.join();
  }

 private:
  Micros end() const { return plan_.start + plan_.length + kDrainAfterRun; }

  void listen(int number) {
    const std::string name = "d" + std::to_string(number);
    Socket listener = listenAt(plan_.discoveryPort(number));
    while (monotonicNow() < end()) {
      if (plan_.isActive("down", name, monotonicNow())) {
        listener.close();
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        continue;
      }
      if (!listener) listener = listenAt(plan_.discoveryPort(number));
      Socket socket = acceptFrom(listener, kPollInterval);
      if (socket)
        std::thread([this, name, connection = std::move(socket)]() mutable {
          watch(connection, name);
        }).detach();
    }
  }

  static std::string encodeChunk(const std::string& text) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }

  std::string phase(int engine, Micros now) const {
    const std::string name = "e" + std::to_string(engine);
    if (plan_.isActive("gone", name, now)) return "gone";
    if (plan_.isActive("restart", name, now)) return "gone";
    return plan_.isActive("drain", name, now) ? "draining" : "ready";
  }

  std::string entry(int engine, int router, const std::string& phase, Micros now) const {
    return R"({"id":"e)" + std::to_string(engine) + R"(","host_port":")" + Plan::sourceAddressOf(router) +
           ":" + std::to_string(plan_.proxyPort(engine)) + R"(","locality":")" + plan_.zone(engine) +
           R"(","flavor":")" + (plan_.isPrefillEngine(engine) ? "m1" : "m2") + R"(","cell":)" +
           std::to_string(engine % 2) + R"(,"phase":")" + phase + R"(","size":1.0,"up_since_ms":)" +
           std::to_string(upSince(engine, now)) + "}";
  }

  // Unix time of the engine's latest start in milliseconds; 0: before the run.
  std::int64_t upSince(int engine, Micros now) const {
    for (const Fault& fault : plan_.faultsOfKind("restart"))
      if (fault.target == "e" + std::to_string(engine) && now - plan_.start >= fault.until)
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count() -
               (monotonicNow() - plan_.start - fault.until) / kMillisecond;
    return 0;
  }

  // The version counts the changes so far, starting from 1.
  std::int64_t version(Micros now) const {
    std::int64_t changeCount = 1;
    for (const Fault& fault : plan_.plannedFaults)
      if ((fault.kind == "drain" || fault.kind == "gone" || fault.kind == "restart") &&
          now - plan_.start >= fault.from)
        ++changeCount;
    return changeCount;
  }

  void watch(Socket& socket, const std::string& name) {
    const int router = Plan::routerOf(socket.localHost());
    HttpReader reader(socket);
    HttpMessage request;
    if (reader.readMessage(request, monotonicNow() + 2 * kSecond) != HttpReader::Result::whole) return;
    std::map<int, std::string> sentPhases;
    bool isListSent = false;
    Micros heartbeatAt = 0;
    const Micros since = monotonicNow();
    while (monotonicNow() < end()) {
      const Micros now = monotonicNow();
      if (plan_.isActive("down", name, now) || droppedSince(name, since, now)) return socket.reset();
      if (socket.awaitPeerClose(kPollInterval)) return;
      if (plan_.isActive("quiet", name, now)) {
        if (isListSent) return awaitClose(socket);  // this watch sends nothing any more
        continue;
      }
      if (!isListSent && plan_.isActive("late", name, since) && now < since + kLateListDelay) continue;
      if (!isListSent) {
        socket.write(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        if (!sendList(socket, router, sentPhases, true)) return;
        isListSent = true;
        heartbeatAt = now + kHeartbeatInterval;
      } else if (changed(sentPhases, now)) {
        if (!sendList(socket, router, sentPhases, false)) return;
        heartbeatAt = now + kHeartbeatInterval;
      } else if (now >= heartbeatAt) {
        if (!socket.write(encodeChunk("\n"))) return;
        heartbeatAt = now + kHeartbeatInterval;
      }
    }
  }

  void awaitClose(const Socket& socket) const {
    while (monotonicNow() < end() && !socket.awaitPeerClose(kPollInterval)) continue;
  }

  bool droppedSince(const std::string& name, Micros since, Micros now) const {
    for (const Fault& fault : plan_.faultsOfKind("dropped"))
      if (fault.target == name && plan_.start + fault.from > since && plan_.start + fault.from <= now)
        return true;
    return false;
  }

  bool changed(const std::map<int, std::string>& sentPhases, Micros now) const {
    for (const auto& [engine, before] : sentPhases)
      if (phase(engine, now) != before) return true;
    return false;
  }

  bool sendList(const Socket& socket, int router, std::map<int, std::string>& sentPhases, bool complete) {
    const Micros now = monotonicNow();
    std::string members;
    std::string changes;
    for (int engine = 0; engine < plan_.engines(); ++engine) {
      const std::string state = phase(engine, now);
      if (!complete && sentPhases[engine] == state) continue;
      sentPhases[engine] = state;
      if (state != "ready") changes += "," + std::to_string(engine) + ":" + state;
      if (!complete || state != "gone")
        members += (members.empty() ? "" : ",") + entry(engine, router, state, now);
    }
    const std::string list = R"({"revision":)" + std::to_string(version(now)) + R"(,"complete":)" +
                             (complete ? "true" : "false") + R"(,"members":[)" + members + "]}\n";
    if (!socket.write(encodeChunk(list))) return false;
    log_.write("told router=r" + std::to_string(router) +
               " changes=" + (changes.empty() ? "-" : changes.substr(1)));
    return true;
  }

  Plan plan_;
  EventLog log_;
};

}  // namespace

void runDiscovery(const PeerOptions& options) { Discovery(options).run(); }

}  // namespace garnethook::soak
