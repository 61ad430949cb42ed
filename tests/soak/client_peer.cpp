// Clients, one thread each: they send requests, reuse connections, disconnect early, write slowly, or violate
// the protocol. They log the requests that they sent and the responses that they received.
#include <unistd.h>

#include <random>
#include <thread>
#include <vector>

#include "peers.h"
#include "sockets.h"

namespace garnethook::soak {
namespace {

constexpr int kThreads = 10;
constexpr int kIdleConnections = 120;
constexpr Micros kConnectTimeout = 10 * kMillisecond;
constexpr Micros kResponseTimeout = 9 * kSecond;  // longest deadline, a stream, and a margin for late answers
constexpr const char* kClasses[] = {"chat", "keyed", "order"};

class Client {
 public:
  Client(const PeerOptions& options, const Plan& plan, const EventLog& log, int number)
      : options_(options),
        plan_(plan),
        log_(log),
        number_(number),
        random_(plan.seed * 7919 + static_cast<std::uint64_t>(number)) {}

  void run() {
    while (monotonicNow() < plan_.start) sleepMs(10);
    while (monotonicNow() < plan_.start + plan_.length) {
      const int router = static_cast<int>(random_() % static_cast<std::uint64_t>(plan_.routers));
      if (::access(options_.inService(router).c_str(), F_OK) != 0) {
        sleepMs(20);
        continue;
      }
      Socket socket = connectTo("127.0.0.1", plan_.routerPort(router), kSecond);
      if (!socket) {
        sleepMs(20);
        continue;
      }
      if (plan_.isActive("crowd", "r" + std::to_string(router), monotonicNow()) && number_ % 10 == 0) {
        openIdleConnections(router);
        continue;
      }
      if (plan_.isActive("rude", "clients", monotonicNow()) && chance(30))
        misbehave(socket);
      else
        sendRequests(socket, router);
    }
  }

 private:
  bool chance(int percent) { return static_cast<int>(random_() % 100) < percent; }
  static void sleepMs(int milliseconds) {
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
  }

  // Sends an incomplete request and then nothing; or sends many requests at once without reading, then
  // closes.
  void misbehave(Socket& socket) {
    if (chance(50)) {
      socket.write("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Tr");
      socket.awaitPeerClose(4 * kSecond);
      return;
    }
    for (int i = 0; i < 200; ++i)
      if (!socket.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")) return;
  }

  // Opens many connections that send no request, and keeps them open for a while.
  void openIdleConnections(int router) {
    std::vector<Socket> idle;
    for (int i = 0; i < kIdleConnections; ++i)
      idle.push_back(connectTo("127.0.0.1", plan_.routerPort(router), kConnectTimeout));
    sleepMs(400);
  }

  void sendRequests(Socket& socket, int router) {
    HttpReader reader(socket);
    // Some clients reuse their connection for as long as it is open, also during the router's shutdown.
    const std::uint64_t requests = chance(40) ? 1'000'000 : 1 + random_() % 6;
    for (std::uint64_t i = 0; i < requests; ++i) {
      if (!sendRequest(socket, reader, router, i == 0)) return;
      sleepMs(static_cast<int>(random_() % 60));
      if (monotonicNow() >= plan_.start + plan_.length) return;
    }
  }

  // Returns false if the connection cannot be reused.
  bool sendRequest(Socket& socket, HttpReader& reader, int router, bool isNewConnection) {
    const auto kind = random_() % 10 < 6 ? 0u : random_() % 2 == 0 ? 1u : 2u;
    const std::string id = "c" + std::to_string(number_) + "-" + std::to_string(++requestCount_);
    std::string body = R"({"model":"m","text":")";
    body.append(random_() % 20 == 0 ? 60'000 : 200, 'x').append("\"}");
    const std::string text = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Trace-Id: " + id +
                             "\r\nX-Qos: " + kClasses[kind] + "\r\nX-Object: s" + std::to_string(number_) +
                             "\r\nX-Expires-In-Ms: " + std::to_string(plan_.deadlinesMs[kind]) +
                             "\r\nX-Props: prompt_len=" + std::to_string(body.size() / 4) +
                             ",max_out=20\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                             body;
    const bool isSlowWriter = chance(5);
    const std::size_t half = text.size() / 2;
    if (isSlowWriter && !socket.write(text.substr(0, half))) return false;
    if (isSlowWriter) sleepMs(40);
    // Logged before the request is written, so that no event of the request can precede it.
    const Micros sentAt = monotonicNow();
    log_.write(sentAt, "sent id=" + id + " class=" + kClasses[kind] + " router=r" + std::to_string(router) +
                           " fresh=" + (isNewConnection ? "1" : "0") +
                           " deadline=" + std::to_string(plan_.deadlinesMs[kind]));
    if (!socket.write(isSlowWriter ? std::string_view(text).substr(half) : std::string_view(text))) {
      log_.write("unanswered id=" + id + " how=unwritten");
      return false;
    }
    if (chance(8)) return disconnect(socket, id);
    return awaitResponse(reader, id, sentAt);
  }

  bool disconnect(Socket& socket, const std::string& id) {
    sleepMs(static_cast<int>(random_() % 200));
    chance(30) ? socket.reset() : socket.close();
    log_.write("left id=" + id);
    return false;
  }

  bool awaitResponse(HttpReader& reader, const std::string& id, Micros sentAt) {
    HttpMessage response;
    const Micros deadline = sentAt + kResponseTimeout;
    const auto result = reader.readMessage(response, deadline);
    if (result != HttpReader::Result::whole) {
      const char* how = result == HttpReader::Result::timedOut ? "late"
                        : result == HttpReader::Result::broken ? "reset"
                        : response.firstByteAt != 0            ? "cut"
                                                               : "closed";
      log_.write("unanswered id=" + id + " how=" + how);
      return false;
    }
    const std::string status = response.start.substr(9, 3);
    if (response.field("transfer-encoding") != "chunked") {
      log_.write("final id=" + id + " status=" + status);
      return response.field("connection") != "close";
    }
    return readStream(reader, id, status) && response.field("connection") != "close";
  }

  bool readStream(HttpReader& reader, const std::string& id, const std::string& status) {
    log_.write("stream id=" + id + " status=" + status);
    Micros slowestEvent = 0;
    while (true) {
      std::string chunk;
      const auto result = reader.readChunk(chunk, monotonicNow() + 7 * kSecond);
      if (result != HttpReader::Result::whole) {
        log_.write("cut id=" + id + " slowest=" + std::to_string(slowestEvent) +
                   " how=" + (result == HttpReader::Result::timedOut ? "silent" : "closed"));
        return false;
      }
      if (chunk.empty()) break;
      for (auto at = chunk.find("\"at\":"); at != std::string::npos; at = chunk.find("\"at\":", at + 1))
        slowestEvent = std::max<Micros>(slowestEvent, monotonicNow() - std::stoll(chunk.substr(at + 5)));
    }
    log_.write("whole id=" + id + " slowest=" + std::to_string(slowestEvent));
    return true;
  }

  const PeerOptions& options_;
  const Plan& plan_;
  const EventLog& log_;
  int number_;
  std::mt19937_64 random_;
  int requestCount_ = 0;
};

}  // namespace

void runClients(const PeerOptions& options) {
  const Plan plan = options.plan();
  const EventLog log(options.logFile("clients-" + std::to_string(options.number)));
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i)
    threads.emplace_back([&, i] { Client(options, plan, log, options.number * kThreads + i).run(); });
  for (std::thread& thread : threads) thread.join();
}

}  // namespace garnethook::soak
