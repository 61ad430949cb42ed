// Clients, each a thread: they ask, keep their connections, leave early, write slowly, or misbehave. They
// tell what they sent and what came back.
#include <unistd.h>

#include <random>
#include <thread>
#include <vector>

#include "peers.h"
#include "sockets.h"

namespace garnethook::soak {
namespace {

constexpr int kThreads = 10;
constexpr int kCrowd = 120;
constexpr Micros kTurn = 10 * kMillisecond;
constexpr Micros kAnswerWithin = 9 * kSecond;  // the longest deadline, a stream, and time to be late
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
    while (monotonicNow() < plan_.start) pauseFor(10);
    while (monotonicNow() < plan_.start + plan_.length) {
      const int router = static_cast<int>(random_() % static_cast<std::uint64_t>(plan_.routers));
      if (::access(options_.inService(router).c_str(), F_OK) != 0) {
        pauseFor(20);
        continue;
      }
      Socket socket = connectTo("127.0.0.1", plan_.routerPort(router), kSecond);
      if (!socket) {
        pauseFor(20);
        continue;
      }
      if (plan_.isActive("crowd", "r" + std::to_string(router), monotonicNow()) && number_ % 10 == 0) {
        crowd(router);
        continue;
      }
      if (plan_.isActive("rude", "clients", monotonicNow()) && chance(30))
        misbehave(socket);
      else
        visit(socket, router);
    }
  }

 private:
  bool chance(int percent) { return static_cast<int>(random_() % 100) < percent; }
  static void pauseFor(int milliseconds) {
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
  }

  // Half a request, then silence; or much at once, and gone.
  void misbehave(Socket& socket) {
    if (chance(50)) {
      socket.write("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Tr");
      socket.awaitPeerClose(4 * kSecond);
      return;
    }
    for (int i = 0; i < 200; ++i)
      if (!socket.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")) return;
  }

  // Many connections that ask nothing, held for a while.
  void crowd(int router) {
    std::vector<Socket> idle;
    for (int i = 0; i < kCrowd; ++i) idle.push_back(connectTo("127.0.0.1", plan_.routerPort(router), kTurn));
    pauseFor(400);
  }

  void visit(Socket& socket, int router) {
    HttpReader reader(socket);
    // Some keep their connection for as long as it stands, also while its router ends.
    const std::uint64_t requests = chance(40) ? 1'000'000 : 1 + random_() % 6;
    for (std::uint64_t i = 0; i < requests; ++i) {
      if (!ask(socket, reader, router, i == 0)) return;
      pauseFor(static_cast<int>(random_() % 60));
      if (monotonicNow() >= plan_.start + plan_.length) return;
    }
  }

  // False: the connection is of no further use.
  bool ask(Socket& socket, HttpReader& reader, int router, bool fresh) {
    const auto kind = random_() % 10 < 6 ? 0u : random_() % 2 == 0 ? 1u : 2u;
    const std::string id = "c" + std::to_string(number_) + "-" + std::to_string(++asked_);
    std::string body = R"({"model":"m","text":")";
    body.append(random_() % 20 == 0 ? 60'000 : 200, 'x').append("\"}");
    const std::string text = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Trace-Id: " + id +
                             "\r\nX-Qos: " + kClasses[kind] + "\r\nX-Object: s" + std::to_string(number_) +
                             "\r\nX-Expires-In-Ms: " + std::to_string(plan_.deadlinesMs[kind]) +
                             "\r\nX-Props: prompt_len=" + std::to_string(body.size() / 4) +
                             ",max_out=20\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                             body;
    const bool slow = chance(5);
    const std::size_t half = text.size() / 2;
    if (slow && !socket.write(text.substr(0, half))) return false;
    if (slow) pauseFor(40);
    // Told before it is written: nothing of it may happen earlier.
    const Micros sentAt = monotonicNow();
    log_.write(sentAt, "sent id=" + id + " class=" + kClasses[kind] + " router=r" + std::to_string(router) +
                           " fresh=" + (fresh ? "1" : "0") +
                           " deadline=" + std::to_string(plan_.deadlinesMs[kind]));
    if (!socket.write(slow ? std::string_view(text).substr(half) : std::string_view(text))) {
      log_.write("unanswered id=" + id + " how=unwritten");
      return false;
    }
    if (chance(8)) return leave(socket, id);
    return await(reader, id, sentAt);
  }

  bool leave(Socket& socket, const std::string& id) {
    pauseFor(static_cast<int>(random_() % 200));
    chance(30) ? socket.reset() : socket.close();
    log_.write("left id=" + id);
    return false;
  }

  bool await(HttpReader& reader, const std::string& id, Micros sentAt) {
    HttpMessage answer;
    const Micros deadline = sentAt + kAnswerWithin;
    const auto result = reader.readMessage(answer, deadline);
    if (result != HttpReader::Result::whole) {
      const char* how = result == HttpReader::Result::late     ? "late"
                        : result == HttpReader::Result::broken ? "reset"
                        : answer.firstByteAt != 0              ? "cut"
                                                               : "closed";
      log_.write("unanswered id=" + id + " how=" + how);
      return false;
    }
    const std::string status = answer.start.substr(9, 3);
    if (answer.field("transfer-encoding") != "chunked") {
      log_.write("final id=" + id + " status=" + status);
      return answer.field("connection") != "close";
    }
    return stream(reader, id, status) && answer.field("connection") != "close";
  }

  bool stream(HttpReader& reader, const std::string& id, const std::string& status) {
    log_.write("stream id=" + id + " status=" + status);
    Micros slowest = 0;
    while (true) {
      std::string chunk;
      const auto result = reader.readChunk(chunk, monotonicNow() + 7 * kSecond);
      if (result != HttpReader::Result::whole) {
        log_.write("cut id=" + id + " slowest=" + std::to_string(slowest) +
                   " how=" + (result == HttpReader::Result::late ? "silent" : "closed"));
        return false;
      }
      if (chunk.empty()) break;
      for (auto at = chunk.find("\"at\":"); at != std::string::npos; at = chunk.find("\"at\":", at + 1))
        slowest = std::max<Micros>(slowest, monotonicNow() - std::stoll(chunk.substr(at + 5)));
    }
    log_.write("whole id=" + id + " slowest=" + std::to_string(slowest));
    return true;
  }

  const PeerOptions& options_;
  const Plan& plan_;
  const EventLog& log_;
  int number_;
  std::mt19937_64 random_;
  int asked_ = 0;
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
